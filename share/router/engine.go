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

// HostInfo is this host's name, location, address for forwarded requests, and
// capacity as in Peer.
type HostInfo struct {
	Host, Domain, Region, Address string
	Capacity                      uint32
}

// Engine holds the state of all decisions of one process. A single control loop
// drives it. The exported fields are set before the first event.
type Engine struct {
	Self HostInfo
	// Regions maps failure domains to regions.
	Regions map[string]string
	Policy  Policy

	table         *route.Table
	domainsOut    map[string]bool
	hosts         int
	peers         map[string]*peer
	peersByDomain map[string][]*peer // ordered by setAggregators
	// aggregator is set if this host calls the leaves of its failure domain
	// itself, and claimsShare if it takes an aggregator's part of them.
	aggregator, claimsShare bool
	// domainHosts is the largest recent number of hosts in the own failure domain.
	domainHosts recentMax
	// sharded holds the services that are shards of a route.
	sharded       map[string]bool
	forwards      map[uint64]*forward
	leaves        map[string]*leaf
	services      map[string]*service
	regions       map[string]*region
	waitEstimates map[string]*waitEstimate
	// shedders are keyed by route.
	shedders    map[string]*shedder
	callers     callers
	limiter     limit.Limiter
	crashes     crash.Tracker
	roundRobins map[string]*roundRobin
	queries     map[uint64]*query
	calls       map[uint64]*attempt
	lastCall    uint64
	timers      timerHeap
	// leafNotesAt and leafNotes limit the log lines on leaves added or removed.
	leafNotesAt clock.Milli
	leafNotes   int
	actions     []Action
	started     bool
	// startedAt is when the first event arrived.
	startedAt clock.Milli
	// stalledAt is when this host was last found to have stalled.
	stalledAt clock.Milli
}

// service is the state of one service.
type service struct {
	config route.Service
	leaves []*leaf
	budget budget.Budget
	queue  []*shard
}

func (e *Engine) start(now clock.Milli) {
	if e.started {
		return
	}
	e.started = true
	e.startedAt = now
	e.stalledAt = now - stallPause
	e.Policy = e.Policy.withDefaults()
	e.hosts = e.Policy.MinHosts
	e.peers = map[string]*peer{}
	e.aggregator = true
	e.forwards = map[uint64]*forward{}
	e.leaves = map[string]*leaf{}
	e.services = map[string]*service{}
	e.regions = map[string]*region{}
	e.waitEstimates = map[string]*waitEstimate{}
	e.shedders = map[string]*shedder{}
	e.roundRobins = map[string]*roundRobin{}
	e.queries = map[uint64]*query{}
	e.calls = map[uint64]*attempt{}
}

// Handle processes an event and returns the actions to take, in order.
func (e *Engine) Handle(now clock.Milli, ev Event) []Action {
	e.start(now)
	e.actions = nil
	e.detectStall(now)
	switch ev := ev.(type) {
	case Arrival:
		e.arrive(now, ev)
	case CallerGone:
		e.callerGone(now, ev)
	case Done:
		e.done(now, ev)
	case Facts:
		e.applyFacts(now, ev)
	case Peers:
		e.setPeers(now, ev.List)
	case CrashReports:
		e.addCrashReports(now, ev)
	case ProbeResult:
		e.probeResult(now, ev)
	case ConnRefused:
		e.connRefused(now, ev)
	case LeafReports:
		e.applyLeafReports(now, ev.List)
	case Tick:
	}
	e.runTimers(now)
	return e.actions
}

// NextTick returns when Tick is due, or 0 if no timer is set.
func (e *Engine) NextTick() clock.Milli {
	if len(e.timers) == 0 {
		return 0
	}
	return e.timers[0].at
}

// Ready reports whether this host can serve requests.
func (e *Engine) Ready() bool { return e.table != nil }

// InFlight returns the number of requests in flight.
func (e *Engine) InFlight() int { return len(e.queries) }

func (e *Engine) do(a Action) { e.actions = append(e.actions, a) }

// applyFacts applies new routes, leaves and failure domains.
func (e *Engine) applyFacts(now clock.Milli, f Facts) {
	if f.Table != nil && (e.table == nil || f.Table.Version > e.table.Version) {
		e.table = f.Table
		e.sharded = shardServices(f.Table)
		e.do(Note{Kind: NoteTable, Version: f.Table.Version, Total: len(f.Table.Routes)})
	}
	if f.Regions != nil {
		e.setRegions(f.Regions)
	}
	e.setDomainsOut(f.DomainsOut)
	e.updateRoster(now, f.Leaves)
	for name, s := range e.services {
		s.config = route.Service{Name: name}
		if e.table != nil {
			s.config = e.table.Services[name]
		}
	}
	e.updateShares(now)
}

// setRegions sets the regions of failure domains.
func (e *Engine) setRegions(regions map[string]string) {
	e.Regions = regions
	e.Self.Region = regions[e.Self.Domain]
	for _, p := range e.peers {
		p.region = regions[p.Domain]
	}
	for _, f := range e.leaves {
		e.locate(f)
	}
}

// locate sets a leaf's region.
func (e *Engine) locate(f *leaf) {
	f.region = e.Regions[f.Domain]
	if e.regions[f.region] == nil {
		e.regions[f.region] = &region{}
	}
}

// updateShares recomputes this host's part of what all hosts share.
func (e *Engine) updateShares(now clock.Milli) {
	for _, s := range e.services {
		e.configureBudget(s)
		for _, l := range s.leaves {
			e.setLeafShare(l, s)
		}
		e.dispatchWaiting(now, s)
	}
}

// configureBudget sets this host's part of a service's budget.
func (e *Engine) configureBudget(s *service) {
	s.budget.Configure(e.Policy.BudgetRatio, e.Policy.BudgetReserve/e.budgetSharers(s))
}

// setLeafShare sets this host's part of a leaf's connections and cold rate.
func (e *Engine) setLeafShare(f *leaf, s *service) {
	f.hosts = e.leafSharers(f)
	f.limit = connectionLimit(s.config, f.hosts)
	if f.Slots > 0 {
		f.limit = min(f.limit, f.Slots+f.Slots/slotsPerQueuedCall)
	}
}

func (e *Engine) setDomainsOut(out map[string]bool) {
	for d := range out {
		if !e.domainsOut[d] {
			e.do(Note{Kind: NoteDomainOut, Cause: d})
		}
	}
	for d := range e.domainsOut {
		if !out[d] {
			e.do(Note{Kind: NoteDomainBack, Cause: d})
		}
	}
	e.domainsOut = out
}

// service returns the state of a service and creates it on first use.
func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{}
		if e.table != nil {
			s.config = e.table.Services[name]
		}
		e.configureBudget(s)
		e.services[name] = s
	}
	return s
}

const (
	// connectionShare is the part of a leaf's connections that all hosts
	// together use; the rest is for new hosts and for other callers.
	connectionShare = 0.9
	// maxConnections bounds a host's connections to one leaf: calls on more of
	// them would wait in the leaf's queue instead of here, where they can still
	// go to another leaf and those in time go first. With fewer, calls would
	// spill over to leaves in other regions.
	maxConnections = 3
	// slotsPerQueuedCall is the number of a leaf's slots for which one more call
	// may wait there. No call waits at a leaf with one slot, since the calls of
	// all hosts are served one by one and the last would wait for most of its
	// query's time.
	slotsPerQueuedCall = 2
	// defaultConnections applies if the operators set no limit.
	defaultConnections = 4
)

// connectionLimit returns the number of connections that each of several hosts uses
// to a leaf of a service, so that all of them together stay within the leaf's limit.
func connectionLimit(s route.Service, hosts float64) int {
	if s.Connections == 0 {
		return defaultConnections
	}
	own := int(float64(s.Connections) * connectionShare / hosts)
	return max(1, min(own, maxConnections))
}

// updateRoster replaces the list of leaves.
func (e *Engine) updateRoster(now clock.Milli, list []roster.Leaf) {
	listed := make(map[string]bool, len(list))
	// A host that has just started learns all leaves at once: one line counts
	// them, so that the log doesn't begin with a line for each.
	first := len(e.leaves) == 0 && len(list) > 0
	var added, removed []*leaf
	for _, l := range list {
		listed[l.ID] = true
		if e.updateLeaf(now, l) {
			added = append(added, e.leaves[l.ID])
		}
	}
	if first {
		e.do(Note{Kind: NoteLeavesKnown, Total: len(list)})
		added = nil
	}
	for id, f := range e.leaves {
		if !listed[id] {
			e.removeLeaf(f)
			removed = append(removed, f)
		}
	}
	e.noteLeaves(now, added, NoteLeafNew, NoteLeavesNew)
	e.noteLeaves(now, removed, NoteLeafRemoved, NoteLeavesRemoved)
}

// maxLeafNotes bounds the log lines per second on leaves added or removed: when an
// index is resharded, hundreds change on every host.
const maxLeafNotes = 8

// noteLeaves logs leaves that were added or removed, each in its own line, or all in
// one line if there are too many.
func (e *Engine) noteLeaves(now clock.Milli, list []*leaf, each, all NoteKind) {
	if now >= e.leafNotesAt+clock.Second {
		e.leafNotesAt, e.leafNotes = now, 0
	}
	if e.leafNotes+len(list) > maxLeafNotes {
		names := make([]string, 0, maxLeafNotes)
		for _, f := range list[:min(len(list), maxLeafNotes)] {
			names = append(names, f.ID)
		}
		e.do(Note{Kind: all, Total: len(list), Cause: strings.Join(names, " ")})
		return
	}
	e.leafNotes += len(list)
	for _, f := range list {
		e.do(Note{Kind: each, Leaf: f.ID, Service: f.Service, Cause: f.Domain})
	}
}

// updateLeaf applies the inventory entry of a leaf and reports whether it is new.
func (e *Engine) updateLeaf(now clock.Milli, l roster.Leaf) bool {
	f := e.leaves[l.ID]
	if f != nil && f.Leaf == l {
		return false
	}
	same := f != nil && f.Started == l.Started && f.Address == l.Address && f.Service == l.Service
	if !same {
		if f != nil {
			e.removeLeaf(f)
			e.do(Note{Kind: NoteLeafRemoved, Leaf: f.ID, Service: f.Service, Cause: "another has its name"})
		}
		f = &leaf{warmupLimiter: warmup.Limiter{Phase: rank.Fraction(e.Self.Host, l.ID)}}
		e.leaves[l.ID] = f
		s := e.service(l.Service)
		s.leaves = append(s.leaves, f)
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

func (e *Engine) removeLeaf(f *leaf) {
	f.removed = true
	delete(e.leaves, f.ID)
	s := e.services[f.Service]
	for i, l := range s.leaves {
		if l == f {
			s.leaves = append(s.leaves[:i], s.leaves[i+1:]...)
			break
		}
	}
}

// timer is the time at which a query, a call or a forward is checked.
type timer struct {
	at      clock.Milli
	query   *query
	call    *attempt
	forward *forward
}

type timerHeap []timer

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push adds x; it is called by container/heap.
func (a *timerHeap) Push(x any) { *a = append(*a, x.(timer)) }

// Pop removes the last element; it is called by container/heap.
func (a *timerHeap) Pop() any {
	old := *a
	n := len(old)
	x := old[n-1]
	old[n-1] = timer{}
	*a = old[:n-1]
	return x
}

// runTimers handles all timers that are due.
func (e *Engine) runTimers(now clock.Milli) {
	for len(e.timers) > 0 && e.timers[0].at <= now {
		a := heap.Pop(&e.timers).(timer)
		switch {
		case a.call != nil:
			e.cancelOrphan(a.call)
		case a.forward != nil:
			if !a.forward.over {
				e.do(Cancel{Call: a.forward.id})
			}
		case !a.query.over && a.at >= a.query.timerAt:
			e.checkQuery(now, a.query)
		}
	}
}

// setTimer has a query checked no later than a time.
func (e *Engine) setTimer(q *query, at clock.Milli) {
	if q.timerAt != 0 && q.timerAt <= at {
		return
	}
	q.timerAt = at
	heap.Push(&e.timers, timer{at: at, query: q})
}
