package cmds

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"dandelionstile/bench/deploy"
	"dandelionstile/bench/scene"
)

func init() { register("run", &run{}) }

// run executes scenarios and prints their figures.
type run struct {
	Scenarios   []string `arg:"positional" help:"scenarios; all by default"`
	Deployments []string `arg:"--deployment,separate" help:"himal or kumomaru; both by default"`
	Policies    []string `arg:"--policy,separate" help:"product, baseline or a variant; the first two by default"`
	Seed        uint64   `arg:"--seed" default:"1" help:"seed of the random numbers"`
	Out         string   `arg:"--out" placeholder:"FILE" help:"write the results to a file"`
	Notes       bool     `arg:"--notes" help:"also print reasons and events"`
}

// Help returns the description of the command.
func (*run) Help() string { return "run scenarios in virtual time" }

// Run executes the selected runs.
func (c *run) Run() error {
	tasks, err := c.tasks()
	if err != nil {
		return err
	}
	results := execute(tasks)
	for _, r := range results {
		fmt.Println(r.Line())
		if c.Notes {
			fmt.Println("    " + r.Notes)
		}
		for _, f := range r.Violations {
			fmt.Println("    FAULT " + f)
		}
	}
	if c.Out != "" {
		return writeResults(c.Out, results)
	}
	return nil
}

// tasks returns the runs that the arguments select.
func (c *run) tasks() ([]task, error) {
	if len(c.Deployments) == 0 {
		c.Deployments = []string{"himal", "kumomaru"}
	}
	if len(c.Policies) == 0 {
		c.Policies = []string{"product", "baseline"}
	}
	if len(c.Scenarios) == 0 {
		for _, s := range scene.All() {
			c.Scenarios = append(c.Scenarios, s.Name)
		}
	}
	var tasks []task
	for _, name := range c.Scenarios {
		s, ok := scene.ByName(name)
		if !ok {
			return nil, errors.Newf("unknown scenario %q; see bench list", name)
		}
		for _, deployment := range c.Deployments {
			d, ok := deploy.ByName(deployment)
			if !ok {
				return nil, errors.Newf("unknown deployment %q; want himal or kumomaru", deployment)
			}
			for _, p := range append(scene.Policies(), scene.Variants()...) {
				if slices.Contains(c.Policies, p.Name) {
					tasks = append(tasks, task{s, d, p, c.Seed})
				}
			}
		}
	}
	if len(tasks) == 0 {
		return nil, errors.Newf("none of the policies %v is known; want product, baseline or a variant", c.Policies)
	}
	return tasks, nil
}
