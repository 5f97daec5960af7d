package fanout

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// pin is the only snapshot that the leaves hold in most tests.
var pin = topo.SnapshotID{Layout: 1, Version: 1}

// testConfig has one service of two shards with two replicas each, in two
// failure domains, and one host in each.
func testConfig() (*topo.Config, []topo.Host) {
	leaf := func(name string, shard int) topo.Leaf {
		return topo.Leaf{Name: name, Slots: 2, Connections: 8, Holds: []topo.Hold{{Layout: 1, Shard: shard}}}
	}
	cfg := &topo.Config{Version: 1, Inventory: topo.Inventory{
		Domains: []topo.Domain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Services: []topo.Service{{
			Name: "search", Layouts: []topo.Layout{{ID: 1, Shards: 2}}, WarmUp: 1000, Deadline: 1000, Patience: 100,
		}},
		Servers: []topo.Server{
			{Name: "s-a", Service: "search", Domain: "a", Address: "127.0.0.1:1", Leaves: []topo.Leaf{leaf("a0", 0), leaf("a1", 1)}},
			{Name: "s-b", Service: "search", Domain: "b", Address: "127.0.0.1:2", Leaves: []topo.Leaf{leaf("b0", 0), leaf("b1", 1)}},
		},
	}}
	return cfg, []topo.Host{{Name: "host-a", Domain: "a"}, {Name: "host-b", Domain: "b"}}
}

func testEngine(policy Policy) *Engine {
	e := &Engine{Self: "host-a", Domain: "a", Policy: policy, Random: rand.New(rand.NewPCG(7, 7))}
	cfg, hosts := testConfig()
	e.Configure(cfg, hosts)
	for _, h := range hosts {
		e.HostUp(h.Name)
		e.RecordRTT(h.Name, 1)
	}
	e.RecordRTT("host-b", 1)
	for _, name := range []string{"a0", "a1", "b0", "b1"} {
		e.SetFeedback(query.Feedback{Leaf: name, Limit: 2, Holds: []topo.SnapshotID{pin}})
	}
	return e
}

// calls returns the calls of all batches.
func calls(actions []Action) []CallSpec {
	var list []CallSpec
	for _, a := range actions {
		if b, ok := a.(SendBatch); ok {
			list = append(list, b.Calls...)
		}
	}
	return list
}

func answerOf(actions []Action) (query.Answer, bool) {
	for _, a := range actions {
		if answered, ok := a.(Answered); ok {
			return answered.Answer, true
		}
	}
	return query.Answer{}, false
}

func startQuery(e *Engine, now clock.Milli, id uint64) []Action {
	return e.StartQuery(now, Request{ID: id, Service: "search", Text: "red", Caller: "c", Limit: 10, Deadline: now + 500})
}

func okOutcome(call uint64, key string) query.Outcome {
	return query.Outcome{Call: call, Kind: query.OK, Rows: []query.Row{{Key: key, Score: 1}}}
}

// The links of a new entry come up before its configuration, so it gets the state
// of leaves it doesn't know yet. If it discarded that, it would refuse queries until
// a leaf changes.
func TestFeedbackBeforeConfiguration(t *testing.T) {
	e := &Engine{Self: "host-a", Domain: "a", Policy: Policy{NoCanary: true}}
	e.HostUp("host-a")
	e.HostUp("host-b")
	for _, name := range []string{"a0", "a1", "b0", "b1"} {
		e.SetFeedback(query.Feedback{Leaf: name, Limit: 2, Holds: []topo.SnapshotID{pin}})
	}
	cfg, hosts := testConfig()
	e.Configure(cfg, hosts)
	assert.Equal(t, len(calls(startQuery(e, 1, 1))), 2)
}

// newEngineWithoutCanary returns an engine that sends no canaries, as for a proven query.
func newEngineWithoutCanary() *Engine { return testEngine(Policy{NoCanary: true}) }

func TestCompleteAnswer(t *testing.T) {
	e := newEngineWithoutCanary()
	sent := calls(startQuery(e, 1, 1))
	assert.Equal(t, len(sent), 2)
	e.CallDone(5, okOutcome(sent[0].ID, "x"))
	a, done := answerOf(e.CallDone(6, okOutcome(sent[1].ID, "y")))
	assert.Assert(t, done)
	assert.Assert(t, a.Coverage.Complete())
	assert.Equal(t, len(a.Rows), 2)
	assert.Equal(t, a.Extra, 0)
}

// The replicas of a shard are lost one after the other. The answer must not claim
// full coverage.
func TestLostReplicasAreReported(t *testing.T) {
	e := newEngineWithoutCanary()
	sent := calls(startQuery(e, 1, 1))
	e.CallDone(5, okOutcome(sent[0].ID, "x"))
	again := calls(e.CallDone(6, query.Outcome{Call: sent[1].ID, Kind: query.Unknown, Reason: query.ReasonReset}))
	assert.Equal(t, len(again), 1)
	a, done := answerOf(e.CallDone(7, query.Outcome{Call: again[0].ID, Kind: query.Unknown, Reason: query.ReasonReset}))
	assert.Assert(t, done)
	assert.Equal(t, a.Coverage.Answered, 1)
	assert.DeepEqual(t, a.Coverage.Missing, []query.Missing{{Shard: sent[1].Shard, Reason: query.ReasonReset}})
	assert.Equal(t, a.Extra, 1)
}

// An outcome arrives again after its query was answered. It must not be merged into that
// query or into the next one.
func TestLateReplyChangesNothing(t *testing.T) {
	e := newEngineWithoutCanary()
	sent := calls(startQuery(e, 1, 1))
	e.CallDone(5, okOutcome(sent[0].ID, "x"))
	_, done := answerOf(e.CallDone(6, okOutcome(sent[1].ID, "y")))
	assert.Assert(t, done)
	assert.Equal(t, len(e.CallDone(7, okOutcome(sent[1].ID, "y"))), 0)
	next := calls(startQuery(e, 8, 2))
	e.CallDone(9, okOutcome(next[0].ID, "z"))
	a, _ := answerOf(e.CallDone(9, okOutcome(next[1].ID, "w")))
	assert.Equal(t, len(a.Rows), 2)
}

// The index is updated while a query runs, and no replica holds the query's snapshot
// any more. Mixing the results of two snapshots would be wrong: the query starts over.
func TestQueryStartsOverOnTheNextSnapshot(t *testing.T) {
	e := newEngineWithoutCanary()
	sent := calls(startQuery(e, 1, 1))
	e.CallDone(2, okOutcome(sent[0].ID, "old"))
	next := topo.SnapshotID{Layout: 1, Version: 2}
	for _, name := range []string{"a0", "a1", "b0", "b1"} {
		e.SetFeedback(query.Feedback{Leaf: name, Limit: 2, Holds: []topo.SnapshotID{next}})
	}
	out := e.CallDone(3, query.Outcome{Call: sent[1].ID, Kind: query.NotRun, Reason: query.ReasonSnapshot})
	again := calls(out)
	assert.Equal(t, len(again), 2)
	e.CallDone(4, okOutcome(again[0].ID, "new"))
	a, done := answerOf(e.CallDone(5, okOutcome(again[1].ID, "new too")))
	assert.Assert(t, done)
	assert.Equal(t, a.Pin, next)
	for _, r := range a.Rows {
		assert.Assert(t, r.Key != "old")
	}
	assert.Equal(t, a.Extra, 1) // the call whose result was discarded
}

// Leaves fail and retries of every query add load that keeps them down. The budget
// must limit the retries.
func TestRetryBudgetIsExhausted(t *testing.T) {
	e := newEngineWithoutCanary()
	extra, first := 0, 0
	for id := range uint64(200) {
		sent := calls(startQuery(e, clock.Milli(id+1), id+1))
		first += len(sent)
		for _, c := range sent {
			extra += len(calls(e.CallDone(clock.Milli(id+1), query.Outcome{Call: c.ID, Kind: query.Unknown, Reason: query.ReasonReset})))
		}
		e.Tick(clock.Milli(id + 1))
	}
	assert.Assert(t, float64(extra) <= budgetBurst+float64(first*defaultBudgetPercent)/100+1, "%d extra calls for %d first calls", extra, first)
}

// A hedge that is queued has no benefit and adds load to leaves that are already full.
func TestHedgeGoesOnlyToAFreeLeaf(t *testing.T) {
	e := newEngineWithoutCanary()
	sent := calls(startQuery(e, 1, 1))
	for _, name := range []string{"a0", "a1", "b0", "b1"} {
		e.SetFeedback(query.Feedback{Leaf: name, Limit: 2, Busy: 2, Holds: []topo.SnapshotID{pin}})
	}
	assert.Equal(t, len(calls(e.Tick(1+defaultHedgeDelay))), 0)
	for _, name := range []string{"a0", "a1", "b0", "b1"} {
		e.SetFeedback(query.Feedback{Leaf: name, Limit: 2, Holds: []topo.SnapshotID{pin}})
	}
	hedges := calls(e.Tick(2 + defaultHedgeDelay))
	assert.Equal(t, len(hedges), 2)
	assert.Assert(t, hedges[0].Leaf != sent[0].Leaf)
}

// A failure domain that is out must get no calls. If all domains are out, queries are
// refused.
func TestDomainOutGetsNoCalls(t *testing.T) {
	e := newEngineWithoutCanary()
	cfg, hosts := testConfig()
	cfg.Rules.DomainsOut = []string{"a", "b"}
	e.Configure(cfg, hosts)
	a, done := answerOf(startQuery(e, 1, 1))
	assert.Assert(t, done)
	assert.Equal(t, a.Refused, query.ReasonNotReady)
	cfg.Rules.DomainsOut = []string{"b"}
	e.Configure(cfg, hosts)
	for _, c := range calls(startQuery(e, 2, 2)) {
		assert.Assert(t, c.Leaf[0] == 'a')
	}
}

// A query crashes every server that runs it. It gets one canary, and a second once
// all hosts know of the first crash; after that it is refused at once and crashes no
// further server.
func TestCrashingQueryRunsTwiceAtMost(t *testing.T) {
	e := testEngine(Policy{})
	canary := calls(startQuery(e, 1, 1))
	assert.Equal(t, len(canary), 1)
	out := e.CallDone(2, query.Outcome{Call: canary[0].ID, Kind: query.Died, Strikes: 1, RetryAfter: 1000}) // 1 s, as after a first crash
	assert.Equal(t, len(calls(out)), 0)
	second := calls(e.StrikeShared(3, 1))
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].SecondCanary)
	e.CallDone(4, query.Outcome{Call: second[0].ID, Kind: query.Died, Strikes: 2, RetryAfter: 600000}) // 10 min, as after a second crash
	a, done := answerOf(e.StrikeShared(5, 1))
	assert.Assert(t, done)
	assert.Equal(t, a.Refused, query.ReasonCrashed)
	a, done = answerOf(startQuery(e, 6, 2))
	assert.Assert(t, done)
	assert.Equal(t, a.Refused, query.ReasonQuarantined)
	assert.Assert(t, a.RetryAfter > 0)
}

// startUpdate starts a new update and returns its call.
func startUpdate(t *testing.T, e *Engine) (Update, SendUpdate) {
	t.Helper()
	e.SetIncarnation(5)
	ids, err := e.Mint(1, 1)
	assert.NilError(t, err)
	u := Update{RequestID: 1, ID: ids[0], Service: "search", Operation: "status-update", Key: "k", Body: "b", Deadline: 500}
	sent, isSend := e.StartUpdate(1, u)[0].(SendUpdate)
	assert.Assert(t, isSend)
	return u, sent
}

// The aggregator that runs an update is lost. Whether the update ran is unknown,
// so it is not sent again, not even when its caller resends it.
func TestUnknownUpdateIsNeverSentAgain(t *testing.T) {
	e := testEngine(Policy{})
	u, sent := startUpdate(t, e)
	out := e.HostDown(2, sent.Host)
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].(UpdateAnswered).Result.Kind, query.Unknown)
	u.RequestID = 2
	again := e.StartUpdate(3, u)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].(UpdateAnswered).Result.Kind, query.Unknown)
}

// An update that was rejected before it ran is retried on another replica. If all
// replicas reject it, its caller may resend it.
func TestRefusedUpdateMayRunElsewhere(t *testing.T) {
	e := testEngine(Policy{})
	u, sent := startUpdate(t, e)
	refused := UpdateResult{Kind: query.NotRun, Reason: query.ReasonDraining}
	next, isSend := e.UpdateDone(2, sent.Call, refused)[0].(SendUpdate)
	assert.Assert(t, isSend)
	assert.Assert(t, next.Leaf != sent.Leaf)
	out := e.UpdateDone(3, next.Call, refused)
	assert.Equal(t, out[0].(UpdateAnswered).Result.Kind, query.NotRun)
	u.RequestID = 2
	_, isSend = e.StartUpdate(4, u)[0].(SendUpdate)
	assert.Assert(t, isSend)
}

// A caller resends an update before the first request is answered. It must run once,
// and both requests get its result. The same id with other contents is rejected.
func TestSameUpdateTwiceAtOnce(t *testing.T) {
	e := testEngine(Policy{})
	u, sent := startUpdate(t, e)
	u.RequestID = 2
	assert.Equal(t, len(e.StartUpdate(1, u)), 0)
	out := e.UpdateDone(2, sent.Call, UpdateResult{Kind: query.OK, Body: "done"})
	assert.Equal(t, len(out), 2)
	for _, a := range out {
		assert.Equal(t, a.(UpdateAnswered).Result.Body, "done")
	}
	u.RequestID, u.Body = 3, "another charge"
	reused := e.StartUpdate(3, u)[0].(UpdateAnswered).Result
	assert.Equal(t, reused.Reason, query.ReasonReused)
}

// The owner of an id is unreachable. Nothing runs now, but an earlier request may
// have run, so the result must be unknown.
func TestUnreachableOwnerIsUnknown(t *testing.T) {
	e := testEngine(Policy{})
	u, _ := startUpdate(t, e)
	u.RequestID, u.ID.Host = 9, "host-b"
	_, isForward := e.StartUpdate(1, u)[0].(Forward)
	assert.Assert(t, isForward)
	out := e.OwnerDown("host-b")
	assert.Equal(t, out[0].(UpdateAnswered).Result.Kind, query.Unknown)
	assert.Assert(t, out[0].(UpdateAnswered).Result.RetryAfter > 0)
}

// One caller fills the admission limit. Another, far below its fair share, must still
// be admitted.
func TestGreedyCallerDoesNotLockOthersOut(t *testing.T) {
	var a admission
	for a.admit("greedy", false /* force */) {
	}
	assert.Assert(t, a.admit("modest", false /* force */))
	assert.Assert(t, !a.admit("greedy", false /* force */))
}

// An aggregator rejects a canary as quarantined, without a Retry-After, before this
// entry knows of the strike. The caller must still get a time to retry after.
func TestQuarantinedAnswerHasRetryAfter(t *testing.T) {
	e := testEngine(Policy{})
	canary := calls(startQuery(e, 1, 1))
	a, done := answerOf(e.CallDone(2, query.Outcome{Call: canary[0].ID, Kind: query.NotRun, Reason: query.ReasonQuarantined}))
	assert.Assert(t, done)
	assert.Equal(t, a.Refused, query.ReasonQuarantined)
	assert.Assert(t, a.RetryAfter > 0)
}

// A caller disconnects while calls of its query are in flight. If they weren't
// cancelled, they would occupy slots for an answer that nobody reads. Late outcomes
// have no effect.
func TestCallsAreCancelledWhenTheCallerDisconnects(t *testing.T) {
	e := newEngineWithoutCanary()
	sent := calls(startQuery(e, 1, 1))
	actions := e.CancelQuery(5, 1)
	called := 0
	for _, a := range actions {
		if c, ok := a.(CancelCalls); ok {
			called += len(c.Calls)
		}
	}
	assert.Equal(t, called, len(sent))
	a, done := answerOf(actions)
	assert.Assert(t, done)
	assert.Equal(t, a.Refused, query.ReasonCallerGone)
	assert.Assert(t, e.Idle())
	assert.Equal(t, len(e.CallDone(6, okOutcome(sent[0].ID, "x"))), 0)
	assert.Equal(t, len(e.CancelQuery(7, 1)), 0)
}
