package main

import (
	"os"

	"dandelionstile/fakes/demo"
)

// demoCommand runs the demo.
type demoCommand struct {
	Bin string `arg:"--bin" default:"bin" help:"directory of the programs"`
	Dir string `arg:"--dir" help:"directory for settings and logs; a new one by default"`
}

func (c *demoCommand) run() error {
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "dandelionstile-demo-"); err != nil {
			return err
		}
	}
	d := demo.Demo{Bin: c.Bin, Dir: dir, Out: os.Stdout}
	return d.Run()
}
