// Package virt runs the decision engines of the programs under a virtual clock,
// joined by small fakes at their interfaces: a network with delays and
// partitions, leaves and callers. Runs with the same seed are identical.
package virt

import (
	"math/rand/v2"

	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/sched"
	"dandelionstile/share/topo"
)

// Policies are the engine settings under test.
type Policies struct {
	Fanout fanout.Policy
	Sched  sched.Policy
}

// Baseline is the reference for comparisons: a random replica, three more attempts per
// shard than the product and no retry budget, no hedges, no canaries, no admission control
// of queries, no ramp for cold leaves, no fairness between callers, and long queues in
// order of arrival.
func Baseline() Policies {
	return Policies{
		Fanout: fanout.Policy{
			Choice: fanout.ChooseRandom, ExtraAttempts: 3, NoHedge: true, NoCanary: true, NoBackpressure: true,
		},
		Sched: sched.Policy{NoRamp: true, NoFairness: true, Order: sched.OrderOldest, QueuePerSlot: 64},
	}
}

// Intervals and delays of the simulation.
const (
	fanoutTickInterval clock.Milli = 2
	schedTickInterval  clock.Milli = 5
	// detectionTime is how long a host takes to notice that a peer is unreachable.
	detectionTime = 2 * clock.Second
)

// World is one simulation run. Deployment to OnViolation are set before Start.
type World struct {
	Deployment deploy.Deployment
	Policies   Policies
	Seed       uint64
	Model      Model
	// OnViolation, if set, is called with the text of each violated safety property, so that
	// a caller can end the run. Nothing in this repository sets it.
	OnViolation func(violation string)

	Clock      clock.Virtual
	Random     *rand.Rand
	Config     *topo.Config
	Hosts      []*Host
	Leaves     map[string]*Leaf
	leafOrder  []*Leaf // in the order of the inventory, so that runs are reproducible
	Stats      Stats
	partitions map[domainPair]bool // in both directions
	nextID     uint64
	// Executed counts the executions of each update, by the update's ID.
	Executed map[string]int
}

type domainPair struct{ a, b string }

// Start builds hosts and leaves and connects them. All leaves are warm.
func (w *World) Start() {
	w.Random = rand.New(rand.NewPCG(w.Seed, 0x5eed))
	w.partitions = map[domainPair]bool{}
	w.Executed = map[string]int{}
	w.Stats.init()
	w.Config = w.Deployment.Config(1, topo.Rules{})
	w.Leaves = map[string]*Leaf{}
	for _, s := range w.Config.Inventory.Servers {
		v, _ := w.Deployment.Service(s.Service)
		for _, l := range s.Leaves {
			f := newLeaf(w, s, l, v)
			w.Leaves[l.Name] = f
			w.leafOrder = append(w.leafOrder, f)
		}
	}
	for i, h := range w.Deployment.HostList() {
		w.Hosts = append(w.Hosts, &Host{World: w, Index: i, Name: h.Name, Domain: h.Domain})
	}
	for _, h := range w.Hosts {
		h.boot()
	}
	w.every(schedTickInterval, func() {
		for _, h := range w.Hosts {
			h.do(h.tickSched)
		}
	})
	w.every(fanoutTickInterval, func() {
		for _, h := range w.Hosts {
			h.do(h.tickFanout)
		}
	})
}

// every runs f periodically.
func (w *World) every(d clock.Milli, f func()) {
	var run func()
	run = func() {
		f()
		w.Clock.After(d, run)
	}
	w.Clock.After(d, run)
}

// Now returns the virtual time.
func (w *World) Now() clock.Milli { return w.Clock.Now() }

// recordViolation records a violated safety property and calls OnViolation, if set.
func (w *World) recordViolation(text string) {
	w.Stats.Violations = append(w.Stats.Violations, text)
	if w.OnViolation != nil {
		w.OnViolation(text)
	}
}

// liveHosts lists the hosts that are up.
func (w *World) liveHosts() []topo.Host {
	var list []topo.Host
	for _, h := range w.Hosts {
		if !h.down {
			list = append(list, topo.Host{Name: h.Name, Domain: h.Domain, Leaving: h.leaving})
		}
	}
	return list
}

// Publish publishes the next version of the configuration, with these rules. Each
// host applies it after a random delay of at most maxDelay.
func (w *World) Publish(rules topo.Rules, maxDelay clock.Milli) {
	w.Config = w.Deployment.Config(w.Config.Version+1, rules)
	cfg := w.Config
	for _, h := range w.Hosts {
		w.Clock.After(w.randomDelay(maxDelay), func() { h.do(func() { h.configure(cfg) }) })
	}
}

// PublishHosts makes each host apply the current host list after a random delay of
// at most maxDelay.
func (w *World) PublishHosts(maxDelay clock.Milli) {
	for _, h := range w.Hosts {
		w.Clock.After(w.randomDelay(maxDelay), func() { h.do(func() { h.configure(h.cfg) }) })
	}
}

func (w *World) randomDelay(limit clock.Milli) clock.Milli {
	if limit <= 0 {
		return 0
	}
	return clock.Milli(w.Random.Int64N(int64(limit) + 1))
}

// delay returns the one-way latency between two failure domains. A latency of
// 0.5 ms within a region is drawn as 0 or 1 ms.
func (w *World) delay(a, b string) clock.Milli {
	if a == b || w.region(a) == w.region(b) {
		return clock.Milli(w.Random.IntN(2))
	}
	return w.Deployment.RegionLatency + clock.Milli(w.Random.IntN(2))
}

func (w *World) region(domain string) string {
	for _, d := range w.Deployment.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// SetPartitioned partitions a failure domain from all others, or ends the partition.
// The hosts notice after detectionTime.
func (w *World) SetPartitioned(domain string, partitioned bool) {
	for _, d := range w.Deployment.Domains {
		if d.Name != domain {
			w.partitions[domainPair{d.Name, domain}] = partitioned
			w.partitions[domainPair{domain, d.Name}] = partitioned
		}
	}
	w.Clock.After(detectionTime, func() {
		for _, h := range w.Hosts {
			h.do(h.relink)
		}
	})
}

// partitioned reports whether a partition separates two failure domains.
func (w *World) partitioned(a, b string) bool { return w.partitions[domainPair{a, b}] }

// deliver runs f at a host after the network latency from a failure domain, unless the
// domains are partitioned, now or at the arrival, or the host is down by then. A paused
// host runs f when it resumes.
func (w *World) deliver(fromDomain string, to *Host, f func()) {
	if w.partitioned(fromDomain, to.Domain) {
		return
	}
	w.Clock.After(w.delay(fromDomain, to.Domain), func() {
		if !w.partitioned(fromDomain, to.Domain) {
			to.do(f)
		}
	})
}

// Excess counts the requests beyond the capacity of leaves: of cold leaves once a
// health check or a rejection has shown that they are cold, of cold leaves before that, and
// of warm leaves.
func (w *World) Excess() (cold, unseen, warm int) {
	for _, f := range w.leafOrder {
		cold += f.excessCold
		unseen += f.excessUnseen
		warm += f.excessWarm
	}
	return cold, unseen, warm
}

// MaxConns returns the largest number of connections that a leaf ever had, as a
// share of its limit.
func (w *World) MaxConns() float64 {
	highest := 0.0
	for _, f := range w.leafOrder {
		highest = max(highest, float64(f.maxConns)/float64(f.spec.Connections))
	}
	return highest
}
