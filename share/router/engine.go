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

	table *route.Table
	// formerTables are the replaced tables, oldest first.
	formerTables []formerTable
	domainsOut   map[string]bool
	// hosts is the number of hosts that share the leaves, at least Policy.MinHosts.
	hosts         int
	peers         map[string]*peer   // by address
	peersByDomain map[string][]*peer // ordered by setAggregators
	// aggregator is set if this host calls the leaves of its failure domain
	// itself, and claimsShare if it takes an aggregator's part of them.
	aggregator, claimsShare bool
	// domainHosts is the largest recent number of hosts in the own failure domain.
	domainHosts recentMax
	// sharded holds the services that are shards of a route.
	sharded  map[string]bool
	forwards map[uint64]*forward
	leaves   map[string]*leaf
	services map[string]*service
	regions  map[string]*region
	// waitEstimates, shedders and roundRobins are keyed by route.
	waitEstimates map[string]*waitEstimate
	shedders      map[string]*shedder
	callers       callers
	limiter       limit.Limiter
	crashes       crash.Tracker
	crashDigest   crash.Digest // as last emitted
	roundRobins   map[string]*roundRobin
	queries       map[uint64]*query
	calls         map[uint64]*attempt
	lastCall      uint64
	timers        timerHeap
	// leafLogs is the number of log lines on leaves added or removed in the second that
	// began at leafLogsAt.
	leafLogsAt clock.Milli
	leafLogs   int
	actions    []Action
	started    bool
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
	queue  []*shard // shards that wait for a leaf with free capacity
}

// start initializes the engine at the first event. Later calls do nothing.
func (e *Engine) start(now clock.Milli) {
	if e.started {
		return
	}
	e.started = true
	e.startedAt = now
	e.stalledAt = now - reportHoldoff // no stall yet, so that reports are sent at once
	e.Policy = e.Policy.withDefaults()
	e.hosts = e.Policy.MinHosts
	e.peers = map[string]*peer{}
	e.aggregator = true // until other hosts are known
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

// Handle processes an event and the timers that are due, and returns the actions to take, in
// order.
func (e *Engine) Handle(now clock.Milli, ev Event) []Action {
	e.start(now)
	e.actions = nil
	e.detectStall(now)
	switch ev := ev.(type) {
	case Arrival:
		e.arrive(now, ev)
	case CallerGone:
		e.handleCallerGone(now, ev)
	case CallDone:
		e.handleCallDone(now, ev)
	case Topology:
		e.applyTopology(now, ev)
	case Peers:
		e.setPeers(now, ev.List)
	case CrashReports:
		e.addCrashReports(now, ev)
	case CrashSync:
		e.answerCrashSync(now, ev)
	case ProbeResult:
		e.handleProbeResult(now, ev)
	case ConnRefused:
		e.handleConnRefused(now, ev)
	case LeafReports:
		e.applyLeafReports(now, ev.List)
	case Tick:
		// It only runs the timers.
	}
	e.runTimers(now)
	e.shareCrashDigest()
	return e.actions
}

// NextTick returns when Tick is due, or 0 if no timer is set.
func (e *Engine) NextTick() clock.Milli {
	if len(e.timers) == 0 {
		return 0
	}
	return e.timers[0].at
}

// Ready reports whether this host knows its routes and can serve requests.
func (e *Engine) Ready() bool { return e.table != nil }

// InFlight returns the number of requests in flight.
func (e *Engine) InFlight() int { return len(e.queries) }

// emit adds an action to those that Handle returns.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// applyTopology applies new routes, leaves and failure domains. Routes are replaced only
// by a newer version.
func (e *Engine) applyTopology(now clock.Milli, t Topology) {
	e.dropFormerTables(now)
	if t.Table != nil && (e.table == nil || t.Table.Version > e.table.Version) {
		e.setTable(now, t.Table)
	}
	if t.Regions != nil {
		e.setRegions(t.Regions)
	}
	e.setDomainsOut(t.DomainsOut)
	e.updateRoster(now, t.Leaves)
	for name, s := range e.services {
		s.config = route.Service{Name: name}
		if e.table != nil {
			s.config = e.table.Services[name]
		}
	}
	e.updateShares(now)
}

// setRegions sets the regions of failure domains, and with them those of this host, of the
// other hosts and of the leaves.
func (e *Engine) setRegions(regions map[string]string) {
	e.Regions = regions
	e.Self.Region = regions[e.Self.Domain]
	for _, p := range e.peers {
		p.region = regions[p.Domain]
	}
	for _, f := range e.leaves {
		e.setLeafRegion(f)
	}
}

// setLeafRegion sets a leaf's region, and creates the region's state on first use.
func (e *Engine) setLeafRegion(f *leaf) {
	f.region = e.Regions[f.Domain]
	if e.regions[f.region] == nil {
		e.regions[f.region] = &region{}
	}
}

// updateShares recomputes this host's part of the leaves' connections and of the
// budgets, and dispatches the queued shards that then have a free connection.
func (e *Engine) updateShares(now clock.Milli) {
	for _, s := range e.services {
		e.configureBudget(s)
		for _, f := range s.leaves {
			e.setLeafShare(f, s)
		}
		e.dispatchWaiting(now, s)
	}
}

// configureBudget sets the ratio of a service's budget, and its capacity: this host's part of
// the reserve of all hosts.
func (e *Engine) configureBudget(s *service) {
	s.budget.Configure(e.Policy.BudgetRatio, e.Policy.BudgetReserve/e.budgetSharers(s))
}

// setLeafShare sets the number of connections that this host may use to a leaf, which
// the leaf's slots limit further if their number is known.
func (e *Engine) setLeafShare(f *leaf, s *service) {
	f.sharers = e.leafSharers(f)
	f.connLimit = connectionLimit(s.config, f.sharers)
	if f.Slots > 0 {
		f.connLimit = min(f.connLimit, f.Slots+f.Slots/slotsPerQueuedCall)
	}
}

// setDomainsOut sets the failure domains that get no new work, and logs which of them
// are new and which are back.
func (e *Engine) setDomainsOut(out map[string]bool) {
	for d := range out {
		if !e.domainsOut[d] {
			e.emit(LogRecord{Kind: LogDomainOut, Cause: d})
		}
	}
	for d := range e.domainsOut {
		if !out[d] {
			e.emit(LogRecord{Kind: LogDomainBack, Cause: d})
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
// to a leaf of a service, so that all of them together stay within the leaf's limit. It
// is at least one, even if that exceeds the limit with very many hosts.
func connectionLimit(s route.Service, hosts float64) int {
	if s.Connections == 0 {
		return defaultConnections
	}
	own := int(float64(s.Connections) * connectionShare / hosts)
	return max(1, min(own, maxConnections))
}

// updateRoster replaces the list of leaves, and logs those that were added or removed.
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
		e.emit(LogRecord{Kind: LogLeavesKnown, Total: len(list)})
		added = nil
	}
	for id, f := range e.leaves {
		if !listed[id] {
			e.removeLeaf(f)
			removed = append(removed, f)
		}
	}
	e.logLeaves(now, added, LogLeafNew, LogLeavesNew)
	e.logLeaves(now, removed, LogLeafRemoved, LogLeavesRemoved)
}

// maxLeafLogs bounds the log lines per second on leaves added or removed: when an
// index is resharded, hundreds change on every host.
const maxLeafLogs = 8

// logLeaves logs leaves that were added or removed: each in a record of its own, or all
// in one record, with the first few names, if that would exceed maxLeafLogs in this second.
func (e *Engine) logLeaves(now clock.Milli, list []*leaf, each, all LogKind) {
	if now >= e.leafLogsAt+clock.Second {
		e.leafLogsAt, e.leafLogs = now, 0
	}
	if e.leafLogs+len(list) > maxLeafLogs {
		names := make([]string, 0, maxLeafLogs)
		for _, f := range list[:min(len(list), maxLeafLogs)] {
			names = append(names, f.ID)
		}
		e.emit(LogRecord{Kind: all, Total: len(list), Cause: strings.Join(names, " ")})
		return
	}
	e.leafLogs += len(list)
	for _, f := range list {
		e.emit(LogRecord{Kind: each, Leaf: f.ID, Service: f.Service, Cause: f.Domain})
	}
}

// updateLeaf applies the roster entry of a leaf and reports whether it is new. A leaf
// that has restarted, or has another address or service than before, is a new one: what
// was measured of the old one is dropped.
func (e *Engine) updateLeaf(now clock.Milli, l roster.Leaf) bool {
	f := e.leaves[l.ID]
	if f != nil && f.Leaf == l {
		return false
	}
	same := f != nil && f.Started == l.Started && f.Address == l.Address && f.Service == l.Service
	if !same {
		if f != nil {
			e.removeLeaf(f)
			e.emit(LogRecord{Kind: LogLeafRemoved, Leaf: f.ID, Service: f.Service, Cause: "replaced by a leaf of the same name"})
		}
		f = &leaf{warmupLimiter: warmup.Limiter{Phase: rank.Fraction(e.Self.Host, l.ID)}}
		e.leaves[l.ID] = f
		s := e.service(l.Service)
		s.leaves = append(s.leaves, f)
	}
	if l.Draining && !f.Draining {
		e.emit(LogRecord{Kind: LogLeafDraining, Leaf: l.ID, Service: l.Service})
		e.emit(Forget{Leaf: l.ID})
	}
	f.Leaf = l
	e.setLeafRegion(f)
	if l.WarmupLeft > 0 {
		f.coldUntil = now + l.WarmupLeft
	}
	return !same
}

// removeLeaf removes a leaf that is no longer listed or is replaced. Calls that have been
// sent to it continue.
func (e *Engine) removeLeaf(f *leaf) {
	f.removed = true
	e.emit(Forget{Leaf: f.ID})
	delete(e.leaves, f.ID)
	s := e.services[f.Service]
	for i, l := range s.leaves {
		if l == f {
			s.leaves = append(s.leaves[:i], s.leaves[i+1:]...)
			break
		}
	}
}

// timer is the time at which a query is checked, or an orphaned call or forward is
// cancelled; one of its pointers is set.
type timer struct {
	at      clock.Milli
	query   *query
	call    *attempt
	forward *forward
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds x; it is called by container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last element; it is called by container/heap.
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old)
	x := old[n-1]
	old[n-1] = timer{}
	*h = old[:n-1]
	return x
}

// runTimers handles all timers that are due.
func (e *Engine) runTimers(now clock.Milli) {
	for len(e.timers) > 0 && e.timers[0].at <= now {
		t := heap.Pop(&e.timers).(timer)
		switch {
		case t.call != nil:
			e.cancelOrphan(t.call)
		case t.forward != nil:
			if !t.forward.ended {
				e.emit(Cancel{Call: t.forward.id})
			}
		case !t.query.ended && t.at >= t.query.timerAt:
			// A timer before timerAt is left over: the query was checked by an
			// earlier one, and is next checked at timerAt.
			e.checkQuery(now, t.query)
		}
	}
}

// setTimer schedules a check of a query, unless one is scheduled no later than that.
func (e *Engine) setTimer(q *query, due clock.Milli) {
	if q.timerAt != 0 && q.timerAt <= due {
		return
	}
	q.timerAt = due
	heap.Push(&e.timers, timer{at: due, query: q})
}
