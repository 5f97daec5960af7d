package cmds

import (
	"fmt"

	"dandelionstile/bench/scene"
)

func init() { register("compare", &compare{}) }

// compare sets two result files side by side.
type compare struct {
	Before string `arg:"positional,required" help:"result file"`
	After  string `arg:"positional,required" help:"result file"`
	// Least is the least relative change that is shown.
	Least float64 `arg:"--least" default:"0.02" help:"least relative change to show"`
}

// Help describes the command.
func (*compare) Help() string { return "compare two result files" }

// Run prints the figures that differ.
func (c *compare) Run() error {
	before, err := read(c.Before)
	if err != nil {
		return err
	}
	after, err := read(c.After)
	if err != nil {
		return err
	}
	for _, b := range before {
		for _, a := range after {
			if a.Scenario == b.Scenario && a.Deployment == b.Deployment && a.Policy == b.Policy {
				c.show(b, a)
			}
		}
	}
	return nil
}

func (c *compare) show(before, after scene.Result) {
	for _, f := range before.Figures {
		v, ok := after.Get(f.Name)
		if !ok || f.Value == v {
			continue
		}
		change := 0.0
		if f.Value != 0 {
			change = v/f.Value - 1
		}
		if change > -c.Least && change < c.Least && f.Value != 0 {
			continue
		}
		fmt.Printf("%-14s %-9s %-9s %-26s %10.4g -> %10.4g  %+.1f %%\n",
			before.Scenario, before.Deployment, before.Policy, f.Name, f.Value, v, 100*change)
	}
}
