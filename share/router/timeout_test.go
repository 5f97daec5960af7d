package router

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/roster"
	"dandelionstile/share/route"
)

// longRoute returns a route to one leaf with a timeout.
func longRoute(timeout clock.Milli) route.Route {
	r := singleRoute(false)
	r.Timeout = timeout
	return r
}

// assertAnsweredAt checks that a query is answered as late when a time has passed, and not
// before.
func (r *rig) assertAnsweredAt(query uint64, after clock.Milli) {
	r.t.Helper()
	r.advance(after - 1)
	_, answered := r.answers[query]
	assert.Assert(r.t, !answered, "answered too early")
	r.advance(1)
	assert.Equal(r.t, r.answers[query].Refusal, Late)
}

// A caller names no deadline. It was assumed to wait for 10 s and got 504 then, whatever timeout
// the operator had set.
func TestCallerWithoutDeadlineGetsTheTimeoutOfTheRoute(t *testing.T) {
	const timeout = 90 * clock.Second
	r := newRig(t)
	r.handle(Topology{Table: table(1, longRoute(timeout)), Leaves: []roster.Leaf{leafOf("s", "a", nearDomain)}})
	r.assertAnsweredAt(r.arrive("/one/x", 0), timeout)
	assert.Equal(t, r.sends[0].Timeout, timeout)
}

// A caller or an operator names a time without a practical limit. The deadline overflowed, and
// the request was answered 504 at once.
func TestHugeTimesDoNotOverflow(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, longRoute(15*clock.Second)), Leaves: []roster.Leaf{leafOf("s", "a", nearDomain)}})
	r.assertAnsweredAt(r.arrive("/one/x", math.MaxInt64), 15*clock.Second)
	r.handle(Topology{Table: table(2, longRoute(clock.MaxSpan)), Leaves: []roster.Leaf{leafOf("s", "a", nearDomain)}})
	r.assertAnsweredAt(r.arrive("/one/y", 90*clock.Second), 90*clock.Second)
	q := r.arrive("/one/z", math.MaxInt64)
	r.advance(clock.Minute)
	_, answered := r.answers[q]
	assert.Assert(t, !answered)
	assert.Equal(t, r.last().Timeout, clock.MaxSpan)
}

// The operator changes a timeout while requests run. Each keeps the time that it began with,
// which its leaf was told, and later ones get the new time.
func TestChangedTimeoutHoldsForLaterRequests(t *testing.T) {
	r := newRig(t)
	leaves := []roster.Leaf{leafOf("s", "a", nearDomain)}
	r.handle(Topology{Table: table(1, longRoute(8*clock.Second)), Leaves: leaves})
	former := r.arrive("/one/x", 60*clock.Second)
	r.advance(4 * clock.Second)
	r.handle(Topology{Table: table(2, longRoute(15*clock.Second)), Leaves: leaves})
	later := r.arrive("/one/y", 60*clock.Second)
	r.assertAnsweredAt(former, 4*clock.Second)
	r.handle(Topology{Table: table(3, longRoute(2*clock.Second)), Leaves: leaves})
	r.assertAnsweredAt(later, 11*clock.Second)
}
