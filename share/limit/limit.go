// Package limit decides how many queries a host has under way for its callers.
//
// The load pattern: more is asked for than the leafs can do, because callers
// come in a crowd or leafs have become slow. Every query has work at every
// shard, so leafs that are asked for more than they can do serve nobody in time;
// to turn some queries away at once is what lets the others be in time. A host
// sees only its own part of the leafs' load, so the limit goes by the outcomes of
// its own queries and not by queues: it is cut when too many are late and grows
// with each that is in time (additive increase, multiplicative decrease).
package limit

import "dandelionstile/share/clock"

// Limiter bounds the queries under way at one host. The zero value lets all in.
type Limiter struct {
	// InFlight is how many queries are under way.
	InFlight int
	// limit is how many may be; 0 for no limit.
	limit float64
	// late is the smoothed share of queries that were not answered in time.
	late float64
	// refused is how many queries in a row were turned away.
	refused int
	// cutAt is when the limit was last lowered.
	cutAt clock.Milli
	// usual is the smoothed number under way while there is no limit.
	usual float64
	// came is when the last query came; pause and usualPause are the smoothed
	// time between two, of late and usually, in ms.
	came              clock.Milli
	pause, usualPause float64
	// arrivals counts the queries that came.
	arrivals float64
}

const (
	// lateGain smooths the share of late answers over some twelve: a second's
	// worth at an ordinary host.
	lateGain = 1.0 / 12
	// lateSome is the share of late answers from which on, in a crowd, queries
	// beyond the usual number are turned away. Single slow leafs make as many
	// late, but bring no more queries than usual.
	lateSome = 0.25
	// crowd is how many times as many queries as usual make a crowd. It is more
	// than what hosts get in addition when some others of them are cut off.
	crowd = 1.8
	// pauseGain smooths the time between queries over enough of them to tell a
	// crowd from chance, and usualPauseGain over several crowds.
	pauseGain      = 1.0 / 10
	usualPauseGain = 1.0 / 400
	// lateMost is the share from which on the usual number is too many: leafs
	// have lost more of their speed than the queries can do without.
	lateMost = 0.5
	// usualGain smooths the usual number over several times the length of a
	// crowd.
	usualGain = 1.0 / 200
	// usualSlack is by how much more than usual is no crowd yet.
	usualSlack = 1.25
	// cut is the factor by which the limit falls, at most once in cutPause:
	// about the time that a query takes, so that the effect of one cut shows
	// before the next.
	cut                  = 0.6
	cutPause clock.Milli = 150
	// grow is what each answer in time adds: the limit doubles in some three
	// rounds of queries.
	grow = 0.35
	// mostRefused is how many queries in a row are turned away at most.
	mostRefused = 4
	// least lets enough queries in to see that the load has gone.
	least = 2.0
	// liftSlack is by how much the limit must exceed what is under way to be
	// lifted: the load has gone.
	liftSlack = 4.0
)

// RecordArrival records a query that asks to go under way.
func (l *Limiter) RecordArrival(now clock.Milli) {
	if l.came == 0 {
		l.came = now
		return
	}
	pause := float64(now - l.came)
	l.came = now
	if l.usualPause == 0 {
		l.pause, l.usualPause = pause, pause
	}
	l.pause += (pause - l.pause) * pauseGain
	l.arrivals++
	l.usualPause += (pause - l.usualPause) * max(usualPauseGain, 1/l.arrivals)
}

// Surge tells whether far more queries come than usual.
func (l *Limiter) Surge() bool { return l.pause*crowd < l.usualPause }

// Admit tells whether one more query goes under way. Of those beyond the limit
// a part is let in all the same: leafs may be late for another reason than their
// load, and then to turn callers away helps nobody. Late queries, whose target
// has passed, are no part of these: they take room from those that can still be
// in time.
func (l *Limiter) Admit(late bool) bool {
	if !l.Active() || float64(l.InFlight) < l.limit {
		l.refused = 0
		return true
	}
	if late {
		return false
	}
	if l.refused++; l.refused > mostRefused {
		l.refused = 0
		return true
	}
	return false
}

// Active tells whether queries are being turned away.
func (l *Limiter) Active() bool { return l.limit > 0 }

// Limit is how many queries may be under way; 0 for no limit.
func (l *Limiter) Limit() float64 { return l.limit }

// LateRatio is the share of queries of late that were not answered in time.
func (l *Limiter) LateRatio() float64 { return l.late }

// RecordLate records a query that was not answered in time.
func (l *Limiter) RecordLate(now clock.Milli) {
	l.late += (1 - l.late) * lateGain
	l.learn()
	if now < l.cutAt+cutPause {
		return
	}
	floor := least
	switch {
	case l.late >= lateMost:
	case l.late >= lateSome && l.Surge():
		floor = max(least, l.usual*usualSlack)
	default:
		return
	}
	under := float64(l.InFlight)
	if under <= floor {
		return
	}
	if l.Active() {
		under = min(under, l.limit)
	}
	l.cutAt = now
	l.limit = max(floor, under*cut)
}

// RecordOnTime records one that was.
func (l *Limiter) RecordOnTime() {
	l.late -= l.late * lateGain
	l.learn()
	if !l.Active() {
		return
	}
	l.limit += grow
	if l.limit > float64(l.InFlight)*liftSlack && l.late < lateSome {
		l.limit = 0
	}
}

// learn feeds the usual number under way, while none are turned away.
func (l *Limiter) learn() {
	if l.Active() {
		return
	}
	gain := usualGain
	if l.usual == 0 {
		gain = 1
	}
	l.usual += (float64(l.InFlight) - l.usual) * gain
}
