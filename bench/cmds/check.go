package cmds

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"dandelionstile/bench/deploy"
	"dandelionstile/bench/scene"
	"dandelionstile/share/conf"
)

func init() { register("check", &check{}) }

// check compares the deterministic figures with their bounds.
type check struct {
	Bounds string `arg:"--bounds" default:"bench/bounds.yaml" help:"file of bounds"`
	Out    string `arg:"--out" placeholder:"FILE" help:"write the results to a file"`
}

// fileBound is one bound on a figure of the product. Most and Least are the highest and
// the lowest value that is within the bound. OverBaseline limits the ratio of the product's
// figure to the baseline's, for the same scenario and deployment. An empty Deployment
// stands for both.
type fileBound struct {
	Scenario     string   `yaml:"scenario" validate:"required"`
	Deployment   string   `yaml:"deployment" validate:"omitempty,oneof=himal kumomaru"`
	Figure       string   `yaml:"figure" validate:"required"`
	Most         *float64 `yaml:"most"`
	Least        *float64 `yaml:"least"`
	OverBaseline *float64 `yaml:"most-over-baseline"`
}

// fileBounds is a file of bounds, with the seed of the runs.
type fileBounds struct {
	Seed   uint64      `yaml:"seed" validate:"required"`
	Bounds []fileBound `yaml:"bounds" validate:"required,min=1,dive"`
}

// Help returns the description of the command.
func (*check) Help() string { return "run the scenarios that have bounds and check them" }

// Run runs the scenarios and prints every figure that is out of bounds and every
// violated safety property, also those of the baseline's runs. It returns ErrBound if
// there is one.
func (c *check) Run() error {
	body, err := os.ReadFile(c.Bounds)
	if err != nil {
		return errors.Wrap(err, "read bounds")
	}
	var f fileBounds
	if _, err := conf.Decode(c.Bounds, body, &f); err != nil {
		return err
	}
	results, err := f.runScenarios()
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := writeResults(c.Out, results); err != nil {
			return err
		}
	}
	violations := 0
	for _, b := range f.Bounds {
		violations += b.check(results)
	}
	for _, r := range results {
		for _, violation := range r.Violations {
			violations++
			fmt.Printf("FAULT %s %s %s: %s\n", r.Scenario, r.Deployment, r.Policy, violation)
		}
	}
	fmt.Printf("%d bounds, %d runs, %d out of bounds\n", len(f.Bounds), len(results), violations)
	if violations > 0 {
		return ErrBound
	}
	return nil
}

// runScenarios executes each run that a bound needs, once.
func (f fileBounds) runScenarios() ([]scene.Result, error) {
	type key struct{ scenario, deployment, policy string }
	seen := map[key]bool{}
	var tasks []task
	for _, b := range f.Bounds {
		s, ok := scene.ByName(b.Scenario)
		if !ok {
			return nil, errors.Newf("bounds name an unknown scenario %q", b.Scenario)
		}
		for _, d := range []deploy.Deployment{deploy.Himal(), deploy.Kumomaru()} {
			for _, p := range scene.Policies() {
				k := key{b.Scenario, d.Name, p.Name}
				wanted := p.Name == "product" || b.OverBaseline != nil
				if wanted && !seen[k] && (b.Deployment == "" || b.Deployment == d.Name) {
					seen[k] = true
					tasks = append(tasks, task{s, d, p, f.Seed})
				}
			}
		}
	}
	return execute(tasks), nil
}

// check prints the product's figures that are out of the bound, or that a run did not
// record, and returns their number.
func (b fileBound) check(results []scene.Result) int {
	violations := 0
	for _, r := range results {
		if r.Scenario != b.Scenario || r.Policy != "product" || (b.Deployment != "" && b.Deployment != r.Deployment) {
			continue
		}
		v, ok := r.Get(b.Figure)
		problem := ""
		switch {
		case !ok:
			problem = "is not measured"
		case b.Most != nil && v > *b.Most:
			problem = fmt.Sprintf("is over %g", *b.Most)
		case b.Least != nil && v < *b.Least:
			problem = fmt.Sprintf("is under %g", *b.Least)
		case b.OverBaseline != nil:
			if base := baselineFigure(results, r, b.Figure); v > *b.OverBaseline*base {
				problem = fmt.Sprintf("is over %g times the baseline's %g", *b.OverBaseline, base)
			}
		}
		if problem != "" {
			violations++
			fmt.Printf("OUT OF BOUNDS %s %s: %s = %g %s\n", r.Scenario, r.Deployment, b.Figure, v, problem)
		}
	}
	return violations
}

// baselineFigure returns the baseline's figure for the scenario and deployment of r, or
// 0 if there is none.
func baselineFigure(results []scene.Result, r scene.Result, figure string) float64 {
	for _, o := range results {
		if o.Scenario == r.Scenario && o.Deployment == r.Deployment && o.Policy == "baseline" {
			v, _ := o.Get(figure)
			return v
		}
	}
	return 0
}
