package limit

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// A day on which one shard of ten is slow now and then: a third of the queries
// miss their target. That is no overload, and no caller is turned away.
func TestNoLimitWhileMostAreInTime(t *testing.T) {
	var l Limiter
	for i := range 300 {
		assert.Assert(t, l.Admit(false), "turned away after %d queries", i)
		l.InFlight = 8
		if i%3 == 0 {
			l.RecordLate(clock.Milli(i * 50))
		} else {
			l.RecordOnTime()
		}
	}
}

// Leafs are asked for more than they can do: every query misses its target.
// Within a second the host lets far fewer under way, but still one in five of
// those beyond its limit: the leafs may be late for another reason.
func TestLimitFallsWhenAllAreLate(t *testing.T) {
	var l Limiter
	l.InFlight = 20
	for i := range 60 {
		l.RecordLate(clock.Milli(i * 20))
	}
	assert.Assert(t, l.Active())
	assert.Assert(t, l.limit <= 10, "limit %.1f", l.limit)
	let := 0
	for range 100 {
		if l.Admit(false) {
			let++
		}
	}
	assert.Equal(t, let, 100/(mostRefused+1))
}

// The crowd has gone and answers are in time again: nobody is turned away once
// the queries under way are well below the limit.
func TestLimitIsLiftedAfterTheCrowd(t *testing.T) {
	var l Limiter
	l.InFlight = 20
	for i := range 60 {
		l.RecordLate(clock.Milli(i * 20))
	}
	l.InFlight = 3
	for range 60 {
		l.RecordOnTime()
	}
	assert.Assert(t, !l.Active(), "limit %.1f, late %.2f", l.limit, l.late)
}

// A crowd doubles the queries under way, and four in ten are late: too few for
// the leafs to be broken, enough for the crowd to be too much. The host goes back
// towards its usual number, and not below it.
func TestCrowdIsCutBackToTheUsual(t *testing.T) {
	l, now := usually(6)
	assert.Assert(t, !l.Surge())
	twoOfFiveLate(l, now, 14, 60, 20)
	assert.Assert(t, l.Surge())
	assert.Assert(t, l.Active())
	assert.Assert(t, l.limit >= 6*usualSlack && l.limit < 14, "limit %.1f", l.limit)
}

// Some leafs are slow, so that queries stay under way for longer and four in ten
// are late, while no more come than usual. To turn some away would help none of
// the others.
func TestSlowLeafsAreNoCrowd(t *testing.T) {
	l, now := usually(6)
	twoOfFiveLate(l, now, 14, 200, 50)
	assert.Assert(t, !l.Active(), "limit %.1f", l.limit)
}

// twoOfFiveLate has so many queries come with a pause in ms between two, with as
// many under way as given; two of five are late.
func twoOfFiveLate(l *Limiter, now clock.Milli, under, queries int, pause clock.Milli) {
	l.InFlight = under
	for i := range queries {
		now += pause
		l.RecordArrival(now)
		if i%5 < 2 {
			l.RecordLate(now)
			continue
		}
		l.RecordOnTime()
	}
}

// usually is a limiter after a minute with so many queries under way, twenty a
// second, and the time.
func usually(under int) (*Limiter, clock.Milli) {
	l := &Limiter{InFlight: under}
	now := clock.Milli(1000)
	for range 1200 {
		now += 50
		l.RecordArrival(now)
		l.RecordOnTime()
	}
	return l, now
}

// Callers come back while queries are turned away. They may take room below the
// limit, but are not let in beyond it: each would make another late that can
// still be in time.
func TestReturningQueriesAreBoundToo(t *testing.T) {
	l := Limiter{limit: 3, InFlight: 3}
	for range 3 * mostRefused {
		assert.Assert(t, !l.Admit(true))
	}
	l.InFlight = 2
	assert.Assert(t, l.Admit(true))
}

// Two of six hosts are cut off, so that the others get half as many callers
// again, while some leafs are slow and four answers in ten are late. The leafs get
// no more than usual, and nobody is turned away.
func TestCallersOfOtherHostsAreNoCrowd(t *testing.T) {
	l, now := usually(6)
	twoOfFiveLate(l, now, 10, 200, 33)
	assert.Assert(t, !l.Active(), "limit %.1f", l.limit)
}
