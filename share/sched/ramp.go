package sched

import (
	"dandelionstile/share/clock"
)

// ramp tracks how warm a leaf is. A backend server that has just started
// collapses under full load; the symptom is that it answers slowly, sheds, and
// falls over again. The ramp admits a share of the slots that grows with the
// time since the last evidence of a cold start.
type ramp struct {
	since clock.Milli
	// known is false while this host has no evidence of its own and has not
	// heard another candidate's; such a leaf is treated as just started.
	known bool
	slow  int // slow replies in a row, see coldBySlowness
	sheds clock.Milli
}

// begin starts the ramp anew.
func (r *ramp) begin(now clock.Milli, known bool) {
	r.since = now
	r.known = known
	r.slow = 0
}

// age is how long ago the leaf was last known to be cold.
func (r *ramp) age(now clock.Milli) clock.Milli { return now - r.since }

// left is how much of the ramp lies ahead.
func (r *ramp) left(now, warm clock.Milli) clock.Milli { return max(0, warm-r.age(now)) }

// learn takes another candidate's age for the leaf. The younger of two known
// ages counts, since it rests on the later evidence of a cold start; an age
// from before this host's own evidence changes nothing.
func (r *ramp) learn(now, age clock.Milli) {
	since := now - age
	if !r.known || since > r.since {
		r.since = since
		r.known = true
	}
}

// allowed is how many requests a leaf may have at once at this point of its
// ramp, if nobody else sends to it.
func (r *ramp) allowed(now, warm clock.Milli, slots int) int {
	if warm <= 0 || r.age(now) >= warm {
		return slots
	}
	return max(1, int(clock.Milli(slots)*r.age(now)/warm))
}

// limit is how many calls a leaf may have at once.
//
// While the other candidate has not promised to leave the leaf alone, this host
// takes half: of what a cold leaf bears at any time, and of a warm one's slots
// for as long as the other may still have work there. Two hosts may both believe
// themselves primary (host lists lag, processes pause); without the halving the
// leaf would get twice what it bears. Halves sum to no more than the whole,
// whoever is right.
func (e *Engine) limit(now clock.Milli, f *leaf) int {
	if e.Policy.NoRamp {
		return f.cap
	}
	bears := f.ramp.allowed(now, f.warm, f.Slots)
	switch {
	case e.leases.exclusive(now, f.server):
	case e.fresh(now):
		// The process that ran here before may have promised to keep off.
		return 0
	case bears < f.Slots && !e.leases.settled(now, f.server):
		// A cold leaf may still work on what its former owner sent.
		return 0
	case bears < f.Slots:
		bears /= 2
	case !e.leases.settled(now, f.server):
		bears = max(1-min(f.rank, 1), bears/2) // a single slot is the primary's
	}
	return min(bears, f.cap)
}

const (
	// slowFactor is how many times its own usual service time a leaf must
	// take, slowRuns times in a row, to be taken as cold again.
	slowFactor = 4
	slowRuns   = 3
	// shedPause is the least time between two ramps started by sheds.
	shedPause = 200 * clock.Milli(1)
)

// coldBySlowness looks for a cold start that nothing announced: the same
// incarnation suddenly takes several times its own usual time while its
// neighbours do not. Comparing with the neighbours keeps a heavier mix of
// queries, which slows all leafs alike, from cutting the whole service's
// capacity.
func (e *Engine) coldBySlowness(f *leaf, took clock.Milli) bool {
	usual := f.health.usual
	if usual == 0 {
		f.health.usual = float64(max(took, 1))
		return false
	}
	if float64(took) < slowFactor*max(usual, 1) || float64(took) < slowFactor*e.usualOf(f) {
		f.ramp.slow = 0
		f.health.usual += (float64(took) - usual) / 16
		return false
	}
	f.ramp.slow++
	if f.ramp.slow < slowRuns {
		return false
	}
	f.ramp.slow = 0
	f.health.usual *= 2 // a leaf that stays slow becomes its own new normal
	return true
}

// usualOf is the mean usual time of a service's leafs here; the leaf's own when
// nothing else is known.
func (e *Engine) usualOf(f *leaf) float64 {
	if m, ok := e.means[f.service]; ok {
		return m
	}
	return f.health.usual
}

// average works out the mean usual times, once per tick: each published change
// of a leaf needs its service's.
func (e *Engine) average() {
	type sum struct {
		total float64
		n     int
	}
	sums := map[string]sum{}
	for _, f := range e.order {
		if f.health.usual > 0 {
			s := sums[f.service]
			sums[f.service] = sum{s.total + f.health.usual, s.n + 1}
		}
	}
	clear(e.means)
	for name, s := range sums {
		e.means[name] = max(1, s.total/float64(s.n))
	}
}
