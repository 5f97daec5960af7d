package cmds

import (
	"os"
	"runtime"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"dandelionstile/bench/deploy"
	"dandelionstile/bench/scene"
	"dandelionstile/share/conf"
	"dandelionstile/share/daemon"
)

// fileFigure, fileResult and fileResults are a result file's form.
type fileFigure struct {
	Name  string  `yaml:"name"`
	Value float64 `yaml:"value"`
}

type fileResult struct {
	Scenario   string       `yaml:"scenario"`
	Deployment string       `yaml:"deployment"`
	Policy     string       `yaml:"policy"`
	Seed       uint64       `yaml:"seed"`
	Figures    []fileFigure `yaml:"figures"`
	Notes      string       `yaml:"notes"`
}

type fileResults struct {
	Version string       `yaml:"version"`
	Results []fileResult `yaml:"results"`
}

func write(path string, results []scene.Result) error {
	f := fileResults{Version: daemon.Version}
	for _, r := range results {
		one := fileResult{Scenario: r.Scenario, Deployment: r.Deployment, Policy: r.Policy, Seed: r.Seed, Notes: r.Notes}
		for _, g := range r.Figures {
			one.Figures = append(one.Figures, fileFigure(g))
		}
		f.Results = append(f.Results, one)
	}
	body, err := yaml.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	return errors.Wrap(os.WriteFile(path, body, 0o644), "write results")
}

func read(path string) ([]scene.Result, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read results")
	}
	var f fileResults
	if _, err := conf.Decode(path, body, &f); err != nil {
		return nil, err
	}
	results := make([]scene.Result, len(f.Results))
	for i, r := range f.Results {
		results[i] = scene.Result{Scenario: r.Scenario, Deployment: r.Deployment, Policy: r.Policy, Seed: r.Seed, Notes: r.Notes}
		for _, g := range r.Figures {
			results[i].Figures = append(results[i].Figures, scene.Figure(g))
		}
	}
	return results, nil
}

// task is one run to make.
type task struct {
	scenario   scene.Scenario
	deployment deploy.Deployment
	policy     scene.Policy
	seed       uint64
}

// execute makes runs in parallel; the results come in the order of the tasks.
func execute(tasks []task) []scene.Result {
	results := make([]scene.Result, len(tasks))
	free := make(chan struct{}, max(1, runtime.NumCPU()-1))
	var wait sync.WaitGroup
	for i, t := range tasks {
		wait.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			results[i] = scene.Execute(t.scenario, t.deployment, t.policy, t.seed)
		})
	}
	wait.Wait()
	return results
}
