package cmds

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dandelionstile/bench/deploy"
	"dandelionstile/bench/scene"
)

func init() { register("plot", &plotCommand{}) }

// plotCommand plots results and the effect of the patience setting.
type plotCommand struct {
	Results string `arg:"positional" default:"docs/results/0.1.0.yaml" help:"result file"`
	Out     string `arg:"--out" default:"docs/plots" help:"output directory"`
	Seed    uint64 `arg:"--seed" default:"1" help:"seed of the runs for the curve"`
}

// Size of the plots.
const (
	width  = 9 * vg.Inch
	height = 4 * vg.Inch
)

// Help returns the description of the command.
func (*plotCommand) Help() string {
	return "plot a result file, and the curve of tail latency against coverage and extra load"
}

// Run writes the plots.
func (c *plotCommand) Run() error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "create directory")
	}
	results, err := readResults(c.Results)
	if err != nil {
		return err
	}
	for _, d := range []string{"himal", "kumomaru"} {
		if err := c.plotBars(results, d); err != nil {
			return err
		}
	}
	return c.plotCurve()
}

// plotBars plots the 99th percentiles of the product and the baseline.
func (c *plotCommand) plotBars(results []scene.Result, deployment string) error {
	var names []string
	values := map[string]plotter.Values{}
	for _, r := range results {
		if r.Deployment != deployment {
			continue
		}
		v, _ := r.Get("p99-ms")
		values[r.Policy] = append(values[r.Policy], v)
		if r.Policy == "product" {
			names = append(names, r.Scenario)
		}
	}
	p := plot.New()
	p.Title.Text = deployment + ": 99th percentile at the callers, ms"
	p.Legend.Top = true
	for i, policy := range []string{"product", "baseline"} {
		b, err := plotter.NewBarChart(values[policy], vg.Points(9))
		if err != nil {
			return errors.Wrap(err, "draw bars")
		}
		b.Color = plotutil.Color(i)
		b.LineStyle.Width = 0
		b.Offset = vg.Points(float64(10*i - 5))
		p.Add(b)
		p.Legend.Add(policy, b)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -1
	return errors.Wrap(p.Save(width, height, filepath.Join(c.Out, "p99-"+deployment+".png")), "save plot")
}

// plotCurve runs stragglers on kumomaru, with the product's policies and several
// patience settings, and plots the results.
func (c *plotCommand) plotCurve() error {
	s, _ := scene.ByName("stragglers")
	var tasks []task
	patience := []int{10, 20, 30, 40, 60, 80, 100}
	for _, percent := range patience {
		d := deploy.Kumomaru()
		for i := range d.Services {
			d.Services[i].Patience = percent
		}
		tasks = append(tasks, task{s, d, scene.Policies()[0], c.Seed}) // the first policy is the product's
	}
	results := execute(tasks)
	var tail, incomplete, extra plotter.XYs
	for i, r := range results {
		p999, _ := r.Get("p999-ms")
		complete, _ := r.Get("complete-share")
		extraShare, _ := r.Get("extra-share")
		fmt.Printf("patience %3d %%: p99.9 %4.0f ms, complete %.4f, extra %.4f\n", patience[i], p999, complete, extraShare)
		x := float64(patience[i])
		tail = append(tail, plotter.XY{X: x, Y: p999 / 1000})
		incomplete = append(incomplete, plotter.XY{X: x, Y: 100 * (1 - complete)})
		extra = append(extra, plotter.XY{X: x, Y: 100 * extraShare})
	}
	p := plot.New()
	p.Title.Text = "patience on kumomaru, stragglers"
	p.X.Label.Text = "patience, % of the deadline of 1 s"
	p.Legend.Top = true
	err := plotutil.AddLinePoints(p, "p99.9, s", tail, "answers with missing shards, %", incomplete, "extra load, %", extra)
	if err != nil {
		return errors.Wrap(err, "draw curve")
	}
	return errors.Wrap(p.Save(width, height, filepath.Join(c.Out, "patience.png")), "save plot")
}
