package sched

import (
	"dandelionstile/share/clock"
)

// ramp limits the load on a leaf after a cold start. A backend server that has
// just started collapses under full load: it answers slowly, sheds, and crashes
// again. The admitted share of the slots grows with the time since the last
// evidence of a cold start.
type ramp struct {
	coldAt clock.Milli // time of the last evidence that the leaf was cold
	// known is false while neither this host nor another candidate has evidence
	// of the leaf's age. Such a leaf is treated as just started.
	known       bool
	slowReplies int         // in a row, see detectColdStart
	shedAt      clock.Milli // when a shed last restarted the ramp
}

// restart starts the ramp from the beginning. known is unset if there is no evidence
// that the leaf is cold.
func (r *ramp) restart(now clock.Milli, known bool) {
	r.coldAt = now
	r.known = known
	r.slowReplies = 0
}

// sinceCold returns the time since the last evidence that the leaf was cold.
func (r *ramp) sinceCold(now clock.Milli) clock.Milli { return now - r.coldAt }

// remaining returns the time until the ramp ends.
func (r *ramp) remaining(now, warmUp clock.Milli) clock.Milli { return max(0, warmUp-r.sinceCold(now)) }

// mergeAge applies an age reported by another candidate. The lower of two known
// ages wins, since it rests on later evidence of a cold start. If this host's own
// age is unknown, it takes the reported one.
func (r *ramp) mergeAge(now, age clock.Milli) {
	coldAt := now - age
	if !r.known || coldAt > r.coldAt {
		r.coldAt = coldAt
		r.known = true
	}
}

// allowed returns how many concurrent calls a leaf can take at this point of the
// ramp from all hosts together: a part of the slots that grows linearly, at least
// one call, and all slots after warmUp.
func (r *ramp) allowed(now, warmUp clock.Milli, slots int) int {
	if warmUp <= 0 || r.sinceCold(now) >= warmUp {
		return slots
	}
	return max(1, int(clock.Milli(slots)*r.sinceCold(now)/warmUp))
}

// limit returns how many concurrent calls this host may send to a leaf, at most
// the slots that the configuration allows.
//
// With a lease from the other candidate, or without another candidate, this host
// may use what the ramp allows. Without a lease it takes half: of the ramp's limit
// while the leaf is cold, and of the slots of a warm leaf while the other candidate
// may still have calls there. Two hosts may both act as primary when host lists are
// stale or processes pause; without halving, the leaf would get twice its capacity.
// Two halves never exceed the whole, except at a warm leaf with a single slot, where
// each host that acts as primary may send one call.
//
// Without a lease, the limit is 0 shortly after this process started, for a cold leaf
// while the other candidate may still have calls there, and where the half of a single
// call is left.
func (e *Engine) limit(now clock.Milli, f *leaf) int {
	if e.Policy.NoRamp {
		return f.slotLimit
	}
	capacity := f.ramp.allowed(now, f.warmUp, f.Slots)
	switch {
	case e.leases.exclusive(now, f.server): // no other host sends to the leaf
	case e.justStarted(now):
		// The previous process on this host may have granted a lease.
		return 0
	case capacity < f.Slots && !e.leases.takeoverComplete(now, f.server):
		// A cold leaf may still be running calls of its former owner.
		return 0
	case capacity < f.Slots:
		capacity /= 2
	case !e.leases.takeoverComplete(now, f.server):
		// The primary (rank 0) gets at least 1, so that it alone serves a warm leaf
		// with a single slot.
		capacity = max(1-min(f.rank, 1), capacity/2)
	}
	return min(capacity, f.slotLimit)
}

const (
	// A leaf counts as cold again after slowReplyLimit replies in a row that each
	// took slowFactor times its own mean latency and that of its service.
	slowFactor     = 4
	slowReplyLimit = 3
	// shedRampInterval is the minimum time between two ramps started by sheds.
	shedRampInterval = 200 * clock.Milli(1)
)

// detectColdStart reports whether a reply that took this long, the last of
// slowReplyLimit in a row, shows a cold start that the server didn't announce: the same
// incarnation takes several times its own mean latency and that of its service. Without
// the second comparison, a heavier mix of queries, which slows down all leaves alike,
// would reduce the capacity of the whole service. Replies that are not slow update the
// leaf's mean latency.
func (e *Engine) detectColdStart(f *leaf, took clock.Milli) bool {
	mean := f.health.meanLatency
	if mean == 0 {
		f.health.meanLatency = float64(max(took, 1))
		return false
	}
	if float64(took) < slowFactor*max(mean, 1) || float64(took) < slowFactor*e.serviceMean(f) {
		f.ramp.slowReplies = 0
		f.health.meanLatency += (float64(took) - mean) / 16 // moving average
		return false
	}
	f.ramp.slowReplies++
	if f.ramp.slowReplies < slowReplyLimit {
		return false
	}
	f.ramp.slowReplies = 0
	f.health.meanLatency *= 2 // lets the mean of a permanently slow leaf catch up
	return true
}

// serviceMean returns the mean latency over the leaves of f's service on this
// host, or f's own if there is none yet.
func (e *Engine) serviceMean(f *leaf) float64 {
	if m, ok := e.serviceMeans[f.service]; ok {
		return m
	}
	return f.health.meanLatency
}

// updateServiceMeans recomputes the mean latencies, which are at least 1 ms. It runs
// once per tick, since each published leaf state needs the mean of its service.
func (e *Engine) updateServiceMeans() {
	type sum struct {
		total float64
		n     int
	}
	sums := map[string]sum{}
	for _, f := range e.byName {
		if f.health.meanLatency > 0 {
			s := sums[f.service]
			sums[f.service] = sum{s.total + f.health.meanLatency, s.n + 1}
		}
	}
	clear(e.serviceMeans)
	for name, s := range sums {
		e.serviceMeans[name] = max(1, s.total/float64(s.n))
	}
}
