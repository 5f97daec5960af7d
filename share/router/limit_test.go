package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/limit"
)

// limited is a limiter after a second in which all of so many queries were late.
func limited(under int) limit.Limiter {
	l := limit.Limiter{InFlight: under}
	for i := range 50 {
		l.RecordLate(clock.Milli(i * 20))
	}
	return l
}

// More queries come than can be answered in time. Who is turned away hears so at
// once, as not run and with a time to come back, before a leaf is asked. Who
// comes back is let in as soon as fewer are under way than the limit, and until
// then refused in the same way.
func TestBeyondTheLimitCallersAreRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(4)), Leaves: pairs(4)})
	r.engine.limiter = limited(20)
	first := r.arrive("/all/x", 1500)
	back := r.arrive("/all/x", 1200-retryNoRoom)
	for _, q := range []uint64{first, back} {
		assert.Equal(t, r.answers[q].Refusal, NoCapacity)
		assert.Assert(t, r.answers[q].RetryAfter >= retryNoRoom)
	}
	assert.Equal(t, len(r.sends), 0)
	r.engine.limiter.InFlight = 0
	r.arrive("/all/x", 1200-retryNoRoom)
	assert.Equal(t, len(r.sends), 4)
}

// On-call asks why callers were turned away. One line tells when it began, with
// the share of late answers, and one when it ended.
func TestLimitIsToldOf(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(4)), Leaves: pairs(4)})
	for range 6 {
		sent := len(r.sends)
		for range 4 {
			r.arrive("/all/x", 1500)
		}
		r.pass(260)
		for _, s := range r.sends[sent:] {
			r.good(s)
		}
	}
	assert.Assert(t, r.noted(NoteLimitSet), "%v", r.notes)
	for range 200 {
		sent := len(r.sends)
		r.arrive("/all/x", 1500)
		for _, s := range r.sends[sent:] {
			r.good(s)
		}
	}
	assert.Assert(t, r.noted(NoteLimitLifted))
}

// A host whose callers are turned away gets shards of a query that another host
// has admitted and whose target has passed. It serves them: an empty answer at
// once would throw away the calls just made and fail the whole query.
func TestForwardedLateShardsAreServedDespiteTheLimit(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(4)), Leaves: pairs(4)})
	r.engine.limiter = limited(20)
	r.queries++
	r.handle(Arrival{
		Query: r.queries, Wait: 900, Forwarded: true, Late: true, Shards: []string{"s0", "s1"}, Target: 200, Version: 1,
		Request: r.request("/all/x"),
	})
	assert.Equal(t, len(r.sends), 2)
	for _, s := range r.sends {
		r.good(s)
	}
	merged := r.answers[r.queries].Merged
	assert.Assert(t, merged != nil)
	assert.Equal(t, len(merged.Missing), 0)
}
