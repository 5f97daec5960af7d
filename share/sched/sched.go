// Package sched schedules calls to leaves in an aggregator. It tracks the slots
// and connections of each leaf, limits load on leaves that have just started,
// stops sending to leaves that drain or fail, and queues calls briefly. It is a
// state machine without I/O: events and the current time go in, actions come
// out.
package sched

import (
	"sort"

	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// Key identifies a call within one aggregator by the link it arrived on and its
// id on that link.
type Key struct {
	Link uint64
	ID   uint64
}

// ConnID identifies a connection to a leaf.
type ConnID uint64

// Call is a request for one leaf.
type Call struct {
	Key  Key
	Leaf string
	// Caller identifies the sender, for fairness between callers.
	Caller string
	// Deadline is the time after which the answer is of no use.
	Deadline    clock.Milli
	Fingerprint uint64
	// Canary is set for the calls of a query that no leaf is known to have completed,
	// and for every update. Of the canaries with one fingerprint, one runs at a time,
	// and a crash of its server is a strike against the request.
	Canary bool
	// SecondCanary is set for all calls of a query after a server crashed under its
	// first canary. Such a call runs although that crash blocks the request.
	SecondCanary bool
	// Pin is the snapshot that the query runs on.
	Pin topo.SnapshotID
	// Update is set for updates. They run whether or not a leaf has run the
	// same request before.
	Update bool
	// Request is the message to send. The engine doesn't inspect it.
	Request any
}

// Action is an instruction to the aggregator that runs the engine; one of the types
// below.
type Action interface{ action() }

// Send sends a call over a connection, which is opened first if NewConn is set.
type Send struct {
	Leaf    string
	Conn    ConnID
	NewConn bool
	Call    Call
}

// Probe requests the state of a leaf over a connection.
type Probe struct {
	Leaf    string
	Conn    ConnID
	NewConn bool
}

// Abort asks a leaf, over an idle or new connection, to stop working on a call.
// Its result is reported with ProbeDone.
type Abort struct {
	Leaf    string
	Conn    ConnID
	NewConn bool
	Call    Call
}

// CloseConn closes a connection. Its call, if any, has been answered, or is answered by
// a Reply in the same list of actions.
type CloseConn struct {
	Leaf   string
	Conn   ConnID
	Reason query.Reason
}

// Reply reports the final outcome of a call.
type Reply struct {
	Key     Key
	Outcome query.Outcome
}

// Publish sends the changed state of a leaf to the entries.
type Publish struct{ Feedback query.Feedback }

// Claim requests a lease on servers from the other candidate. It includes the
// ages of their leaves as this host knows them.
type Claim struct {
	Host    string
	ID      uint64
	Servers []ServerAges
}

// Grant answers a claim: the servers with Granted set are leased for Duration, counted
// from when the claim was sent.
type Grant struct {
	Host     string
	ID       uint64
	Servers  []ServerAges
	Duration clock.Milli
}

// Release tells the other candidate that this host no longer uses servers.
type Release struct {
	Host    string
	Servers []ServerAges
}

// ShareStrike reports to the peers that a request crashed a server.
type ShareStrike struct{ Strike deny.Strike }

// LeafEvent reports a change in the state of a leaf, for the log and metrics.
type LeafEvent struct {
	Leaf  string
	Event string
	Cause string
}

func (Send) action()        {}
func (Probe) action()       {}
func (CloseConn) action()   {}
func (Abort) action()       {}
func (Reply) action()       {}
func (Publish) action()     {}
func (Claim) action()       {}
func (Grant) action()       {}
func (Release) action()     {}
func (ShareStrike) action() {}
func (LeafEvent) action()   {}

// Policy configures the engine; zero fields take the defaults. The benchmark
// compares policies.
type Policy struct {
	// QueuePerSlot limits the queue of a leaf, in calls per slot.
	QueuePerSlot int
	// Order selects the next call from a queue.
	Order Order
	// NoRamp sends full load to a cold leaf at once. Only the benchmark's
	// baseline sets it.
	NoRamp bool
	// NoFairness selects queued calls regardless of their callers.
	NoFairness bool
	// SilenceTimeout is how long a connection with a call may make no progress.
	SilenceTimeout clock.Milli
}

// Order is the order in which a leaf's queue is served.
type Order uint8

// The queue orders.
const (
	OrderDeadline Order = iota
	OrderOldest
	OrderNewest
)

// Defaults and timing.
const (
	defaultQueuePerSlot               = 4
	defaultSilenceTimeout clock.Milli = 1000
	// probeInterval is the time between two probes of a leaf.
	probeInterval = clock.Second
	// probeTimeout limits the duration of a probe.
	probeTimeout = clock.Second
	// pauseThreshold is the gap between two ticks from which the process counts
	// as having been paused.
	pauseThreshold = clock.Second
	// suspendDuration is how long admission stays suspended after a pause if no
	// peer confirms the configuration.
	suspendDuration = clock.Second
)

// Engine schedules the calls to all leaves of an aggregator. Fields are set
// before the first call. It is not safe for concurrent use.
type Engine struct {
	// Self is the name of this host; Domain is its failure domain.
	Self   string
	Domain string
	Policy Policy

	leaves         map[string]*leaf
	byName         []*leaf             // sorted by name
	calls          map[Key]*activeCall // without an outcome yet
	strikes        deny.Table
	proven         deny.ProvenSet // requests that a leaf has completed
	canaries       map[uint64]Key // the running canary, by fingerprint
	leases         leases
	serviceMeans   map[string]float64 // mean latency in ms, by service
	owners         assign.OwnerCache
	lastConn       ConnID
	lastTick       clock.Milli
	startedAt      clock.Milli
	suspendedUntil clock.Milli // no calls are admitted before
	leaving        bool
}

// leaf is the state of one leaf.
type leaf struct {
	topo.Leaf
	server    string
	service   string
	address   string
	rank      int          // of this host among the server's candidates: 0 primary, 1 standby, -1 none
	warmUp    clock.Milli  // duration of the ramp after a cold start
	slotLimit int          // slots, from the inventory and the server limits
	outReason query.Reason // why the configuration takes the leaf out of service, or ReasonNone

	conns     map[ConnID]*conn
	busy      int        // calls in flight, one per connection
	lostCalls []lostCall // see lostCount
	queue     []*activeCall
	holds     []topo.SnapshotID // snapshots that the leaf last reported
	ramp      ramp
	health    health
	published query.Feedback // as last sent to the entries
}

type conn struct {
	id       ConnID
	call     *activeCall // nil if idle
	probing  bool        // a probe or an abort is in flight
	aborting Key         // the call that the current probe aborts
	sentAt   clock.Milli // when the call or probe was sent
	lastUsed clock.Milli // when it last made progress
	opened   bool        // set once a reply has arrived over it
}

// lostCall is a call whose connection was closed while the leaf may still be working
// on it.
type lostCall struct {
	key   Key
	until clock.Milli // when it stops counting against the leaf's slots
}

type activeCall struct {
	Call
	leaf    *leaf
	arrived clock.Milli
	conn    ConnID // 0 while queued
	// answered is set once the entry has the outcome. The leaf may still be
	// working on the call.
	answered bool
}

// Configure applies a configuration and a host list. The engine keeps the leaves
// in this failure domain whose server this host is a candidate for or still has
// calls at. Configure rejects queued calls for leaves that were removed or taken
// out of service, closes the connections of removed ones that have no call, and
// publishes changed states.
func (e *Engine) Configure(now clock.Milli, cfg *topo.Config, hosts []topo.Host) []Action {
	e.init(now)
	var out []Action
	e.owners.SetHosts(hosts)
	limits := cfg.ServerLimits()
	next := map[string]*leaf{}
	for _, s := range cfg.Inventory.Servers {
		if s.Domain != e.Domain {
			continue
		}
		owners := e.owners.Owners(s.Domain, s.Name)
		rank := rankOf(owners, e.Self)
		e.leases.ensure(now, s.Name, otherCandidate(owners, e.Self))
		if rank < 0 && !e.hasCalls(s) {
			continue
		}
		service, _ := cfg.Service(s.Service)
		for _, l := range s.Leaves {
			f := e.leaves[l.Name]
			if f == nil {
				f = &leaf{conns: map[ConnID]*conn{}}
				f.ramp.restart(now, false /* known */) // cold until the other candidate reports its age
			}
			f.Leaf, f.server, f.service, f.address, f.rank = l, s.Name, s.Service, s.Address, rank
			f.warmUp, f.slotLimit = service.WarmUp, l.Slots
			f.outReason = query.ReasonNone
			if cfg.DomainOut(s.Domain) {
				f.outReason = query.ReasonDomainOut
			}
			if rule, ok := limits[s.Name]; ok {
				if rule.Slots > 0 {
					f.slotLimit = min(f.slotLimit, rule.Slots)
				}
				if rule.Out {
					f.outReason = query.ReasonServerOut
				}
			}
			next[l.Name] = f
		}
	}
	for _, f := range e.byName {
		if next[f.Name] == nil {
			out = append(out, e.removeLeaf(now, f)...)
		}
	}
	e.leaves = next
	e.byName = e.byName[:0]
	for _, f := range next {
		e.byName = append(e.byName, f)
	}
	sort.Slice(e.byName, func(i, j int) bool { return e.byName[i].Name < e.byName[j].Name })
	for _, f := range e.byName {
		if f.outReason != query.ReasonNone {
			out = append(out, e.flush(now, f, f.outReason)...)
		}
		out = append(out, e.publish(f, now)...)
	}
	return out
}

// init creates the maps at the first event and sets the start time.
func (e *Engine) init(now clock.Milli) {
	if e.leaves == nil {
		e.leaves = map[string]*leaf{}
		e.calls = map[Key]*activeCall{}
		e.canaries = map[uint64]Key{}
		e.serviceMeans = map[string]float64{}
		e.lastTick = now
		e.startedAt = now
	}
}

// hasCalls reports whether leaves of a server still run calls. Such a server is
// kept until a later Configure finds none, even if this host no longer owns it.
func (e *Engine) hasCalls(s topo.Server) bool {
	for _, l := range s.Leaves {
		if f := e.leaves[l.Name]; f != nil && f.busy > 0 {
			return true
		}
	}
	return false
}

// rankOf returns the position of this host among a server's owners, or -1.
func rankOf(owners []topo.Host, self string) int {
	for i, h := range owners {
		if h.Name == self {
			return i
		}
	}
	return -1
}

// otherCandidate returns the name of the first candidate that is not self, or "".
func otherCandidate(owners []topo.Host, self string) string {
	for _, h := range owners {
		if h.Name != self {
			return h.Name
		}
	}
	return ""
}

// removeLeaf rejects the queue of a leaf that this host no longer serves and
// closes its connections that have no call.
func (e *Engine) removeLeaf(now clock.Milli, f *leaf) []Action {
	out := e.flush(now, f, query.ReasonNotOwner)
	for _, c := range f.sortedConns() {
		if c.call == nil {
			out = append(out, CloseConn{Leaf: f.Name, Conn: c.id, Reason: query.ReasonNotOwner})
			delete(f.conns, c.id)
		}
	}
	return out
}

// flush rejects all queued calls of a leaf as not run.
func (e *Engine) flush(now clock.Milli, f *leaf, reason query.Reason) []Action {
	var out []Action
	waiting := f.queue
	f.queue = nil
	for _, call := range waiting {
		out = append(out, e.finish(now, call, query.Outcome{Kind: query.NotRun, Reason: reason})...)
	}
	return out
}

func (f *leaf) sortedConns() []*conn {
	list := make([]*conn, 0, len(f.conns))
	for _, c := range f.conns {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// connShare returns how many connections to a leaf this host may hold, at least
// one. The shares of all candidates add up to no more than the leaf accepts, unless
// that is one, so two hosts that both act as primary can't exceed the limit together.
func (f *leaf) connShare() int { return max(1, f.Connections/assign.MaxOwners) }
