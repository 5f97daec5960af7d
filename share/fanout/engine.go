// Package fanout decides, in an entry, how a query is answered: which snapshot it
// is pinned to, which replica of each shard is called through which aggregator,
// what is retried or hedged, and when the answer is complete or returned as
// partial. It is a state machine without I/O: events and the current time go in,
// actions come out.
package fanout

import (
	"maps"
	"math/rand/v2"
	"slices"

	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// Action is an instruction to the entry that runs the engine; one of the types below.
type Action interface{ action() }

// CallSpec is a call to one leaf for one shard.
type CallSpec struct {
	ID    uint64
	Leaf  string
	Shard int
	// Canary is set for the calls that are sent before the others while no leaf is known
	// to have completed the query. A crash of its server is a strike.
	Canary bool
	// SecondCanary is set for all calls of a query after a server crashed under its
	// first canary. The aggregator runs them although that crash blocks the query.
	SecondCanary bool
}

// SendBatch sends a query's calls to one aggregator.
type SendBatch struct {
	Host        string
	Query       uint64
	Service     string
	Text        string
	Caller      string
	Pin         topo.SnapshotID
	Limit       int // of rows
	Deadline    clock.Milli
	Fingerprint uint64
	Calls       []CallSpec
}

// CancelCalls tells an aggregator that calls are no longer needed.
type CancelCalls struct {
	Host  string
	Calls []uint64
}

// Answered reports the answer of a query.
type Answered struct {
	Query  uint64
	Answer query.Answer
	Steps  []Step
}

// ShareStrike sends a strike to all peers. If Query is set, the entry calls
// StrikeShared once the peers have acknowledged it.
type ShareStrike struct {
	Query  uint64
	Strike deny.Strike
}

func (SendBatch) action()   {}
func (CancelCalls) action() {}
func (Answered) action()    {}
func (ShareStrike) action() {}

// Step is one decision about a query, for traces and `stile explain`.
type Step struct {
	At    clock.Milli
	Event Event
	Shard int
	Leaf  string
	Host  string
	// Cause is the reason for the decision; for EventPinned and EventRepinned, it is the
	// snapshot.
	Cause query.Reason
}

// Event identifies a decision.
type Event string

// The events.
const (
	EventPinned       Event = "pinned"
	EventRepinned     Event = "repinned"
	EventCanary       Event = "canary"
	EventSent         Event = "sent" // an ordinary call, which is not recorded as a step
	EventRetried      Event = "retried"
	EventHedged       Event = "hedged"
	EventFailed       Event = "failed"
	EventMissing      Event = "missing"
	EventHeldByBudget Event = "held-by-budget"
	EventRefused      Event = "refused"
)

// Choice is the method by which a replica is chosen.
type Choice uint8

// The choices.
const (
	ChoosePowerOfTwo Choice = iota
	ChooseLeastLoaded
	ChooseRandom
)

// Policy configures the engine; zero fields take the defaults. The benchmark
// compares policies.
type Policy struct {
	Choice Choice
	// BudgetPercent is the number of extra leaf calls allowed per 100 first calls.
	BudgetPercent int
	// HedgeQuantile is the quantile of a service's leaf call times, in percent. A
	// call that runs longer is hedged.
	HedgeQuantile float64
	NoHedge       bool
	NoCanary      bool
	// NoBackpressure admits every query. Only the benchmark's baseline sets it.
	NoBackpressure bool
	// ExtraAttempts is how many attempts per shard are allowed beyond maxAttempts. If it
	// is set, there is no budget. Only the benchmark's baseline sets it.
	ExtraAttempts int
}

// Defaults and bounds.
const (
	defaultBudgetPercent = 5
	defaultHedgeQuantile = 95
	// maxAttempts limits the attempts per shard between two waits, and the canaries sent
	// per query, regardless of the budget.
	maxAttempts = 4
	// nearbyMarginMS is how much higher than the lowest round-trip time that of a
	// nearby replica may be.
	nearbyMarginMS = 2.0
	// strikeShareTimeout is how long a second canary or a refusal waits until the peers
	// know of a crash.
	strikeShareTimeout = 200 * clock.Milli(1)
	// replyReserve is the part of a deadline reserved for the reply to the caller.
	replyReserve = 2 * clock.Milli(1)
)

// Engine decides how an entry answers queries and updates. Fields are set before
// the first call. It is not safe for concurrent use.
type Engine struct {
	Self   string
	Domain string
	Policy Policy
	// Random chooses replicas and spreads retries. An entry must set it: the default has
	// a fixed seed.
	Random *rand.Rand

	cfg           *topo.Config
	services      map[string]*service
	leaves        map[string]*leaf
	earlyFeedback map[string]query.Feedback // on leaves that no configuration names yet
	hosts         map[string]*host
	queries       map[uint64]*activeQuery
	arrivals      []*activeQuery // in order of arrival; may include answered ones
	attempts      map[uint64]*attempt
	strikes       deny.Table
	proven        deny.ProvenSet
	lastCall      uint64
	owners        assign.OwnerCache
	updates       updates
	now           clock.Milli // time of the last query event or tick, for host.silent
}

// service is the state of one service.
type service struct {
	topo.Service
	shards    map[uint32][][]*leaf // by layout, then shard
	timing    timing
	budget    budget
	admission admission
	pin       topo.SnapshotID
	pinned    bool // whether pin is set: some leaf was usable when it was chosen
	dirty     bool // set when the pin must be chosen again
}

// leaf is an entry's view of a leaf.
type leaf struct {
	name        string
	server      string
	domain      string
	service     *service
	owners      []string     // hosts through which to call the leaf, best first
	outReason   query.Reason // why the configuration takes the leaf out of service, or ReasonNone
	feedback    query.Feedback
	hasFeedback bool
	inFlight    int         // this entry's calls at the leaf
	meanLatency float64     // moving average of this entry's calls, in ms
	updatedAt   clock.Milli // when meanLatency last changed
}

// Configure applies a configuration and a host list. Running queries keep their
// pins. Feedback that arrived before its leaf was configured is applied now; feedback on
// leaves that this configuration doesn't name either is discarded.
func (e *Engine) Configure(cfg *topo.Config, hosts []topo.Host) {
	e.init()
	e.cfg = cfg
	services := map[string]*service{}
	for _, s := range cfg.Inventory.Services {
		svc := e.services[s.Name]
		if svc == nil {
			svc = &service{}
		}
		svc.Service = s
		svc.dirty = true
		svc.shards = map[uint32][][]*leaf{}
		for _, l := range s.Layouts {
			svc.shards[l.ID] = make([][]*leaf, l.Shards)
		}
		services[s.Name] = svc
	}
	leaves := map[string]*leaf{}
	e.owners.SetHosts(hosts)
	for _, h := range hosts {
		if e.hosts[h.Name] == nil {
			e.hosts[h.Name] = &host{}
		}
	}
	limits := cfg.ServerLimits()
	for _, s := range cfg.Inventory.Servers {
		svc := services[s.Service]
		var owners []string
		for _, h := range e.owners.Owners(s.Domain, s.Name) {
			owners = append(owners, h.Name)
		}
		for _, l := range s.Leaves {
			f := e.leaves[l.Name]
			if f == nil {
				f = &leaf{name: l.Name}
			}
			f.server, f.domain, f.service, f.owners = s.Name, s.Domain, svc, owners
			f.outReason = serverOutReason(cfg, limits, s)
			leaves[l.Name] = f
			for _, h := range l.Holds {
				svc.shards[h.Layout][h.Shard] = append(svc.shards[h.Layout][h.Shard], f)
			}
		}
	}
	e.services, e.leaves = services, leaves
	earlyFeedback := e.earlyFeedback
	e.earlyFeedback = map[string]query.Feedback{}
	for _, fb := range earlyFeedback {
		if e.leaves[fb.Leaf] != nil {
			e.SetFeedback(fb)
		}
	}
}

// maxEarlyFeedback limits the feedback kept for leaves that no configuration names
// yet.
const maxEarlyFeedback = 100000

// serverOutReason returns why the configuration takes a server out of service, or
// ReasonNone.
func serverOutReason(cfg *topo.Config, limits map[string]topo.ServerLimit, s topo.Server) query.Reason {
	if cfg.DomainOut(s.Domain) {
		return query.ReasonDomainOut
	}
	if limits[s.Name].Out {
		return query.ReasonServerOut
	}
	return query.ReasonNone
}

// init creates the maps, and Random if it isn't set, at the first call.
func (e *Engine) init() {
	if e.hosts != nil {
		return
	}
	e.hosts = map[string]*host{}
	e.earlyFeedback = map[string]query.Feedback{}
	e.queries = map[uint64]*activeQuery{}
	e.attempts = map[uint64]*attempt{}
	e.updates.init()
	if e.Random == nil {
		e.Random = rand.New(rand.NewPCG(1, 2))
	}
}

// Config returns the configuration in force, or nil.
func (e *Engine) Config() *topo.Config { return e.cfg }

// SetFeedback applies an aggregator's report on a leaf. It has the service's pin
// chosen again if the leaf was opened or closed or its snapshots changed. A report on an
// unknown leaf is kept for Configure.
func (e *Engine) SetFeedback(fb query.Feedback) {
	e.init()
	f := e.leaves[fb.Leaf]
	if f == nil {
		// A new entry gets the state of all leaves as soon as its links are up,
		// possibly before it has a configuration. The state is not sent again
		// until it changes, so it is kept.
		if len(e.earlyFeedback) < maxEarlyFeedback {
			e.earlyFeedback[fb.Leaf] = fb
		}
		return
	}
	if !f.hasFeedback || f.feedback.Closed != fb.Closed || !slices.Equal(f.feedback.Holds, fb.Holds) {
		f.service.dirty = true
	}
	f.feedback, f.hasFeedback = fb, true
}

// MergeStrike applies a strike reported by another host and reports whether it was
// new.
func (e *Engine) MergeStrike(now clock.Milli, s deny.Strike) bool { return e.strikes.Merge(now, s) }

// Strikes returns the requests that are currently blocked.
func (e *Engine) Strikes(now clock.Milli) []deny.Strike { return e.strikes.Active(now) }

// cancelActions returns cancellations sorted by host, so that runs are
// reproducible.
func cancelActions(byHost map[string][]uint64) []Action {
	out := make([]Action, 0, len(byHost))
	for _, h := range slices.Sorted(maps.Keys(byHost)) {
		ids := byHost[h]
		slices.Sort(ids)
		out = append(out, CancelCalls{Host: h, Calls: ids})
	}
	return out
}
