// Command fakes runs the fake platform, fake backend servers, and a demo of a
// whole deployment on loopback.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

// arguments is the command line.
type arguments struct {
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run a deployment on loopback and check every answer"`
	Platform *platformCommand `arg:"subcommand:platform" help:"serve a configuration and host lists"`
	Backend  *backendCommand  `arg:"subcommand:backend" help:"serve the backend servers of an inventory"`
}

// Description is shown by --help.
func (arguments) Description() string { return "fakes runs fake services for tests and demos" }

// command is a subcommand.
type command interface{ run() error }

func main() {
	var a arguments
	p := arg.MustParse(&a)
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "fakes:", err)
		os.Exit(1)
	}
}
