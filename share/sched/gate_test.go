package sched

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

var errDown = errors.New("connection refused")

// testConfig has one backend server with one leaf of four slots.
func testConfig() *topo.Config {
	return &topo.Config{Version: 1, Inventory: topo.Inventory{
		Domains:  []topo.Domain{{Name: "a", Region: "r"}},
		Services: []topo.Service{{Name: "search", Layouts: []topo.Layout{{ID: 1, Shards: 1}}, WarmUp: 1000}},
		Servers: []topo.Server{{
			Name: "s", Service: "search", Domain: "a", Address: "127.0.0.1:1",
			Leaves: []topo.Leaf{{Name: "l", Slots: 4, Connections: 16, Holds: []topo.Hold{{Layout: 1, Shard: 0}}}},
		}},
	}}
}

// alone is a host list with this host only, so that it is primary for all.
var alone = []topo.Host{{Name: "host-a", Domain: "a"}}

// start returns an engine whose leaf is warm, with probes answered.
func start(t *testing.T) (*Engine, clock.Milli) {
	t.Helper()
	e := &Engine{Self: "host-a", Domain: "a"}
	e.Configure(0, testConfig(), alone)
	now := clock.Milli(0)
	for now = 10; now < 2000; now += 50 {
		probeAll(e, now, tick(e, now), LeafStatus{Incarnation: 1})
	}
	assert.Equal(t, e.limit(now, e.leafs["l"]), 4)
	return e, now
}

func tick(e *Engine, now clock.Milli) []Action {
	out, _ := e.Tick(now)
	return out
}

// probeAll answers all probes among the actions.
func probeAll(e *Engine, now clock.Milli, actions []Action, s LeafStatus) {
	for _, a := range actions {
		if p, ok := a.(Probe); ok {
			e.ProbeDone(now, p.Leaf, p.Conn, s, nil)
		}
	}
}

func sends(actions []Action) []Send {
	var list []Send
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			list = append(list, s)
		}
	}
	return list
}

func replies(actions []Action) []query.Outcome {
	var list []query.Outcome
	for _, a := range actions {
		if r, ok := a.(Reply); ok {
			list = append(list, r.Outcome)
		}
	}
	return list
}

func arrive(e *Engine, now clock.Milli, id uint64) []Action {
	return e.Submit(now, Call{Key: Key{1, id}, Leaf: "l", Caller: "c", Deadline: now + 1000, Fingerprint: id})
}

func finishCall(e *Engine, now clock.Milli, s Send, kind query.Kind, sign LeafStatus) []Action {
	return e.CallDone(now, Result{Leaf: s.Leaf, Conn: s.Conn, Key: s.Call.Key, Outcome: query.Outcome{Kind: kind}, Status: sign})
}

// A caller's harmless query is refused as one that crashes servers. The server
// restarts while nothing runs on it; its idle connections are closed; the next
// query is put on one of them, fails, and is blamed for the restart.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	e, now := start(t)
	for _, c := range e.leafs["l"].sorted() {
		for _, a := range e.ConnClosed(now, "l", c.id) {
			if p, ok := a.(Probe); ok {
				e.ProbeDone(now, "l", p.Conn, LeafStatus{}, errDown)
			}
		}
	}
	out := arrive(e, now, 7)
	assert.Equal(t, len(sends(out)), 0)
	assert.Equal(t, replies(out)[0].Kind, query.NotRun)
	assert.Equal(t, replies(out)[0].Reason, query.ReasonUnreachable)
}

// A caller hears nothing for as long as it is willing to wait, though the leaf
// had no room from the start. The refusal must come at once and say when to
// come back.
func TestFullQueueIsRefusedAtOnce(t *testing.T) {
	e, now := start(t)
	var last []Action
	for id := range uint64(4 + 16 + 1) {
		last = arrive(e, now, id+1)
	}
	got := replies(last)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Kind, query.NotRun)
	assert.Equal(t, got[0].Reason, query.ReasonQueueFull)
	assert.Assert(t, got[0].RetryAfter > 0)
}

// A server restarts under load and falls over again: it gets all of its slots'
// worth of work while its caches are empty.
func TestRestartedLeafIsWarmedUp(t *testing.T) {
	e, now := start(t)
	e.ProbeDone(now, "l", e.leafs["l"].sorted()[0].id, LeafStatus{Incarnation: 2}, nil)
	for id := range uint64(8) {
		arrive(e, now, id+1)
	}
	assert.Equal(t, e.leafs["l"].busy, 1)
	now += 500
	e.dispatch(now, e.leafs["l"])
	assert.Equal(t, e.leafs["l"].busy, 2)
}

// An abandoned query still runs at its leaf. If its slot were given away at
// once, the leaf would have more than it bears; if its late reply were taken for
// the next call's, a caller would get another's rows.
func TestCancelledCallKeepsItsSlot(t *testing.T) {
	e, now := start(t)
	first := sends(arrive(e, now, 1))[0]
	out := e.Cancel(now, first.Call.Key)
	assert.Equal(t, replies(out)[0].Reason, query.ReasonCancelled)
	assert.Equal(t, e.leafs["l"].busy, 1)
	late := finishCall(e, now+5, first, query.OK, LeafStatus{Incarnation: 1})
	assert.Equal(t, len(replies(late)), 0)
	assert.Equal(t, e.leafs["l"].busy, 0)
}

// A host sleeps through the rule that takes its failure domain out, wakes up,
// and sends what was in its queue.
func TestPauseHoldsNewWorkBack(t *testing.T) {
	e, now := start(t)
	now += 5000
	_, paused := e.Tick(now)
	assert.Assert(t, paused)
	out := arrive(e, now, 1)
	assert.Equal(t, len(sends(out)), 0)
	assert.Equal(t, replies(out)[0].Reason, query.ReasonWaking)
	e.ResumeAdmission()
	assert.Equal(t, len(sends(arrive(e, now, 2))), 1)
}

// Operators take the failure domain out while calls wait for a leaf in it.
func TestDomainOutFlushesTheQueue(t *testing.T) {
	e, now := start(t)
	for id := range uint64(6) {
		arrive(e, now, id+1)
	}
	cfg := testConfig()
	cfg.Rules.DomainsOut = []string{"a"}
	got := replies(e.Configure(now, cfg, alone))
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Reason, query.ReasonDomainOut)
	assert.Equal(t, got[0].Kind, query.NotRun)
	assert.Equal(t, replies(arrive(e, now, 9))[0].Reason, query.ReasonDomainOut)
}

// A leaving server says so in a refusal, its state endpoint lags and says that
// it is well. The lagging word alone must not bring it back.
func TestDrainIsNotEndedByOneLaggingProbe(t *testing.T) {
	e, now := start(t)
	s := sends(arrive(e, now, 1))[0]
	finishCall(e, now, s, query.NotRun, LeafStatus{Incarnation: 1, Draining: true})
	probe := e.leafs["l"].sorted()[0].id
	e.ProbeDone(now+100, "l", probe, LeafStatus{Incarnation: 1}, nil)
	assert.Equal(t, replies(arrive(e, now+100, 2))[0].Reason, query.ReasonDraining)
	e.ProbeDone(now+drainHold, "l", probe, LeafStatus{Incarnation: 1}, nil)
	assert.Equal(t, len(sends(arrive(e, now+drainHold, 3))), 1)
}

// The same new query arrives many times at once and crashes the server. Only one
// may have run; the others are answered as not run.
func TestOnlyOneCanaryOfAQueryRuns(t *testing.T) {
	e, now := start(t)
	var sent []Send
	for id := range uint64(3) {
		sent = append(sent, sends(e.Submit(now, Call{
			Key: Key{1, id + 1}, Leaf: "l", Deadline: now + 1000, Fingerprint: 77, Canary: true,
		}))...)
	}
	assert.Equal(t, len(sent), 1)
	out := e.CallDone(now+1, Result{
		Leaf: "l", Conn: sent[0].Conn, Key: sent[0].Call.Key, ConnLost: true,
		Outcome: query.Outcome{Kind: query.Died, Reason: query.ReasonReset},
	})
	got := replies(out)
	assert.Equal(t, len(got), 3)
	notRun := 0
	for _, o := range got {
		if o.Kind == query.NotRun {
			notRun++
		}
	}
	assert.Equal(t, notRun, 2)
}

// A whole server dies under popular queries that it has answered a thousand
// times. They are not to blame.
func TestProvenQueryIsNotBlamed(t *testing.T) {
	e, now := start(t)
	s := sends(arrive(e, now, 1))[0]
	out := e.CallDone(now+1, Result{
		Leaf: "l", Conn: s.Conn, Key: s.Call.Key, ConnLost: true,
		Outcome: query.Outcome{Kind: query.Died, Reason: query.ReasonReset},
	})
	assert.Equal(t, replies(out)[0].Kind, query.Unknown)
	assert.Equal(t, len(e.Strikes(now)), 0)
}

// Two aggregators both believe that a cold leaf is theirs, and each gives it all
// that it bears.
func TestTwoBelieversShareAColdLeaf(t *testing.T) {
	hosts := []topo.Host{{Name: "host-a", Domain: "a"}, {Name: "host-b", Domain: "a"}}
	sum := 0
	for _, name := range []string{"host-a", "host-b"} {
		e := &Engine{Self: name, Domain: "a"}
		e.Configure(0, testConfig(), hosts)
		now := clock.Milli(0)
		for ; now < 6000; now += 50 {
			probeAll(e, now, tick(e, now), LeafStatus{Incarnation: 1})
		}
		f := e.leafs["l"]
		f.rank = 0
		f.ramp.begin(now-750, true) // bears three of four
		sum += e.limit(now, f)
	}
	assert.Assert(t, sum <= 3, "together they send %d where the leaf bears 3", sum)
}

// A process restarts and does not know that it had promised to keep off. The
// other relies on the promise, and tells it at once that the leaf is warm.
func TestPromiseOutlivesARestart(t *testing.T) {
	hosts := []topo.Host{{Name: "host-a", Domain: "a"}, {Name: "host-b", Domain: "a"}}
	e := &Engine{Self: "host-a", Domain: "a"}
	now := clock.Milli(100000)
	e.Configure(now, testConfig(), hosts)
	e.leafs["l"].rank = 0
	for _, a := range tick(e, now+5) {
		if c, ok := a.(Claim); ok {
			warm := ServerAges{Server: "s", Leafs: []LeafAge{{Leaf: "l", Age: clock.Minute, Known: true}}}
			e.GrantReceived(now+10, c.Host, c.ID, []ServerAges{warm}, leaseSpan)
		}
	}
	assert.Equal(t, e.leafs["l"].ramp.left(now+10, 1000), clock.Milli(0))
	assert.Equal(t, e.limit(now+leaseSpan-1, e.leafs["l"]), 0)
	assert.Equal(t, e.limit(now+leaseSpan, e.leafs["l"]), 2)
}

// Three connections go silent under their calls while a fourth works: the calls
// are given up and the leaf stays in service.
func TestSilentConnectionDoesNotCondemnItsLeaf(t *testing.T) {
	e, now := start(t)
	silent := map[ConnID]bool{}
	for id := range uint64(3) {
		silent[sends(arrive(e, now, id+1))[0].Conn] = true
	}
	other := sends(arrive(e, now, 9))[0]
	finishCall(e, now+900, other, query.OK, LeafStatus{Incarnation: 1})
	lost := 0
	for _, a := range tick(e, now+999+1) {
		if shut, ok := a.(CloseConn); ok && silent[shut.Conn] {
			lost++
		}
	}
	assert.Equal(t, lost, 3)
	assert.Assert(t, !e.leafs["l"].health.down)
}
