package router

import (
	"container/heap"
	"strings"

	"dandelionstile/share/budget"
	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/limit"
	"dandelionstile/share/rank"
	"dandelionstile/share/roster"
	"dandelionstile/share/route"
	"dandelionstile/share/warmup"
)

// HostInfo is where this host stands, its name, where it takes forwarded requests,
// and its processor as of Peer.
type HostInfo struct {
	Host, Domain, Region, Address string
	Capacity                      uint32
}

// Engine is the state of all decisions of one process. It is driven by one
// control loop. The exported fields are set before the first event.
type Engine struct {
	Self HostInfo
	// Regions maps failure domains to regions.
	Regions map[string]string
	Policy  Policy

	table *route.Table
	out   map[string]bool
	hosts int
	peers map[string]*peer
	near  map[string][]*peer // by failure domain, as setAggregators orders them
	// aggregator is set while this host asks the leaves of its failure domain
	// itself, and claims while it takes an aggregator's part of them.
	aggregator, claims bool
	// domainHosts is the largest number of hosts of the own failure domain of late.
	domainHosts peak
	// sharded are the services that are shards of a route.
	sharded  map[string]bool
	forwards map[uint64]*forward
	leafs    map[string]*leaf
	services map[string]*service
	regions  map[string]*region
	waits    map[string]*fullWait
	// shedders are by route.
	shedders map[string]*shedder
	callers  callers
	limiter  limit.Limiter
	crashes  crash.Tracker
	rounds   map[string]*roundRobin
	queries  map[uint64]*query
	calls    map[uint64]*attempt
	lastCall uint64
	alarms   alarms
	// namedAt and named count the lines on leaves that have come or gone.
	namedAt clock.Milli
	named   int
	actions []Action
	started bool
	// startedAt is when the first event came.
	startedAt clock.Milli
	// delayedAt is when this host was last seen to have stood still.
	delayedAt clock.Milli
}

// service is what this host knows of one service.
type service struct {
	config  route.Service
	leafs   []*leaf
	budget  budget.Budget
	waiting []*shard
}

func (e *Engine) start(now clock.Milli) {
	if e.started {
		return
	}
	e.started = true
	e.startedAt = now
	e.delayedAt = now - mistrust
	e.Policy = e.Policy.filled()
	e.hosts = e.Policy.MinHosts
	e.peers = map[string]*peer{}
	e.aggregator = true
	e.forwards = map[uint64]*forward{}
	e.leafs = map[string]*leaf{}
	e.services = map[string]*service{}
	e.regions = map[string]*region{}
	e.waits = map[string]*fullWait{}
	e.shedders = map[string]*shedder{}
	e.rounds = map[string]*roundRobin{}
	e.queries = map[uint64]*query{}
	e.calls = map[uint64]*attempt{}
}

// Handle takes an event and returns what is to be done, in order.
func (e *Engine) Handle(now clock.Milli, ev Event) []Action {
	e.start(now)
	e.actions = nil
	e.notice(now)
	switch ev := ev.(type) {
	case Arrive:
		e.arrive(now, ev)
	case CallerGone:
		e.gone(now, ev)
	case Done:
		e.done(now, ev)
	case Facts:
		e.facts(now, ev)
	case Peers:
		e.setPeers(now, ev.List)
	case CrashReports:
		e.heardOfCrashes(now, ev)
	case ProbeResult:
		e.probed(now, ev)
	case ConnRefused:
		e.absent(now, ev)
	case LeafReports:
		e.heardOfLeafs(now, ev.List)
	case Tick:
	}
	e.runAlarms(now)
	return e.actions
}

// Next is when Tick is due; 0 when nothing is.
func (e *Engine) Next() clock.Milli {
	if len(e.alarms) == 0 {
		return 0
	}
	return e.alarms[0].at
}

// Ready tells whether requests can be served here.
func (e *Engine) Ready() bool { return e.table != nil }

// InFlight is how many requests are under way.
func (e *Engine) InFlight() int { return len(e.queries) }

func (e *Engine) do(a Action) { e.actions = append(e.actions, a) }

// facts puts new facts in force.
func (e *Engine) facts(now clock.Milli, f Facts) {
	if f.Table != nil && (e.table == nil || f.Table.Version > e.table.Version) {
		e.table = f.Table
		e.sharded = shards(f.Table)
		e.do(Note{Kind: NoteTable, Version: f.Table.Version, Total: len(f.Table.Routes)})
	}
	if f.Regions != nil {
		e.setRegions(f.Regions)
	}
	e.domains(f.DomainsOut)
	e.roster(now, f.Leaves)
	for name, s := range e.services {
		s.config = route.Service{Name: name}
		if e.table != nil {
			s.config = e.table.Services[name]
		}
	}
	e.share(now)
}

// setRegions takes over which failure domain lies in which region.
func (e *Engine) setRegions(regions map[string]string) {
	e.Regions = regions
	e.Self.Region = regions[e.Self.Domain]
	for _, p := range e.peers {
		p.region = regions[p.Domain]
	}
	for _, f := range e.leafs {
		e.locate(f)
	}
}

// locate puts a leaf in its region.
func (e *Engine) locate(f *leaf) {
	f.region = e.Regions[f.Domain]
	if e.regions[f.region] == nil {
		e.regions[f.region] = &region{}
	}
}

// share works out this host's part of what all hosts share.
func (e *Engine) share(now clock.Milli) {
	for _, s := range e.services {
		e.fill(s)
		for _, l := range s.leafs {
			e.allot(l, s)
		}
		e.wake(now, s)
	}
}

// fill gives a service's budget this host's part.
func (e *Engine) fill(s *service) {
	s.budget.Configure(e.Policy.BudgetRatio, e.Policy.BudgetReserve/e.budgetSharers(s))
}

// allot gives a leaf this host's part of what all hosts share.
func (e *Engine) allot(f *leaf, s *service) {
	f.hosts = e.leafSharers(f)
	f.limit = connections(s.config, f.hosts)
	if f.Slots > 0 {
		f.limit = min(f.limit, f.Slots+f.Slots/waitingShare)
	}
}

func (e *Engine) domains(out map[string]bool) {
	for d := range out {
		if !e.out[d] {
			e.do(Note{Kind: NoteDomainOut, Cause: d})
		}
	}
	for d := range e.out {
		if !out[d] {
			e.do(Note{Kind: NoteDomainBack, Cause: d})
		}
	}
	e.out = out
}

// service returns the state of a service, made on first use.
func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{}
		if e.table != nil {
			s.config = e.table.Services[name]
		}
		e.fill(s)
		e.services[name] = s
	}
	return s
}

const (
	// connectionShare is the part of a leaf's connections that all hosts
	// together use; the rest is for hosts that come and for other callers.
	connectionShare = 0.9
	// mostConnections bounds a host's connections to one leaf: more would only
	// wait in the leaf's queue instead of here, where they can still go
	// elsewhere and those in time go first. With fewer, calls would spill over
	// to leafs in other regions.
	mostConnections = 3
	// waitingShare is for how many slots of a leaf one more call may wait there:
	// at a leaf with one slot none, since all hosts' calls wait one after the
	// other and the last of them for most of its query's time.
	waitingShare = 2
	// unknownConnections is taken when the operators name no limit.
	unknownConnections = 4
)

// connections is how many connections to each leaf of a service one of several
// hosts uses, so that all of them together stay within the leaf's limit.
func connections(s route.Service, hosts float64) int {
	if s.Connections == 0 {
		return unknownConnections
	}
	own := int(float64(s.Connections) * connectionShare / hosts)
	return max(1, min(own, mostConnections))
}

// roster takes over the list of leafs.
func (e *Engine) roster(now clock.Milli, list []roster.Leaf) {
	listed := make(map[string]bool, len(list))
	// A host that has just started learns of all leafs at once: one line counts
	// them, so that the log does not open with a line for each.
	first := len(e.leafs) == 0 && len(list) > 0
	var came, went []*leaf
	for _, l := range list {
		listed[l.ID] = true
		if e.entry(now, l) {
			came = append(came, e.leafs[l.ID])
		}
	}
	if first {
		e.do(Note{Kind: NoteLeavesKnown, Total: len(list)})
		came = nil
	}
	for id, f := range e.leafs {
		if !listed[id] {
			e.remove(f)
			went = append(went, f)
		}
	}
	e.nameLeaves(now, came, NoteLeafNew, NoteLeavesNew)
	e.nameLeaves(now, went, NoteLeafRemoved, NoteLeavesRemoved)
}

// mostNamedLeaves bounds the lines on leaves that have come or gone in a second:
// when an index is cut anew, hundreds do on every host.
const mostNamedLeaves = 8

// nameLeaves tells of leaves that have come or gone, each in a line of its own or
// all in one.
func (e *Engine) nameLeaves(now clock.Milli, list []*leaf, each, all NoteKind) {
	if now >= e.namedAt+clock.Second {
		e.namedAt, e.named = now, 0
	}
	if e.named+len(list) > mostNamedLeaves {
		names := make([]string, 0, mostNamedLeaves)
		for _, f := range list[:min(len(list), mostNamedLeaves)] {
			names = append(names, f.ID)
		}
		e.do(Note{Kind: all, Total: len(list), Cause: strings.Join(names, " ")})
		return
	}
	e.named += len(list)
	for _, f := range list {
		e.do(Note{Kind: each, Leaf: f.ID, Service: f.Service, Cause: f.Domain})
	}
}

// entry takes over what is listed of one leaf, and says whether it is new.
func (e *Engine) entry(now clock.Milli, l roster.Leaf) bool {
	f := e.leafs[l.ID]
	if f != nil && f.Leaf == l {
		return false
	}
	same := f != nil && f.Started == l.Started && f.Address == l.Address && f.Service == l.Service
	if !same {
		if f != nil {
			e.remove(f)
			e.do(Note{Kind: NoteLeafRemoved, Leaf: f.ID, Service: f.Service, Cause: "another has its name"})
		}
		f = &leaf{pace: warmup.Limiter{Phase: rank.Fraction(e.Self.Host, l.ID)}}
		e.leafs[l.ID] = f
		s := e.service(l.Service)
		s.leafs = append(s.leafs, f)
	}
	if l.Draining && !f.Draining {
		e.do(Note{Kind: NoteLeafDraining, Leaf: l.ID, Service: l.Service})
	}
	f.Leaf = l
	e.locate(f)
	if l.WarmupLeft > 0 {
		f.coldUntil = now + l.WarmupLeft
	}
	return !same
}

func (e *Engine) remove(f *leaf) {
	f.removed = true
	delete(e.leafs, f.ID)
	s := e.services[f.Service]
	for i, one := range s.leafs {
		if one == f {
			s.leafs = append(s.leafs[:i], s.leafs[i+1:]...)
			break
		}
	}
}

// alarm is a time at which a query or a call has to be looked at.
type alarm struct {
	at      clock.Milli
	query   *query
	call    *attempt
	forward *forward
}

type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push adds x; it is called by container/heap.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop removes the last element; it is called by container/heap.
func (a *alarms) Pop() any {
	old := *a
	n := len(old)
	x := old[n-1]
	old[n-1] = alarm{}
	*a = old[:n-1]
	return x
}

// runAlarms looks at everything that is due.
func (e *Engine) runAlarms(now clock.Milli) {
	for len(e.alarms) > 0 && e.alarms[0].at <= now {
		a := heap.Pop(&e.alarms).(alarm)
		switch {
		case a.call != nil:
			e.expire(a.call)
		case a.forward != nil:
			if !a.forward.over {
				e.do(Cancel{Call: a.forward.id})
			}
		case !a.query.over && a.at >= a.query.wakeAt:
			e.look(now, a.query)
		}
	}
}

// arm has a query looked at no later than a time.
func (e *Engine) arm(q *query, at clock.Milli) {
	if q.wakeAt != 0 && q.wakeAt <= at {
		return
	}
	q.wakeAt = at
	heap.Push(&e.alarms, alarm{at: at, query: q})
}
