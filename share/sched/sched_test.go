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

// testConfig has one backend server with one leaf of four slots, which warms up
// for 1 s.
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

// alone is a host list with only this host, which makes it primary for all servers.
var alone = []topo.Host{{Name: "host-a", Domain: "a"}}

// warmEngine returns an engine whose leaf is warm: probes were answered for longer
// than its warm-up.
func warmEngine(t *testing.T) (*Engine, clock.Milli) {
	t.Helper()
	e := &Engine{Self: "host-a", Domain: "a"}
	e.Configure(0, testConfig(), alone)
	now := clock.Milli(0)
	for now = 10; now < 2000; now += 50 {
		probeAll(e, now, tick(e, now), LeafStatus{Incarnation: 1})
	}
	assert.Equal(t, e.limit(now, e.leaves["l"]), 4)
	return e, now
}

func tick(e *Engine, now clock.Milli) []Action {
	out, _ := e.Tick(now)
	return out
}

// probeAll answers all probes in actions.
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

func submit(e *Engine, now clock.Milli, id uint64) []Action {
	return e.Submit(now, Call{Key: Key{1, id}, Leaf: "l", Caller: "c", Deadline: now + 1000, Fingerprint: id})
}

func finishCall(e *Engine, now clock.Milli, s Send, kind query.Kind, status LeafStatus) []Action {
	return e.CallDone(now, Result{Leaf: s.Leaf, Conn: s.Conn, Key: s.Call.Key, Outcome: query.Outcome{Kind: kind}, Status: status})
}

// A server restarts while idle and closes its connections. If the next query is
// sent over one of them, it fails, is blamed for the restart, and harmless
// requests are rejected.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	e, now := warmEngine(t)
	for _, c := range e.leaves["l"].sortedConns() {
		for _, a := range e.ConnClosed(now, "l", c.id) {
			if p, ok := a.(Probe); ok {
				e.ProbeDone(now, "l", p.Conn, LeafStatus{}, errDown)
			}
		}
	}
	out := submit(e, now, 7)
	assert.Equal(t, len(sends(out)), 0)
	assert.Equal(t, replies(out)[0].Kind, query.NotRun)
	assert.Equal(t, replies(out)[0].Reason, query.ReasonUnreachable)
}

// A call for a leaf without capacity waits in vain until its deadline, and its
// caller doesn't know when to retry. It must be rejected at once with a Retry-After.
func TestFullQueueIsRefusedAtOnce(t *testing.T) {
	e, now := warmEngine(t)
	var last []Action
	for id := range uint64(4 + 16 + 1) { // 4 slots, a queue of 4 per slot, and one call too many
		last = submit(e, now, id+1)
	}
	got := replies(last)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Kind, query.NotRun)
	assert.Equal(t, got[0].Reason, query.ReasonQueueFull)
	assert.Assert(t, got[0].RetryAfter > 0)
}

// A server restarts, gets calls for all its slots while its caches are empty, and
// collapses.
func TestRestartedLeafIsWarmedUp(t *testing.T) {
	e, now := warmEngine(t)
	e.ProbeDone(now, "l", e.leaves["l"].sortedConns()[0].id, LeafStatus{Incarnation: 2}, nil)
	for id := range uint64(8) {
		submit(e, now, id+1)
	}
	assert.Equal(t, e.leaves["l"].busy, 1)
	now += 500 // half of the warm-up: two of four slots
	e.dispatch(now, e.leaves["l"])
	assert.Equal(t, e.leaves["l"].busy, 2)
}

// A cancelled query still runs at its leaf. Freeing its slot at once would exceed
// the leaf's capacity, and its late reply could be taken for the next call's.
func TestCancelledCallKeepsItsSlot(t *testing.T) {
	e, now := warmEngine(t)
	first := sends(submit(e, now, 1))[0]
	out := e.Cancel(now, first.Call.Key)
	assert.Equal(t, replies(out)[0].Reason, query.ReasonCancelled)
	assert.Equal(t, e.leaves["l"].busy, 1)
	late := finishCall(e, now+5, first, query.OK, LeafStatus{Incarnation: 1})
	assert.Equal(t, len(replies(late)), 0)
	assert.Equal(t, e.leaves["l"].busy, 0)
}

// A process is paused, and a rule may take its failure domain out meanwhile. A call that
// it admits when it continues could run in that domain, so calls must be rejected until
// the configuration is confirmed.
func TestPauseHoldsNewWorkBack(t *testing.T) {
	e, now := warmEngine(t)
	now += 5000 // longer than pauseThreshold
	_, paused := e.Tick(now)
	assert.Assert(t, paused)
	out := submit(e, now, 1)
	assert.Equal(t, len(sends(out)), 0)
	assert.Equal(t, replies(out)[0].Reason, query.ReasonSuspended)
	e.ResumeAdmission()
	assert.Equal(t, len(sends(submit(e, now, 2))), 1)
}

// A failure domain is taken out while calls are queued for one of its leaves. They
// must neither run there nor wait for their deadline.
func TestDomainOutFlushesTheQueue(t *testing.T) {
	e, now := warmEngine(t)
	for id := range uint64(6) {
		submit(e, now, id+1)
	}
	cfg := testConfig()
	cfg.Rules.DomainsOut = []string{"a"}
	got := replies(e.Configure(now, cfg, alone))
	assert.Equal(t, len(got), 2) // six calls for four slots
	assert.Equal(t, got[0].Reason, query.ReasonDomainOut)
	assert.Equal(t, got[0].Kind, query.NotRun)
	assert.Equal(t, replies(submit(e, now, 9))[0].Reason, query.ReasonDomainOut)
}

// A draining server rejects a call while its state endpoint lags and still reports
// it as healthy. The lagging report alone must not end the drain.
func TestDrainIsNotEndedByOneLaggingProbe(t *testing.T) {
	e, now := warmEngine(t)
	s := sends(submit(e, now, 1))[0]
	finishCall(e, now, s, query.NotRun, LeafStatus{Incarnation: 1, Draining: true})
	probe := e.leaves["l"].sortedConns()[0].id
	e.ProbeDone(now+100, "l", probe, LeafStatus{Incarnation: 1}, nil)
	assert.Equal(t, replies(submit(e, now+100, 2))[0].Reason, query.ReasonDraining)
	e.ProbeDone(now+drainHold, "l", probe, LeafStatus{Incarnation: 1}, nil)
	assert.Equal(t, len(sends(submit(e, now+drainHold, 3))), 1)
}

// A new query that crashes servers arrives several times at once. If all calls ran,
// each could take a server down; all but one must be rejected as not run.
func TestOnlyOneCanaryOfAQueryRuns(t *testing.T) {
	e, now := warmEngine(t)
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

// A server crashes under a call that is not a canary, so a leaf has completed its
// query before. The query must not get a strike.
func TestProvenQueryIsNotBlamed(t *testing.T) {
	e, now := warmEngine(t)
	s := sends(submit(e, now, 1))[0]
	out := e.CallDone(now+1, Result{
		Leaf: "l", Conn: s.Conn, Key: s.Call.Key, ConnLost: true,
		Outcome: query.Outcome{Kind: query.Died, Reason: query.ReasonReset},
	})
	assert.Equal(t, replies(out)[0].Kind, query.Unknown)
	assert.Equal(t, len(e.Strikes(now)), 0)
}

// Two aggregators with stale host lists both act as primary for a cold leaf. If each
// sent it the full load of its ramp, the leaf would collapse.
func TestTwoPrimariesShareAColdLeaf(t *testing.T) {
	hosts := []topo.Host{{Name: "host-a", Domain: "a"}, {Name: "host-b", Domain: "a"}}
	sum := 0
	for _, name := range []string{"host-a", "host-b"} {
		e := &Engine{Self: name, Domain: "a"}
		e.Configure(0, testConfig(), hosts)
		now := clock.Milli(0)
		for ; now < 6000; now += 50 { // beyond the warm-up and takeoverDuration
			probeAll(e, now, tick(e, now), LeafStatus{Incarnation: 1})
		}
		f := e.leaves["l"]
		f.rank = 0
		f.ramp.restart(now-750, true /* known */) // allows three of four slots
		sum += e.limit(now, f)
	}
	assert.Assert(t, sum <= 3, "both hosts together send %d calls; the ramp allows 3", sum)
}

// A process restarts and doesn't know that it had granted a lease. The other host
// relies on the lease and reports at once that the leaf is warm. Calls sent before
// the lease ends would exceed the leaf's slots.
func TestLeaseOutlivesARestart(t *testing.T) {
	hosts := []topo.Host{{Name: "host-a", Domain: "a"}, {Name: "host-b", Domain: "a"}}
	e := &Engine{Self: "host-a", Domain: "a"}
	now := clock.Milli(100000)
	e.Configure(now, testConfig(), hosts)
	e.leaves["l"].rank = 0
	for _, a := range tick(e, now+5) {
		if c, ok := a.(Claim); ok {
			warm := ServerAges{Server: "s", Leaves: []LeafAge{{Leaf: "l", Age: clock.Minute, Known: true}}}
			e.GrantReceived(now+10, c.Host, c.ID, []ServerAges{warm}, leaseDuration)
		}
	}
	assert.Equal(t, e.leaves["l"].ramp.remaining(now+10, 1000), clock.Milli(0))
	assert.Equal(t, e.limit(now+leaseDuration-1, e.leaves["l"]), 0)
	assert.Equal(t, e.limit(now+leaseDuration, e.leaves["l"]), 2) // half of four slots: no lease was granted here
}

// Three connections stop making progress under their calls while a fourth works.
// Counting them as failures of the leaf would take a healthy server out of service.
func TestSilentConnectionDoesNotEjectItsLeaf(t *testing.T) {
	e, now := warmEngine(t)
	silent := map[ConnID]bool{}
	for id := range uint64(3) {
		silent[sends(submit(e, now, id+1))[0].Conn] = true
	}
	other := sends(submit(e, now, 9))[0]
	finishCall(e, now+900, other, query.OK, LeafStatus{Incarnation: 1})
	lost := 0
	for _, a := range tick(e, now+999+1) { // defaultSilenceTimeout after the calls were sent
		if closed, ok := a.(CloseConn); ok && silent[closed.Conn] {
			lost++
		}
	}
	assert.Equal(t, lost, 3)
	assert.Assert(t, !e.leaves["l"].health.down)
}
