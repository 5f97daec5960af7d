// Package gate decides, in an aggregator, which calls go to which leaf and
// when. It holds each leaf's slots and connections, warms cold leafs up, stops
// work to leafs that drain or fail, and queues briefly. It is a state machine
// without I/O: events go in with the time, actions come out.
package sched

import (
	"sort"

	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// Key names a call within one aggregator: the link it came on, and its id
// there.
type Key struct {
	Link uint64
	ID   uint64
}

// ConnID names one connection to a leaf.
type ConnID uint64

// Call is one request for one leaf.
type Call struct {
	Key  Key
	Leaf string
	// Caller is who asked, for fairness between callers.
	Caller string
	// Deadline is when the answer is of no more use.
	Deadline    clock.Milli
	Fingerprint uint64
	Canary      bool
	// Again: a server died under this canary's predecessor of the same query.
	SecondCanary bool
	// Pin is the snapshot that a query runs on.
	Pin topo.SnapshotID
	// Update is set for changes; they are run whatever was proven.
	Update bool
	// Request is what the program sends; the engine does not look at it.
	Request any
}

// Action is something for the program to do; one of the types below.
type Action interface{ action() }

// Send puts a call on a connection, which the program opens when Fresh is set.
type Send struct {
	Leaf    string
	Conn    ConnID
	NewConn bool
	Call    Call
}

// Probe asks a leaf for its state over a connection.
type Probe struct {
	Leaf    string
	Conn    ConnID
	NewConn bool
}

// Abort asks a leaf, over an idle connection, to stop working on a call. It
// is answered like a probe.
type Abort struct {
	Leaf    string
	Conn    ConnID
	NewConn bool
	Call    Call
}

// CloseConn closes a connection. Its call, if any, has been answered already.
type CloseConn struct {
	Leaf   string
	Conn   ConnID
	Reason query.Reason
}

// Reply gives a call its final outcome.
type Reply struct {
	Key     Key
	Outcome query.Outcome
}

// Publish tells the entries about a leaf whose state changed.
type Publish struct{ Feedback query.Feedback }

// Claim asks the other candidate for servers to leave them to this host.
type Claim struct {
	Host    string
	ID      uint64
	Servers []ServerAges
}

// Grant answers a claim.
type Grant struct {
	Host     string
	ID       uint64
	Servers  []ServerAges
	Duration clock.Milli
}

// Release tells the other candidate that this host no longer needs servers.
type Release struct {
	Host    string
	Servers []ServerAges
}

// ShareStrike says that a request brought down a server.
type ShareStrike struct{ Strike deny.Strike }

// LeafEvent reports a change of a leaf's state for the log.
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

// Policy varies how the gate behaves; zero fields take the defaults. The bench
// compares settings.
type Policy struct {
	// QueuePerSlot bounds the calls waiting for a leaf, per slot.
	QueuePerSlot int
	// Order picks the next waiting call.
	Order Order
	// NoRamp sends a cold leaf full load at once. Only the bench's baseline
	// sets it.
	NoRamp bool
	// NoFairness takes waiting calls regardless of who asked.
	NoFairness bool
	// SilenceTimeout is how long a connection with a call may make no progress.
	SilenceTimeout clock.Milli
}

// Order is the order of a leaf's queue.
type Order uint8

// The orders.
const (
	OrderDeadline Order = iota
	OrderOldest
	OrderNewest
)

// Defaults and timing.
const (
	defaultQueuePerSlot             = 4
	defaultSilent       clock.Milli = 1000
	// probeEvery is the pause between two probes of one leaf.
	probeEvery = clock.Second
	// probeTimeout is how long a probe may take.
	probeTimeout = clock.Second
	// pauseGap is a gap between two ticks that is taken as a pause of the
	// whole process.
	pauseGap = clock.Second
	// fenceSpan is how long after a pause new work waits for news of the
	// configuration, when none comes.
	fenceSpan = clock.Second
)

// Engine decides for all leafs of one aggregator. Fields are set before the
// first call. It is used from one goroutine.
type Engine struct {
	// Self is this host's name; Domain its failure domain.
	Self   string
	Domain string
	Policy Policy

	leafs    map[string]*leaf
	order    []*leaf // by name
	calls    map[Key]*call
	strikes  deny.Table
	proven   deny.ProvenSet
	canaries map[uint64]Key
	leases   leases
	means    map[string]float64 // usual time by service
	owners   assign.OwnerCache
	lastConn ConnID
	lastTick clock.Milli
	born     clock.Milli
	fenced   clock.Milli // no new work before this time
	leaving  bool
}

// leaf is everything known of one leaf.
type leaf struct {
	topo.Leaf
	server  string
	service string
	address string
	rank    int // this host's place among the server's candidates; -1: none
	warm    clock.Milli
	cap     int // slots by the inventory and the carry rule
	out     query.Reason

	conns   map[ConnID]*conn
	busy    int
	lost    []ghost
	queue   []*call
	holds   []topo.SnapshotID
	ramp    ramp
	health  health
	feeding query.Feedback // as last published
}

type conn struct {
	id     ConnID
	call   *call // nil when idle
	probe  bool
	aborts Key         // the call that the probe under way aborts
	since  clock.Milli // when the call or probe was sent
	used   clock.Milli // when it last made progress
	opened bool
}

// ghost is a call on a condemned connection that the leaf may still work on.
type ghost struct {
	key   Key
	until clock.Milli
}

type call struct {
	Call
	leaf    *leaf
	arrived clock.Milli
	conn    ConnID // 0 while it waits
	// answered: the entry has its outcome, though the leaf may still work.
	answered bool
}

// Configure puts a configuration and a host list in force. Calls that wait for
// a leaf that is now out are answered at once.
func (e *Engine) Configure(now clock.Milli, cfg *topo.Config, hosts []topo.Host) []Action {
	e.init(now)
	var out []Action
	e.owners.SetHosts(hosts)
	carry := cfg.ServerLimits()
	next := map[string]*leaf{}
	for _, s := range cfg.Inventory.Servers {
		if s.Domain != e.Domain {
			continue
		}
		owners := e.owners.Owners(s.Domain, s.Name)
		rank := rankOf(owners, e.Self)
		e.leases.place(now, s.Name, other(owners, e.Self))
		if rank < 0 && !e.serves(s) {
			continue
		}
		service, _ := cfg.Service(s.Service)
		for _, l := range s.Leaves {
			f := e.leafs[l.Name]
			if f == nil {
				f = &leaf{conns: map[ConnID]*conn{}}
				f.ramp.begin(now, false)
			}
			f.Leaf, f.server, f.service, f.address, f.rank = l, s.Name, s.Service, s.Address, rank
			f.warm, f.cap = service.WarmUp, l.Slots
			f.out = query.ReasonNone
			if cfg.DomainOut(s.Domain) {
				f.out = query.ReasonDomainOut
			}
			if rule, ok := carry[s.Name]; ok {
				if rule.Slots > 0 {
					f.cap = min(f.cap, rule.Slots)
				}
				if rule.Out {
					f.out = query.ReasonServerOut
				}
			}
			next[l.Name] = f
		}
	}
	for _, f := range e.order {
		if next[f.Name] == nil {
			out = append(out, e.drop(now, f)...)
		}
	}
	e.leafs = next
	e.order = e.order[:0]
	for _, f := range next {
		e.order = append(e.order, f)
	}
	sort.Slice(e.order, func(i, j int) bool { return e.order[i].Name < e.order[j].Name })
	for _, f := range e.order {
		if f.out != query.ReasonNone {
			out = append(out, e.flush(now, f, f.out)...)
		}
		out = append(out, e.publish(f, now)...)
	}
	return out
}

func (e *Engine) init(now clock.Milli) {
	if e.leafs == nil {
		e.leafs = map[string]*leaf{}
		e.calls = map[Key]*call{}
		e.canaries = map[uint64]Key{}
		e.means = map[string]float64{}
		e.lastTick = now
		e.born = now
	}
}

// serves tells whether calls are still at a server's leafs. Such a server is
// kept until they are done, though this host no longer owns it.
func (e *Engine) serves(s topo.Server) bool {
	for _, l := range s.Leaves {
		if f := e.leafs[l.Name]; f != nil && f.busy > 0 {
			return true
		}
	}
	return false
}

func rankOf(owners []topo.Host, self string) int {
	for i, h := range owners {
		if h.Name == self {
			return i
		}
	}
	return -1
}

// other returns the first candidate that is not self.
func other(owners []topo.Host, self string) string {
	for _, h := range owners {
		if h.Name != self {
			return h.Name
		}
	}
	return ""
}

// drop lets go of a leaf that this host no longer serves.
func (e *Engine) drop(now clock.Milli, f *leaf) []Action {
	out := e.flush(now, f, query.ReasonNotOwner)
	for _, c := range f.sorted() {
		if c.call == nil {
			out = append(out, CloseConn{Leaf: f.Name, Conn: c.id, Reason: query.ReasonNotOwner})
			delete(f.conns, c.id)
		}
	}
	return out
}

// flush answers every waiting call of a leaf as not run.
func (e *Engine) flush(now clock.Milli, f *leaf, why query.Reason) []Action {
	var out []Action
	waiting := f.queue
	f.queue = nil
	for _, c := range waiting {
		out = append(out, e.finish(now, c, query.Outcome{Kind: query.NotRun, Reason: why})...)
	}
	return out
}

func (f *leaf) sorted() []*conn {
	list := make([]*conn, 0, len(f.conns))
	for _, c := range f.conns {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// share is how many of a leaf's connections this host may hold. The shares of
// all candidates sum to no more than the leaf accepts, so two hosts that both
// believe themselves primary cannot exceed it together.
func (f *leaf) share() int { return max(1, f.Connections/assign.MaxOwners) }
