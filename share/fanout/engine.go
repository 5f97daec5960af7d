// Package fanout decides, in an entry, how a query is answered: which snapshot
// it is pinned to, which replica of each shard is asked through which
// aggregator, what is retried or hedged, and when the answer is complete or
// honestly partial. It is a state machine without I/O: events go in with the
// time, actions come out.
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

// Action is something for the program to do; one of the types below.
type Action interface{ action() }

// CallSpec asks one leaf for one shard.
type CallSpec struct {
	ID     uint64
	Leaf   string
	Shard  int
	Canary bool
	// Again: a server died under the query's first canary; this is the second.
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
	Limit       int
	Deadline    clock.Milli
	Fingerprint uint64
	Calls       []CallSpec
}

// CancelCalls tells an aggregator that calls are no longer needed.
type CancelCalls struct {
	Host  string
	Calls []uint64
}

// Answered gives a query its answer.
type Answered struct {
	Query  uint64
	Answer query.Answer
	Steps  []Step
}

// ShareStrike tells all peers of a strike; with a query, the program calls
// Shared when they have it.
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
	Cause query.Reason
}

// Event names a decision.
type Event string

// The events.
const (
	EventPinned       Event = "pinned"
	EventRepinned     Event = "repinned"
	EventCanary       Event = "canary"
	EventSent         Event = "sent"
	EventRetried      Event = "retried"
	EventHedged       Event = "hedged"
	EventFailed       Event = "failed"
	EventMissing      Event = "missing"
	EventHeldByBudget Event = "held-by-budget"
	EventRefused      Event = "refused"
)

// Choice is how a replica is chosen.
type Choice uint8

// The choices.
const (
	ChoosePowerOfTwo Choice = iota
	ChooseLeastLoaded
	ChooseRandom
)

// Policy varies how the engine behaves; zero fields take the defaults. The
// bench compares settings.
type Policy struct {
	Choose Choice
	// BudgetPercent is how many extra leaf calls are allowed per 100 first
	// ones.
	BudgetPercent int
	// HedgeQuantile is the quantile of leaf call times after which a call is
	// hedged, in percent.
	HedgeQuantile float64
	NoHedge       bool
	NoCanary      bool
	// NoBackpressure admits every query; only the baseline sets it.
	NoBackpressure bool
	// FixedRetries retries each failed call so many times without a budget;
	// only the baseline sets it.
	FixedRetries int
}

// Defaults and bounds.
const (
	defaultBudgetPercent = 5
	defaultHedgeQuantile = 95
	// maxTries bounds the attempts per shard, whatever the budget.
	maxTries = 4
	// nearby is how much farther than the nearest a replica may be to count
	// as near, in milliseconds.
	nearby = 2.0
	// strikeWait is how long an answer waits until peers know of a crash.
	strikeWait = 200 * clock.Milli(1)
	// reserve is kept of a deadline for the way back to the caller.
	reserve = 2 * clock.Milli(1)
)

// Engine decides for one entry. Fields are set before the first call. It is
// used from one goroutine.
type Engine struct {
	Self   string
	Domain string
	Policy Policy
	// Random must be seeded by the program, or with a fixed seed in tests.
	Random *rand.Rand

	cfg      *topo.Config
	services map[string]*service
	leafs    map[string]*leaf
	early    map[string]query.Feedback // of leafs not in the inventory yet
	hosts    map[string]*host
	queries  map[uint64]*running
	order    []*running // in order of arrival; may hold finished ones
	attempts map[uint64]*attempt
	strikes  deny.Table
	good     deny.ProvenSet
	lastCall uint64
	owners   assign.OwnerCache
	updates  updates
	now      clock.Milli // time of the event in hand
}

// service is everything known of one service.
type service struct {
	topo.Service
	shards map[uint32][][]*leaf // by layout, then shard
	timing timing
	budget budget
	door   door
	pin    topo.SnapshotID
	pinned bool
	dirty  bool // the pin has to be chosen again
}

// leaf is an entry's view of one leaf.
type leaf struct {
	name    string
	server  string
	domain  string
	service *service
	owners  []string
	out     query.Reason
	fb      query.Feedback
	known   bool
	flying  int     // our calls at it
	usual   float64 // smoothed time of our calls, in ms
	learnt  clock.Milli
}

// Configure puts a configuration and a host list in force. Queries that run
// keep their pin.
func (e *Engine) Configure(cfg *topo.Config, hosts []topo.Host) {
	e.init()
	e.cfg = cfg
	services := map[string]*service{}
	for _, s := range cfg.Inventory.Services {
		v := e.services[s.Name]
		if v == nil {
			v = &service{}
		}
		v.Service = s
		v.dirty = true
		v.shards = map[uint32][][]*leaf{}
		for _, l := range s.Layouts {
			v.shards[l.ID] = make([][]*leaf, l.Shards)
		}
		services[s.Name] = v
	}
	leafs := map[string]*leaf{}
	e.owners.SetHosts(hosts)
	for _, h := range hosts {
		if e.hosts[h.Name] == nil {
			e.hosts[h.Name] = &host{}
		}
	}
	carry := cfg.ServerLimits()
	for _, s := range cfg.Inventory.Servers {
		v := services[s.Service]
		var owners []string
		for _, h := range e.owners.Owners(s.Domain, s.Name) {
			owners = append(owners, h.Name)
		}
		for _, l := range s.Leaves {
			f := e.leafs[l.Name]
			if f == nil {
				f = &leaf{name: l.Name}
			}
			f.server, f.domain, f.service, f.owners = s.Name, s.Domain, v, owners
			f.out = outOf(cfg, carry, s)
			leafs[l.Name] = f
			for _, h := range l.Holds {
				v.shards[h.Layout][h.Shard] = append(v.shards[h.Layout][h.Shard], f)
			}
		}
	}
	e.services, e.leafs = services, leafs
	early := e.early
	e.early = map[string]query.Feedback{}
	for _, fb := range early {
		if e.leafs[fb.Leaf] != nil {
			e.SetFeedback(fb)
		}
	}
}

// maxEarly bounds what is kept of leafs that no configuration names yet.
const maxEarly = 100000

func outOf(cfg *topo.Config, carry map[string]topo.ServerLimit, s topo.Server) query.Reason {
	if cfg.DomainOut(s.Domain) {
		return query.ReasonDomainOut
	}
	if carry[s.Name].Out {
		return query.ReasonServerOut
	}
	return query.ReasonNone
}

func (e *Engine) init() {
	if e.hosts != nil {
		return
	}
	e.hosts = map[string]*host{}
	e.early = map[string]query.Feedback{}
	e.queries = map[uint64]*running{}
	e.attempts = map[uint64]*attempt{}
	e.updates.init()
	if e.Random == nil {
		e.Random = rand.New(rand.NewPCG(1, 2))
	}
}

// Config returns the configuration in force, or nil.
func (e *Engine) Config() *topo.Config { return e.cfg }

// SetFeedback takes what an aggregator knows of a leaf.
func (e *Engine) SetFeedback(fb query.Feedback) {
	e.init()
	f := e.leafs[fb.Leaf]
	if f == nil {
		// A fresh entry is told of all leafs as soon as its links are up,
		// which may be before it has a configuration. Nobody tells it again
		// until something changes, so it is kept.
		if len(e.early) < maxEarly {
			e.early[fb.Leaf] = fb
		}
		return
	}
	if !f.known || f.fb.Closed != fb.Closed || !slices.Equal(f.fb.Holds, fb.Holds) {
		f.service.dirty = true
	}
	f.fb, f.known = fb, true
}

// MergeStrike takes a strike from another host and tells whether it was news.
func (e *Engine) MergeStrike(now clock.Milli, s deny.Strike) bool { return e.strikes.Merge(now, s) }

// Strikes lists the requests refused now.
func (e *Engine) Strikes(now clock.Milli) []deny.Strike { return e.strikes.Active(now) }

// cancelActions lists cancellations by host, in order, so that runs repeat.
func cancelActions(byHost map[string][]uint64) []Action {
	out := make([]Action, 0, len(byHost))
	for _, h := range slices.Sorted(maps.Keys(byHost)) {
		ids := byHost[h]
		slices.Sort(ids)
		out = append(out, CancelCalls{Host: h, Calls: ids})
	}
	return out
}
