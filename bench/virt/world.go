// Package virt drives the product's decisions under a virtual clock: the same
// engines that the programs run, joined by small fakes at their interfaces (a
// network with delays and cuts, leafs, callers). A run with one seed is the same
// each time.
package virt

import (
	"math/rand/v2"

	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/sched"
	"dandelionstile/share/topo"
)

// Policies are the settings under test.
type Policies struct {
	Fanout fanout.Policy
	Gate   sched.Policy
}

// Baseline is what the product is compared with: a random replica, three fixed
// retries, no hedges, no ramp, a fixed limit, nothing turned away at the door.
func Baseline() Policies {
	return Policies{
		Fanout: fanout.Policy{
			Choice: fanout.ChooseRandom, FixedRetries: 3, NoHedge: true, NoCanary: true, NoBackpressure: true,
		},
		Gate: sched.Policy{NoRamp: true, NoFairness: true, Order: sched.OrderOldest, QueuePerSlot: 64},
	}
}

// Timing of the fakes.
const (
	fanTick  clock.Milli = 2
	gateTick clock.Milli = 5
	// noticeCut is how long a host takes to notice that a peer is silent.
	noticeCut = 2 * clock.Second
)

// World is one run. Fields above the line are set before Start.
type World struct {
	Deployment deploy.Deployment
	Policies   Policies
	Seed       uint64
	Model      Model
	// Strict makes a broken safety property end the run at once.
	Strict func(fault string)

	Clock  clock.Virtual
	Random *rand.Rand
	Config *topo.Config
	Hosts  []*Host
	Leafs  map[string]*Leaf
	order  []*Leaf
	Stats  Stats
	cuts   map[pair]bool
	nextID uint64
	// Executed counts the executions of each update.
	Executed map[string]int
}

type pair struct{ a, b string }

// Start builds hosts and leafs and lets them link up. All leafs are warm.
func (w *World) Start() {
	w.Random = rand.New(rand.NewPCG(w.Seed, 0x5eed))
	w.cuts = map[pair]bool{}
	w.Executed = map[string]int{}
	w.Stats.init()
	w.Config = w.Deployment.Config(1, topo.Rules{})
	w.Leafs = map[string]*Leaf{}
	for _, s := range w.Config.Inventory.Servers {
		v, _ := w.Deployment.Service(s.Service)
		for _, l := range s.Leaves {
			f := newLeaf(w, s, l, v)
			w.Leafs[l.Name] = f
			w.order = append(w.order, f)
		}
	}
	for i, h := range w.Deployment.HostList() {
		w.Hosts = append(w.Hosts, &Host{World: w, Index: i, Name: h.Name, Domain: h.Domain})
	}
	for _, h := range w.Hosts {
		h.boot()
	}
	w.every(gateTick, func() {
		for _, h := range w.Hosts {
			h.do(h.tickGate)
		}
	})
	w.every(fanTick, func() {
		for _, h := range w.Hosts {
			h.do(h.tickFan)
		}
	})
}

// every runs f again and again.
func (w *World) every(d clock.Milli, f func()) {
	var again func()
	again = func() {
		f()
		w.Clock.After(d, again)
	}
	w.Clock.After(d, again)
}

// Now is the virtual time.
func (w *World) Now() clock.Milli { return w.Clock.Now() }

// fault reports a broken safety property.
func (w *World) fault(text string) {
	w.Stats.Faults = append(w.Stats.Faults, text)
	if w.Strict != nil {
		w.Strict(text)
	}
}

// live lists the hosts that are up, as a host list.
func (w *World) live() []topo.Host {
	var list []topo.Host
	for _, h := range w.Hosts {
		if !h.down {
			list = append(list, topo.Host{Name: h.Name, Domain: h.Domain, Leaving: h.leaving})
		}
	}
	return list
}

// Publish puts rules in force on all hosts, each after a delay of its own.
func (w *World) Publish(rules topo.Rules, most clock.Milli) {
	w.Config = w.Deployment.Config(w.Config.Version+1, rules)
	cfg := w.Config
	for _, h := range w.Hosts {
		w.Clock.After(w.upTo(most), func() { h.do(func() { h.configure(cfg) }) })
	}
}

// PublishHosts puts the present host list in force on all hosts.
func (w *World) PublishHosts(most clock.Milli) {
	for _, h := range w.Hosts {
		w.Clock.After(w.upTo(most), func() { h.do(func() { h.configure(h.cfg) }) })
	}
}

func (w *World) upTo(most clock.Milli) clock.Milli {
	if most <= 0 {
		return 0
	}
	return clock.Milli(w.Random.Int64N(int64(most) + 1))
}

// delay is the one-way latency between two failure domains. Half a millisecond
// within a region is drawn as nothing or one.
func (w *World) delay(a, b string) clock.Milli {
	if a == b || w.region(a) == w.region(b) {
		return clock.Milli(w.Random.IntN(2))
	}
	return w.Deployment.Region + clock.Milli(w.Random.IntN(2))
}

func (w *World) region(domain string) string {
	for _, d := range w.Deployment.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// Cut cuts a failure domain off from all others, or heals it. The hosts notice
// after a while.
func (w *World) Cut(domain string, on bool) {
	for _, d := range w.Deployment.Domains {
		if d.Name != domain {
			w.cuts[pair{d.Name, domain}] = on
			w.cuts[pair{domain, d.Name}] = on
		}
	}
	w.Clock.After(noticeCut, func() {
		for _, h := range w.Hosts {
			h.do(h.relink)
		}
	})
}

func (w *World) cut(a, b string) bool { return w.cuts[pair{a, b}] }

// deliver runs f at a host after the network's delay, unless the way is cut or
// the host is down by then.
func (w *World) deliver(from string, to *Host, f func()) {
	if w.cut(from, to.Domain) {
		return
	}
	w.Clock.After(w.delay(from, to.Domain), func() {
		if !w.cut(from, to.Domain) {
			to.do(f)
		}
	})
}

// Excess counts the requests beyond what leafs could bear: cold ones, cold ones
// that had given no sign of it, and warm ones.
func (w *World) Excess() (cold, unseen, warm int) {
	for _, f := range w.order {
		cold += f.excess
		unseen += f.hidden
		warm += f.over
	}
	return cold, unseen, warm
}

// MaxConns is the most connections that any leaf ever had, as a share of what
// it accepts.
func (w *World) MaxConns() float64 {
	most := 0.0
	for _, f := range w.order {
		most = max(most, float64(f.mostConns)/float64(f.spec.Connections))
	}
	return most
}
