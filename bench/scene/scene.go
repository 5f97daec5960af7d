// Package scene defines the benchmark's scenarios: their events and their
// figures. Each runs in virtual time on both deployments, with the product's
// policies and with a baseline, from one seed.
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

// Figure is a measured number.
type Figure struct {
	Name  string
	Value float64
}

// Result holds the figures of one run.
type Result struct {
	Scenario   string
	Deployment string
	Policy     string
	Seed       uint64
	Figures    []Figure
	// Violations lists the violated safety properties.
	Violations []string
	// Notes lists the counts of reasons and leaf events.
	Notes string
}

// Get returns the value of a figure, and whether the run recorded it.
func (r Result) Get(name string) (float64, bool) {
	for _, f := range r.Figures {
		if f.Name == name {
			return f.Value, true
		}
	}
	return 0, false
}

// Policy is a named set of engine settings.
type Policy struct {
	Name     string
	Policies virt.Policies
}

// Policies returns the product's settings and the baseline.
func Policies() []Policy {
	return []Policy{
		{Name: "product"},
		{Name: "baseline", Policies: virt.Baseline()},
	}
}

// Variants returns settings that each change one design choice, for comparison.
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
	World      *virt.World
	Deployment deploy.Deployment
	// Baseline reports whether the run uses the baseline's policies. No scenario reads it.
	Baseline bool
	figures  []Figure
}

// record records a figure.
func (r *Run) record(name string, value float64) {
	r.figures = append(r.figures, Figure{name, value})
}

// Scenario is one benchmark scenario.
type Scenario struct {
	Name string
	// Goal states the figures to reach.
	Goal string
	// NoBaseline excludes the baseline where a comparison makes no sense. No scenario
	// sets it.
	NoBaseline bool
	run        func(r *Run)
}

var scenarios = map[string]Scenario{}

func register(s Scenario) { scenarios[s.Name] = s }

// All returns the scenarios sorted by name.
func All() []Scenario {
	list := make([]Scenario, 0, len(scenarios))
	for _, s := range scenarios {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// ByName returns the scenario with a name.
func ByName(name string) (Scenario, bool) {
	s, ok := scenarios[name]
	return s, ok
}

// Execute runs a scenario once.
func Execute(s Scenario, d deploy.Deployment, p Policy, seed uint64) Result {
	w := &virt.World{Deployment: d, Policies: p.Policies, Seed: seed, Model: virt.DefaultModel()}
	w.Start()
	r := &Run{World: w, Deployment: d, Baseline: p.Name == "baseline"}
	s.run(r)
	return Result{
		Scenario: s.Name, Deployment: d.Name, Policy: p.Name, Seed: seed, Figures: r.figures, Violations: w.Stats.Violations, Notes: w.Stats.Summary(),
	}
}

// Load levels, times and numbers that the scenarios share.
const (
	// steadyLoad is a share of the capacity.
	steadyLoad = 0.6
	// settleTime is how long a world runs before measurements start: connections
	// are open and the initial ramps have ended.
	settleTime = 8 * clock.Second
	// textCount is the number of different queries, and callerCount the number of
	// callers, of each service.
	textCount   = 2000
	callerCount = 40
)

// startLoad starts an endless stream of queries to every service, at a share of its
// capacity.
func (r *Run) startLoad(share float64) {
	for _, v := range r.Deployment.Services {
		r.World.StartLoad(virt.Load{Service: v.Name, Rate: share * r.World.Capacity(v), Texts: textCount, Callers: callerCount})
	}
}

// settle runs the start-up phase, under a load of 10 % of the capacity until its
// last two seconds, and resets the measurements. From then on the load is the
// given share of the capacity.
func (r *Run) settle(share float64) {
	for _, v := range r.Deployment.Services {
		r.World.StartLoad(virt.Load{Service: v.Name, Rate: 0.1 * r.World.Capacity(v), Texts: textCount, Callers: callerCount, Until: settleTime - 2*clock.Second})
	}
	r.World.Clock.Run(settleTime - 2*clock.Second)
	r.startLoad(share)
	r.World.Clock.Run(settleTime)
	r.World.Stats.Reset()
}

// advance advances the virtual time.
func (r *Run) advance(d clock.Milli) { r.World.Clock.Run(r.World.Now() + d) }

// recordCommon records the figures that every scenario reports.
func (r *Run) recordCommon() {
	s := &r.World.Stats
	r.record("p50-ms", s.Percentile(50))
	r.record("p99-ms", s.Percentile(99))
	r.record("p999-ms", s.Percentile(99.9))
	r.record("complete-share", s.CompleteShare())
	r.record("covered-share", s.CoveredShare())
	r.record("extra-share", s.ExtraShare())
	r.record("refused-share", s.RefusedShare())
	cold, unseen, warm := r.World.Excess()
	r.record("excess-cold", float64(cold))
	r.record("excess-unseen", float64(unseen))
	r.record("excess-warm", float64(warm))
	r.record("faults", float64(len(s.Violations)))
}

// Line formats a result as one line.
func (r Result) Line() string {
	text := fmt.Sprintf("%-16s %-9s %-9s", r.Scenario, r.Deployment, r.Policy)
	for _, f := range r.Figures {
		text += fmt.Sprintf(" %s=%.4g", f.Name, f.Value)
	}
	return text
}
