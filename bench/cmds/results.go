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

// fileFigure, fileResult and fileResults are the format of a result file.
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

// writeResults writes results to a file, with the version of this program. Violated
// safety properties are not part of the file.
func writeResults(path string, results []scene.Result) error {
	f := fileResults{Version: daemon.Version}
	for _, r := range results {
		result := fileResult{Scenario: r.Scenario, Deployment: r.Deployment, Policy: r.Policy, Seed: r.Seed, Notes: r.Notes}
		for _, g := range r.Figures {
			result.Figures = append(result.Figures, fileFigure(g))
		}
		f.Results = append(f.Results, result)
	}
	body, err := yaml.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	return errors.Wrap(os.WriteFile(path, body, 0o644), "write results")
}

// readResults reads a file that writeResults wrote.
func readResults(path string) ([]scene.Result, error) {
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

// task is one run to execute.
type task struct {
	scenario   scene.Scenario
	deployment deploy.Deployment
	policy     scene.Policy
	seed       uint64
}

// execute runs tasks in parallel and returns the results in the order of the
// tasks.
func execute(tasks []task) []scene.Result {
	results := make([]scene.Result, len(tasks))
	slots := make(chan struct{}, max(1, runtime.NumCPU()-1))
	var wg sync.WaitGroup
	for i, t := range tasks {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = scene.Execute(t.scenario, t.deployment, t.policy, t.seed)
		})
	}
	wg.Wait()
	return results
}
