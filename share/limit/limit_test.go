package limit

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// A third of the queries miss their target, as when one shard of ten is slow now and then.
// That is no overload: rejecting queries would only cost answers.
func TestNoLimitWhileMostAreInTime(t *testing.T) {
	var l Limiter
	for i := range 300 {
		assert.Assert(t, l.Admit(false /* late */), "rejected after %d queries", i)
		l.InFlight = 8
		if i%3 == 0 {
			l.RecordLate(clock.Milli(i * 50))
		} else {
			l.RecordOnTime()
		}
	}
}

// All queries miss their target because the leaves are overloaded. Unless the limit falls
// well below the queries in flight within about a second, none is answered in time. One in five
// queries beyond the limit is still admitted, as the leaves may be late for another reason.
func TestLimitFallsWhenAllAreLate(t *testing.T) {
	var l Limiter
	l.InFlight = 20
	for i := range 60 {
		l.RecordLate(clock.Milli(i * 20))
	}
	assert.Assert(t, l.Active())
	assert.Assert(t, l.limit <= 10, "limit %.1f", l.limit)
	admitted := 0
	for range 100 {
		if l.Admit(false /* late */) {
			admitted++
		}
	}
	assert.Equal(t, admitted, 100/(maxRejected+1))
}

// An overload has ended and answers are in time again. A limit that stayed in force could
// reject queries that the leaves can serve; it is removed once the queries in flight are
// well below it.
func TestLimitIsLiftedAfterSurge(t *testing.T) {
	var l Limiter
	l.InFlight = 20
	for i := range 60 {
		l.RecordLate(clock.Milli(i * 20))
	}
	l.InFlight = 3
	for range 60 {
		l.RecordOnTime()
	}
	assert.Assert(t, !l.Active(), "limit %.1f, late %.2f", l.limit, l.lateRatio)
}

// A surge more than doubles the queries in flight, and four in ten are late: fewer than
// overloadLateRatio, more than surgeLateRatio. The limit falls towards the baseline, and not
// below surgeHeadroom times it, since the leaves can serve the usual load.
func TestSurgeLowersLimitToBaseline(t *testing.T) {
	l, now := steadyLimiter(6)
	assert.Assert(t, !l.Surge())
	// 14 instead of 6 in flight, and an arrival every 20 ms instead of 50.
	recordTwoOfFiveLate(l, now, 14, 60, 20)
	assert.Assert(t, l.Surge())
	assert.Assert(t, l.Active())
	assert.Assert(t, l.limit >= 6*surgeHeadroom && l.limit < 14, "limit %.1f", l.limit)
}

// Slow leaves keep queries in flight for longer and make four in ten late, while the
// arrival rate is unchanged. Rejecting queries would not help the others.
func TestSlowLeavesAreNoSurge(t *testing.T) {
	l, now := steadyLimiter(6)
	// 14 instead of 6 in flight, and an arrival every 50 ms as before.
	recordTwoOfFiveLate(l, now, 14, 200, 50)
	assert.Assert(t, !l.Active(), "limit %.1f", l.limit)
}

// recordTwoOfFiveLate records queries that arrive at an interval in ms, with a constant
// number in flight; two of five are late.
func recordTwoOfFiveLate(l *Limiter, now clock.Milli, inFlight, queries int, interval clock.Milli) {
	l.InFlight = inFlight
	for i := range queries {
		now += interval
		l.RecordArrival(now)
		if i%5 < 2 {
			l.RecordLate(now)
			continue
		}
		l.RecordOnTime()
	}
}

// steadyLimiter returns a limiter after a minute of arrivals every 50 ms (twenty a second)
// with a constant number in flight, and the time.
func steadyLimiter(inFlight int) (*Limiter, clock.Milli) {
	l := &Limiter{InFlight: inFlight}
	now := clock.Milli(1000)
	for range 1200 { // a minute
		now += 50
		l.RecordArrival(now)
		l.RecordOnTime()
	}
	return l, now
}

// Callers retry late queries while a limit is in force. These are admitted below the
// limit and never beyond it: each would make another query late that can still be in
// time.
func TestLateQueriesAreLimitedToo(t *testing.T) {
	l := Limiter{limit: 3, InFlight: 3}
	for range 3 * maxRejected {
		assert.Assert(t, !l.Admit(true /* late */))
	}
	l.InFlight = 2
	assert.Assert(t, l.Admit(true /* late */))
}

// Two of six hosts are partitioned, so the others get half as many callers again,
// while slow leaves make four answers in ten late. The leaves get no more load than
// usual, and no query may be rejected.
func TestFailoverIsNoSurge(t *testing.T) {
	l, now := steadyLimiter(6)
	// 10 instead of 6 in flight, and an arrival every 50 ms / 1.5.
	recordTwoOfFiveLate(l, now, 10, 200, 33)
	assert.Assert(t, !l.Active(), "limit %.1f", l.limit)
}
