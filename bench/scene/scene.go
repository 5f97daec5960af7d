// Package scene holds the bench's scenarios: what happens, and what is measured
// of it. Each runs in virtual time on both deployments, for the product's
// policies and for a baseline, with one seed.
package scene

import (
	"fmt"
	"sort"

	"dandelionstile/bench/deploy"
	"dandelionstile/bench/virt"
	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/sched"
)

// Figure is one measured number.
type Figure struct {
	Name  string
	Value float64
}

// Result is one run's figures.
type Result struct {
	Scenario   string
	Deployment string
	Policy     string
	Seed       uint64
	Figures    []Figure
	Faults     []string
	// Notes counts reasons and events, for the reader.
	Notes string
}

// Get returns a figure.
func (r Result) Get(name string) (float64, bool) {
	for _, f := range r.Figures {
		if f.Name == name {
			return f.Value, true
		}
	}
	return 0, false
}

// Policy is one way to run a scenario.
type Policy struct {
	Name     string
	Policies virt.Policies
}

// Policies are the product's settings and the baseline.
func Policies() []Policy {
	return []Policy{
		{Name: "product"},
		{Name: "baseline", Policies: virt.Baseline()},
	}
}

// Variants are other settings of single choices, to weigh them.
func Variants() []Policy {
	return []Policy{
		{Name: "least-loaded", Policies: virt.Policies{Fanout: fanout.Policy{Choice: fanout.ChooseLeastLoaded}}},
		{Name: "random", Policies: virt.Policies{Fanout: fanout.Policy{Choice: fanout.ChooseRandom}}},
		{Name: "no-canary", Policies: virt.Policies{Fanout: fanout.Policy{NoCanary: true}}},
		{Name: "no-hedge", Policies: virt.Policies{Fanout: fanout.Policy{NoHedge: true}}},
		{Name: "hedge-99", Policies: virt.Policies{Fanout: fanout.Policy{HedgeQuantile: 99}}},
		{Name: "budget-10", Policies: virt.Policies{Fanout: fanout.Policy{BudgetPercent: 10}}},
		{Name: "oldest-first", Policies: virt.Policies{Sched: sched.Policy{Order: sched.OrderOldest}}},
		{Name: "newest-first", Policies: virt.Policies{Sched: sched.Policy{Order: sched.OrderNewest}}},
		{Name: "long-queue", Policies: virt.Policies{Sched: sched.Policy{QueuePerSlot: 32}}},
		{Name: "open-door", Policies: virt.Policies{Fanout: fanout.Policy{NoBackpressure: true}}},
	}
}

// Run is one run of a scenario.
type Run struct {
	W *virt.World
	D deploy.Deployment
	// Baseline is set when the baseline's policies run.
	Baseline bool
	figures  []Figure
}

// set records a figure.
func (r *Run) set(name string, value float64) {
	r.figures = append(r.figures, Figure{name, value})
}

// Scenario is one entry of the bench.
type Scenario struct {
	Name string
	// Goal says what is aimed at.
	Goal string
	// NoBaseline leaves the baseline out, where it has nothing to compare.
	NoBaseline bool
	run        func(r *Run)
}

var scenarios = map[string]Scenario{}

func register(s Scenario) { scenarios[s.Name] = s }

// All lists the scenarios by name.
func All() []Scenario {
	list := make([]Scenario, 0, len(scenarios))
	for _, s := range scenarios {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// ByName returns a scenario.
func ByName(name string) (Scenario, bool) {
	s, ok := scenarios[name]
	return s, ok
}

// Execute runs a scenario once.
func Execute(s Scenario, d deploy.Deployment, p Policy, seed uint64) Result {
	w := &virt.World{Deployment: d, Policies: p.Policies, Seed: seed, Model: virt.DefaultModel()}
	w.Start()
	r := &Run{W: w, D: d, Baseline: p.Name == "baseline"}
	s.run(r)
	return Result{
		Scenario: s.Name, Deployment: d.Name, Policy: p.Name, Seed: seed, Figures: r.figures, Faults: w.Stats.Faults, Notes: w.Stats.Summary(),
	}
}

// Load levels and times that the scenarios share.
const (
	steadyLoad = 0.6
	// settle is how long a world runs before it is measured: connections are
	// opened and ramps from the start have ended.
	settle = 8 * clock.Second
	texts  = 2000
	people = 40
)

// load starts a stream on every service at a share of its capacity.
func (r *Run) load(share float64) {
	for _, v := range r.D.Services {
		r.W.StartLoad(virt.Load{Service: v.Name, Rate: share * r.W.Capacity(v), Texts: texts, Callers: people})
	}
}

// settled runs until the start is over and forgets what was measured. In the
// seconds before, load is light.
func (r *Run) settled(share float64) {
	for _, v := range r.D.Services {
		r.W.StartLoad(virt.Load{Service: v.Name, Rate: 0.1 * r.W.Capacity(v), Texts: texts, Callers: people, Until: settle - 2*clock.Second})
	}
	r.W.Clock.Run(settle - 2*clock.Second)
	r.load(share)
	r.W.Clock.Run(settle)
	r.W.Stats.Reset()
}

// run lets virtual time pass.
func (r *Run) run(d clock.Milli) { r.W.Clock.Run(r.W.Now() + d) }

// common records what every scenario reports.
func (r *Run) common() {
	s := &r.W.Stats
	r.set("p50-ms", s.Quantile(50))
	r.set("p99-ms", s.Quantile(99))
	r.set("p999-ms", s.Quantile(99.9))
	r.set("complete-share", s.CompleteShare())
	r.set("covered-share", s.CoveredShare())
	r.set("extra-share", s.ExtraShare())
	r.set("refused-share", s.RefusedShare())
	cold, unseen, warm := r.W.Excess()
	r.set("excess-cold", float64(cold))
	r.set("excess-unseen", float64(unseen))
	r.set("excess-warm", float64(warm))
	r.set("faults", float64(len(s.Faults)))
}

// Line writes a result on one line.
func (r Result) Line() string {
	text := fmt.Sprintf("%-16s %-9s %-9s", r.Scenario, r.Deployment, r.Policy)
	for _, f := range r.Figures {
		text += fmt.Sprintf(" %s=%.4g", f.Name, f.Value)
	}
	return text
}
