package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/roster"
)

// passed is how much of a caller's time was taken to have passed, by the last
// note of an admission.
func (r *rig) passed() clock.Milli {
	for i := len(r.notes) - 1; i >= 0; i-- {
		if r.notes[i].Kind == NoteAdmitted {
			return r.notes[i].SinceFirstAttempt
		}
	}
	r.t.Fatal("no request was admitted")
	return 0
}

// All hosts have just started, and the first callers are those who were cut
// off and come back: each names another remainder of its wait. The host takes
// the route's timeout for the full wait and knows them as late; the first of
// them must not pass for a full wait.
func TestTimeoutTellsWhoComesBack(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(1)), Leaves: pairs(1)})
	for _, left := range []clock.Milli{400, 350, 480, 310} {
		r.arrive("/all/x", left)
		assert.Equal(t, r.passed(), 1500-left)
	}
}

// Operators allow 1500 ms on a route whose callers wait for 900. The timeout
// is only a first guess: once enough callers have named 900, a request that
// names it counts as one whose time has just begun.
func TestCallersOwnWaitReplacesTheTimeout(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(1)), Leaves: pairs(1)})
	for range 30 {
		r.arrive("/all/x", 900)
		r.good(r.last())
	}
	assert.Equal(t, r.passed(), clock.Milli(0))
}

// Half of the callers open a connection for each request and name a few ms
// less than their wait. They must not be taken for those who name it in full:
// their answers would leave a round trip too late.
func TestFirstRequestsOnConnectionsDoNotCountAsFull(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(1)), Leaves: pairs(1)})
	for range 40 {
		r.arrive("/all/x", 1493)
		r.good(r.last())
		r.arrive("/all/x", 1493)
		r.good(r.last())
		r.arrive("/all/x", 1500)
		r.good(r.last())
	}
	r.arrive("/all/x", 1493)
	assert.Equal(t, r.passed(), clock.Milli(7))
}

// Another host hands over parts of queries with what is left of their time.
// That is no caller's wait, and callers here are not measured by it.
func TestHandedOverPartsDoNotTeachWaits(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(1)), Leaves: pairs(1)})
	for range 80 {
		r.queries++
		r.handle(Arrival{
			Query: r.queries, Wait: 1100, Forwarded: true, Shards: []string{"s0"}, Target: 200, Version: 1,
			Request: &call.Request{ID: "x", Method: "GET", Target: "/all/x", Host: "h"},
		})
		r.good(r.last())
	}
	r.arrive("/all/x", 1100)
	assert.Equal(t, r.passed(), clock.Milli(400))
}

// Callers whose target has passed ask while others can still be answered in
// time. A late query adds no call to a leaf that has one from here; the room
// that is left goes to a query in time, which is not made to wait behind it.
func TestLateQueryLeavesRoom(t *testing.T) {
	r := newRig(t)
	near := []roster.Leaf{leafOf("s0", "only", here)}
	r.handle(Facts{Table: table(1, merged(1)), Leaves: near})
	r.arrive("/all/a", 1500)
	late := r.arrive("/all/late", 400)
	assert.Equal(t, len(r.sends), 1, "the late query took room")
	r.arrive("/all/b", 1500)
	assert.Equal(t, len(r.sends), 2, "a query in time waits behind a late one")
	for _, s := range r.sends {
		r.good(s)
	}
	assert.Equal(t, len(r.sends), 3, "the late query was not asked for when there was room")
	r.good(r.last())
	assert.Assert(t, r.answers[late].Merged != nil)
}

// A leaf is slow under a late query. A second leaf is not asked until a new target
// has passed without an answer: before that it could only
// make the answer less late, at the cost of those in time.
func TestLateQueryIsNotHedged(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(1)), Leaves: pairs(1)})
	r.arrive("/all/late", 400)
	r.pass(245)
	assert.Equal(t, len(r.sends), 1)
	r.pass(50)
	assert.Equal(t, len(r.sends), 2)
}

// A host has just started and learns its routes in a moment. Callers who come
// before are told to come back within a target's time; later, when it reaches
// nobody who has routes, there is no use in that.
func TestCallersOfAHostThatHasJustStartedComeBackSoon(t *testing.T) {
	r := newRig(t)
	soon := r.arrive("/all/x", 1500)
	assert.Equal(t, r.answers[soon].Refusal, NoConfig)
	assert.Assert(t, r.answers[soon].RetryAfter <= 250, "%d", r.answers[soon].RetryAfter)
	r.pass(5000)
	late := r.arrive("/all/x", 1500)
	assert.Assert(t, r.answers[late].RetryAfter >= 500, "%d", r.answers[late].RetryAfter)
}
