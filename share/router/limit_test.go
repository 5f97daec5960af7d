package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/limit"
)

// saturatedLimiter returns a limiter after a second in which all queries were late.
func saturatedLimiter(inFlight int) limit.Limiter {
	l := limit.Limiter{InFlight: inFlight}
	for i := range 50 {
		l.RecordLate(clock.Milli(i * 20))
	}
	return l
}

// More queries arrive than can be answered in time. Excess ones are refused at once, as not
// run and with a time to retry, before a leaf is called. Retries are admitted as soon as
// fewer queries are in flight than the limit, and until then refused in the same way.
func TestBeyondTheLimitCallersAreRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(4)), Leaves: leafPairs(4)})
	r.engine.limiter = saturatedLimiter(20)
	first := r.arrive("/all/x", 1500)
	// A retry waits for less than the callers' full 1500 ms.
	retry := r.arrive("/all/x", 1200-retryNoCapacity)
	for _, q := range []uint64{first, retry} {
		assert.Equal(t, r.answers[q].Refusal, NoCapacity)
		assert.Assert(t, r.answers[q].RetryAfter >= retryNoCapacity)
	}
	assert.Equal(t, len(r.sends), 0)
	r.engine.limiter.InFlight = 0
	r.arrive("/all/x", 1200-retryNoCapacity)
	assert.Equal(t, len(r.sends), 4)
}

// On-call needs to see why callers were refused: it is logged when the limit is set, and when
// it is lifted.
func TestLimitIsLogged(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(4)), Leaves: leafPairs(4)})
	for range 6 {
		sent := len(r.sends)
		for range 4 {
			r.arrive("/all/x", 1500)
		}
		r.advance(260) // past the target of 250 ms
		for _, s := range r.sends[sent:] {
			r.reply(s)
		}
	}
	assert.Assert(t, r.logged(LogLimitSet), "%v", r.logs)
	for range 200 {
		sent := len(r.sends)
		r.arrive("/all/x", 1500)
		for _, s := range r.sends[sent:] {
			r.reply(s)
		}
	}
	assert.Assert(t, r.logged(LogLimitLifted))
}

// A host whose limiter refuses queries gets shards of a late query that another host has
// admitted. It serves them: an empty answer at once would waste the calls already made and
// fail the whole query.
func TestForwardedLateShardsAreServedDespiteTheLimit(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(4)), Leaves: leafPairs(4)})
	r.engine.limiter = saturatedLimiter(20)
	r.queries++
	r.handle(Arrival{
		Query: r.queries, Wait: 900, Forwarded: true, Late: true, Shards: []string{"s0", "s1"}, Target: 200, Version: 1,
		Request: r.request("/all/x"),
	})
	assert.Equal(t, len(r.sends), 2)
	for _, s := range r.sends {
		r.reply(s)
	}
	merged := r.answers[r.queries].Merged
	assert.Assert(t, merged != nil)
	assert.Equal(t, len(merged.Missing), 0)
}
