package router

import (
	"math"

	"dandelionstile/share/clock"
	"dandelionstile/share/report"
	"dandelionstile/share/roster"
	"dandelionstile/share/warmup"
)

// attempt is one call to a leaf.
type attempt struct {
	id    uint64
	leaf  *leaf
	shard *shard
	sent  clock.Milli
	// orphan calls belong to a request that needs them no more.
	orphan bool
	over   bool
}

// leaf is what this host believes of one leaf.
type leaf struct {
	roster.Leaf
	region string
	// limit is how many connections this host may use.
	limit int
	out   []*attempt // calls under way, oldest first
	// lat and dev are the smoothed time of replies and its mean deviation, in
	// ms; at is when they were last fed.
	lat, dev float64
	at       clock.Milli
	// fails is the recent share of calls that failed, at judged.
	fails  float64
	judged clock.Milli
	// failures counts calls in a row that ended without a reply.
	failures  int
	unhealthy bool
	probeAt   clock.Milli
	// connCheckAt is when a broken call may next be followed by a connection check.
	connCheckAt clock.Milli
	// relapses counts how often in a row the leaf became unhealthy again soon
	// after its health check had cleared it.
	relapses    int
	recoveredAt clock.Milli
	coldUntil   clock.Milli
	pace        warmup.Limiter
	removed     bool
	// hosts is how many hosts share the leaf, if all were as this one.
	hosts float64
	told  report.LastReport
	// calledAt is when a call from here ended last.
	calledAt clock.Milli
}

const (
	// latencyGain and deviationGain are TCP's smoothing of round trips: recent
	// enough to see a leaf turn slow within some eight calls.
	latencyGain   = 1.0 / 4
	deviationGain = 1.0 / 4
	// failureGain weighs the last call's outcome; 1/6 sees a leaf that fails
	// two calls of five within a handful.
	failureGain = 1.0 / 6
	// forgetAfter and forgetHalf let a leaf's bad time fade when it gets no
	// calls, so that it is tried again after a second or so.
	forgetAfter clock.Milli = 300
	forgetHalf  float64     = 700 // ms
	// failuresHalf is in how many ms the failures of a leaf without calls count
	// for half.
	failuresHalf = 1500.0
	// unhealthyAfter is how many calls in a row without a sign of life make a
	// leaf unhealthy; one may be a lost answer. One that breaks connections it
	// has accepted lives, and its failures are weighed by failureCost: counted
	// like silence, leafs that lose some of their answers would all be
	// unhealthy at times, and queries refused for want of a leaf.
	unhealthyAfter = 2
	// brokenAfter is how many broken connections in a row do.
	brokenAfter = 6
	// probeEvery is the pause between two probes of an unhealthy leaf. It
	// doubles, up to eight times, while the leaf's health check clears it and
	// its calls fail again within relapseTime.
	probeEvery  clock.Milli = 500
	mostDoubles             = 3
	relapseTime             = 3 * clock.Second
	// probeWait is when an unanswered probe is taken as failed.
	probeWait = 2 * clock.Second
)

// expected is the time a reply should take, in ms, given the usual time of
// leafs in its region.
func (f *leaf) expected(now clock.Milli, usual float64) float64 {
	if f.at == 0 {
		return usual
	}
	idle := float64(now - f.at - forgetAfter)
	if idle <= 0 || f.lat <= usual {
		return f.lat
	}
	return usual + (f.lat-usual)*math.Exp2(-idle/(forgetHalf*f.memory()))
}

const (
	// fewHosts is for how many hosts the times of forgetting are made.
	fewHosts = 8
	// mostMemory bounds how much longer many hosts remember.
	mostMemory = 8
)

// memory is by how much longer this host remembers a leaf's bad time than one of
// few hosts does. Each host of many calls a leaf seldom; if each tried a slow
// leaf again as soon as one of a few does, all together would try it at every
// call.
func (f *leaf) memory() float64 {
	return min(max(1, f.hosts/fewHosts), mostMemory)
}

// observe feeds the time of a reply.
func (f *leaf) observe(now clock.Milli, took float64) {
	if f.at == 0 {
		f.lat, f.dev = took, took/2
	} else {
		f.dev += (math.Abs(took-f.lat) - f.dev) * deviationGain
		f.lat += (took - f.lat) * latencyGain
	}
	f.at = now
}

// overdue is how long the oldest call is past the time it should have taken;
// 0 when it is not. A leaf that stands still shows so before any call fails.
func (f *leaf) overdue(now clock.Milli) float64 {
	if len(f.out) == 0 {
		return 0
	}
	age := float64(now - f.out[0].sent)
	if age <= f.lat+3*f.dev+stallSlack {
		return 0
	}
	return age
}

// stallSlack keeps ordinary jitter of a few ms from looking like a stall.
const stallSlack = 12.0

func (f *leaf) add(a *attempt) { f.out = append(f.out, a) }

func (f *leaf) drop(a *attempt) {
	for i, one := range f.out {
		if one == a {
			f.out = append(f.out[:i], f.out[i+1:]...)
			return
		}
	}
}

// failed records a call without a proper reply, and how many in a row make
// the leaf unhealthy.
func (f *leaf) failed(now clock.Milli, most int) (becameUnhealthy bool) {
	f.judge(now, 1)
	f.failures++
	if f.unhealthy || f.failures < most {
		return false
	}
	f.unhealthy = true
	if f.recoveredAt != 0 && now-f.recoveredAt < relapseTime {
		f.relapses = min(f.relapses+1, mostDoubles)
	} else {
		f.relapses = 0
	}
	f.probeAt = now + f.probePause()
	return true
}

func (f *leaf) probePause() clock.Milli { return probeEvery << f.relapses }

// recovered believes an unhealthy leaf's good health.
func (f *leaf) recovered(now clock.Milli) {
	f.unhealthy = false
	f.failures = 0
	f.recoveredAt = now
}

// judge feeds the outcome of a call: 1 for a failure, 0 for a reply.
func (f *leaf) judge(now clock.Milli, outcome float64) {
	f.fails = f.failing(now) + (outcome-f.failing(now))*failureGain
	f.judged = now
}

// failing is the share of calls that are expected to fail. It fades while the
// leaf gets none, so that it is tried again.
func (f *leaf) failing(now clock.Milli) float64 {
	return f.fails * math.Exp2(-float64(now-f.judged)/(failuresHalf*f.memory()))
}

// replied records a proper reply.
func (f *leaf) replied(now clock.Milli) (becameHealthy bool) {
	f.judge(now, 0)
	f.failures = 0
	was := f.unhealthy
	f.unhealthy = false
	return was
}

// cold tells whether the leaf bears only a part of its load.
func (f *leaf) cold(now clock.Milli) bool { return now < f.coldUntil }
