package cmds

import (
	"fmt"

	"dandelionstile/bench/scene"
)

func init() { register("compare", &compare{}) }

// compare prints the differences between two result files, for the runs and figures that
// both contain.
type compare struct {
	Before string `arg:"positional,required" help:"result file"`
	After  string `arg:"positional,required" help:"result file"`
	// MinChange is the smallest relative change to show.
	MinChange float64 `arg:"--least" default:"0.02" help:"smallest relative change to show"`
}

// Help returns the description of the command.
func (*compare) Help() string { return "compare two result files" }

// Run prints the figures that differ.
func (c *compare) Run() error {
	before, err := readResults(c.Before)
	if err != nil {
		return err
	}
	after, err := readResults(c.After)
	if err != nil {
		return err
	}
	for _, b := range before {
		for _, a := range after {
			if a.Scenario == b.Scenario && a.Deployment == b.Deployment && a.Policy == b.Policy {
				c.printChanges(b, a)
			}
		}
	}
	return nil
}

// printChanges prints the figures that changed by at least MinChange. A figure that was 0 is
// printed whenever it changed.
func (c *compare) printChanges(before, after scene.Result) {
	for _, f := range before.Figures {
		v, ok := after.Get(f.Name)
		if !ok || f.Value == v {
			continue
		}
		change := 0.0
		if f.Value != 0 {
			change = v/f.Value - 1
		}
		if change > -c.MinChange && change < c.MinChange && f.Value != 0 {
			continue
		}
		fmt.Printf("%-14s %-9s %-9s %-26s %10.4g -> %10.4g  %+.1f %%\n",
			before.Scenario, before.Deployment, before.Policy, f.Name, f.Value, v, 100*change)
	}
}
