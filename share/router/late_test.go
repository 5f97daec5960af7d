package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/roster"
)

// sinceFirstAttempt returns the estimated time since the first attempt of the request that
// was admitted last.
func (r *rig) sinceFirstAttempt() clock.Milli {
	for i := len(r.logs) - 1; i >= 0; i-- {
		if r.logs[i].Kind == LogAdmitted {
			return r.logs[i].SinceFirstAttempt
		}
	}
	r.t.Fatal("no request was admitted")
	return 0
}

// All hosts have just started, and the first requests are retries of callers that were cut
// off, each with a different remainder of its wait. The host takes the route's timeout for
// the full wait and detects that they are late; the first of them must not count as a full
// wait.
func TestTimeoutRevealsRetries(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(1)), Leaves: leafPairs(1)})
	for _, left := range []clock.Milli{400, 350, 480, 310} {
		r.arrive("/all/x", left)
		assert.Equal(t, r.sinceFirstAttempt(), 1500-left)
	}
}

// Operators allow 1500 ms on a route whose callers wait for 900. The timeout is only the
// initial estimate: once enough callers have named 900, a request that names it counts as
// a first attempt.
func TestCallersOwnWaitReplacesTheTimeout(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(1)), Leaves: leafPairs(1)})
	for range 30 { // more than the timeout's initialVotes
		r.arrive("/all/x", 900)
		r.reply(r.last())
	}
	assert.Equal(t, r.sinceFirstAttempt(), clock.Milli(0))
}

// Two of three callers open a connection for each request and name a few ms less than
// their wait. If that were taken for the full wait, their answers would leave a round trip
// too late.
func TestFirstRequestsOnConnectionsDoNotCountAsFull(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(1)), Leaves: leafPairs(1)})
	for range 40 {
		r.arrive("/all/x", 1493)
		r.reply(r.last())
		r.arrive("/all/x", 1493)
		r.reply(r.last())
		r.arrive("/all/x", 1500)
		r.reply(r.last())
	}
	r.arrive("/all/x", 1493)
	assert.Equal(t, r.sinceFirstAttempt(), clock.Milli(7)) // 1500 - 1493
}

// Another host forwards a part of a query with the time that remains, which is less than its
// caller's full wait. If it counted towards the estimate of the full wait, the estimate would
// fall to 1100 ms, and a retry that has 1100 ms left would look like a first attempt.
func TestForwardedPartsDoNotChangeWaitEstimates(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(1)), Leaves: leafPairs(1)})
	for range 80 {
		r.queries++
		r.handle(Arrival{
			Query: r.queries, Wait: 1100, Forwarded: true, Shards: []string{"s0"}, Target: 200, Version: 1,
			Request: &call.Request{ID: "x", Method: "GET", Target: "/all/x", Host: "h"},
		})
		r.reply(r.last())
	}
	r.arrive("/all/x", 1100)
	assert.Equal(t, r.sinceFirstAttempt(), clock.Milli(400)) // 1500 - 1100
}

// Late queries arrive while others can still be answered in time. A late query adds no
// call to a leaf that has one from this host; the remaining capacity goes to a query in
// time, which is not queued behind it.
func TestLateQueryLeavesCapacity(t *testing.T) {
	r := newRig(t)
	near := []roster.Leaf{leafOf("s0", "only", nearDomain)}
	r.handle(Topology{Table: table(1, shardedRoute(1)), Leaves: near})
	r.arrive("/all/a", 1500)
	late := r.arrive("/all/late", 400)
	assert.Equal(t, len(r.sends), 1, "the late query took capacity")
	r.arrive("/all/b", 1500)
	assert.Equal(t, len(r.sends), 2, "a query in time was queued behind a late one")
	for _, s := range r.sends {
		r.reply(s)
	}
	assert.Equal(t, len(r.sends), 3, "the late query was not sent when there was capacity")
	r.reply(r.last())
	assert.Assert(t, r.answers[late].Merged != nil)
}

// A leaf is slow with a late query. No second leaf is called until a new target has passed
// without an answer: before that, a hedge could only make the answer less late, at the
// cost of queries in time.
func TestLateQueryIsNotHedged(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(1)), Leaves: leafPairs(1)})
	r.arrive("/all/late", 400)
	r.advance(245) // the new target is the route's 250 ms after the arrival
	assert.Equal(t, len(r.sends), 1)
	r.advance(50)
	assert.Equal(t, len(r.sends), 2)
}

// A host has just started and receives its routes shortly. Callers that arrive before are
// told to retry within a target's time; later, if it reaches no host that has routes, an
// early retry is of no use.
func TestStartingHostAsksForEarlyRetry(t *testing.T) {
	r := newRig(t)
	early := r.arrive("/all/x", 1500)
	assert.Equal(t, r.answers[early].Refusal, NoConfig)
	assert.Assert(t, r.answers[early].RetryAfter <= 250, "%d", r.answers[early].RetryAfter)
	r.advance(5000)
	late := r.arrive("/all/x", 1500)
	assert.Assert(t, r.answers[late].RetryAfter >= 500, "%d", r.answers[late].RetryAfter)
}
