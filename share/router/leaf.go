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
	// orphaned calls belong to a request or shard that no longer needs them; after
	// orphanGrace they are cancelled.
	orphaned bool
	ended    bool
}

// leaf is this host's state of one leaf.
type leaf struct {
	roster.Leaf
	region string
	// connLimit is the number of connections that this host may use.
	connLimit int
	inFlight  []*attempt // calls in flight, oldest first
	// latency and deviation are the smoothed reply time and its mean deviation, in
	// ms; latencyAt is when they were last updated, 0 if never.
	latency, deviation float64
	latencyAt          clock.Milli
	// failureRatio is the smoothed share of failed calls at failureRatioAt.
	failureRatio   float64
	failureRatioAt clock.Milli
	// failedInRow counts consecutive calls that ended without a reply.
	failedInRow int
	unhealthy   bool
	// probeAt is when an unhealthy leaf may next be probed, or called if no other is left.
	probeAt clock.Milli
	// connCheckAt is when a broken call may next trigger a connection check.
	connCheckAt clock.Milli
	// flaps counts how often in a row the leaf became unhealthy again soon after a
	// successful probe, up to maxProbeDoublings.
	flaps int
	// recoveredAt is when the last probe passed; 0 if none has.
	recoveredAt clock.Milli
	// coldUntil is when the leaf's warm-up ends.
	coldUntil     clock.Milli
	warmupLimiter warmup.Limiter
	removed       bool
	// sharers is the number of hosts that would share the leaf if each took as large
	// a part as this one.
	sharers    float64
	lastReport report.LastReport
	// calledAt is when the last call from this host ended.
	calledAt clock.Milli
}

const (
	// latencyGain and deviationGain smooth like TCP's round-trip estimate: fast
	// enough to detect that a leaf has become slow within about eight calls.
	latencyGain   = 1.0 / 4
	deviationGain = 1.0 / 4
	// failureGain is the weight of the last call's outcome; 1/6 detects a leaf
	// that fails two of five calls within a handful of calls.
	failureGain = 1.0 / 6
	// decayDelay and latencyHalfLifeMs reduce the high latency of a leaf that gets
	// no calls, so that it is tried again after about a second.
	decayDelay        clock.Milli = 300
	latencyHalfLifeMs float64     = 700
	// failureHalfLifeMs is the time in ms in which the failure rate of a leaf
	// without calls halves.
	failureHalfLifeMs = 1500.0
	// unhealthyAfter is the number of consecutive calls without any reply that make
	// a leaf unhealthy; a single one may be a lost reply. A leaf that breaks
	// connections it has accepted is alive, and its failures are weighed by
	// failureCostMs: if they counted like silence, all leaves that lose some of
	// their replies would be unhealthy at times, and queries would be refused for
	// lack of a leaf.
	unhealthyAfter = 2
	// unhealthyAtOnce is the threshold for failures that show that the leaf can't be
	// reached at its address.
	unhealthyAtOnce = 1
	// brokenAfter is the number of consecutive broken connections that make a leaf
	// unhealthy.
	brokenAfter = 6
	// probeInterval is the time between two probes of an unhealthy leaf. It doubles,
	// up to maxProbeDoublings times, while the leaf passes its probes and its calls
	// fail again within flapWindow.
	probeInterval     clock.Milli = 500
	maxProbeDoublings             = 3
	flapWindow                    = 3 * clock.Second
	// probeTimeout is how long after a probe without a result the leaf may be probed
	// again.
	probeTimeout = 2 * clock.Second
)

// expected returns the expected reply time in ms, given the typical latency of
// leaves in its region.
func (f *leaf) expected(now clock.Milli, typical float64) float64 {
	if f.latencyAt == 0 {
		return typical
	}
	idle := float64(now - f.latencyAt - decayDelay)
	if idle <= 0 || f.latency <= typical {
		return f.latency
	}
	return typical + (f.latency-typical)*math.Exp2(-idle/(latencyHalfLifeMs*f.decayFactor()))
}

const (
	// baseHosts is the number of hosts for which the half-lives are set.
	baseHosts = 8
	// maxDecayFactor bounds how much longer the half-lives become with many hosts.
	maxDecayFactor = 8
)

// decayFactor returns how much longer the half-lives are than with few hosts. Each
// of many hosts rarely calls a given leaf; if each tried a slow leaf again as soon as
// one of few hosts does, together they would try it at every call.
func (f *leaf) decayFactor() float64 {
	return min(max(1, f.sharers/baseHosts), maxDecayFactor)
}

// observe updates the latency with a reply time.
func (f *leaf) observe(now clock.Milli, took float64) {
	if f.latencyAt == 0 {
		f.latency, f.deviation = took, took/2
	} else {
		f.deviation += (math.Abs(took-f.latency) - f.deviation) * deviationGain
		f.latency += (took - f.latency) * latencyGain
	}
	f.latencyAt = now
}

// overdue returns the age of the oldest call if it should have been answered by now,
// otherwise 0. It shows that a leaf has stalled before any call fails.
func (f *leaf) overdue(now clock.Milli) float64 {
	if len(f.inFlight) == 0 {
		return 0
	}
	age := float64(now - f.inFlight[0].sent)
	if age <= f.latency+3*f.deviation+stallSlackMs {
		return 0
	}
	return age
}

// stallSlackMs keeps ordinary jitter of a few ms from counting as a stall.
const stallSlackMs = 12.0

func (f *leaf) addCall(a *attempt) { f.inFlight = append(f.inFlight, a) }

// removeCall removes a call that has ended.
func (f *leaf) removeCall(a *attempt) {
	for i, c := range f.inFlight {
		if c == a {
			f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
			return
		}
	}
}

// recordFailure records a call without a proper reply and reports whether it made the
// leaf unhealthy: threshold is the number of consecutive failures that do.
func (f *leaf) recordFailure(now clock.Milli, threshold int) (becameUnhealthy bool) {
	f.updateFailureRatio(now, 1)
	f.failedInRow++
	if f.unhealthy || f.failedInRow < threshold {
		return false
	}
	f.unhealthy = true
	if f.recoveredAt != 0 && now-f.recoveredAt < flapWindow {
		f.flaps = min(f.flaps+1, maxProbeDoublings)
	} else {
		f.flaps = 0
	}
	f.probeAt = now + f.probeDelay()
	return true
}

// probeDelay returns the time until the next probe: probeInterval, doubled for each time
// in a row that the leaf failed again after a successful probe.
func (f *leaf) probeDelay() clock.Milli { return probeInterval << f.flaps }

// markHealthy marks an unhealthy leaf as healthy after a successful probe. If it becomes
// unhealthy within flapWindow of that, the interval of its probes doubles.
func (f *leaf) markHealthy(now clock.Milli) {
	f.unhealthy = false
	f.failedInRow = 0
	f.recoveredAt = now
}

// updateFailureRatio updates the smoothed failure ratio with a call's outcome: 1 for a
// failure, 0 for a reply.
func (f *leaf) updateFailureRatio(now clock.Milli, outcome float64) {
	f.failureRatio = f.currentFailureRatio(now) + (outcome-f.currentFailureRatio(now))*failureGain
	f.failureRatioAt = now
}

// currentFailureRatio returns the expected share of failed calls. It decays while the leaf
// gets no calls, so that the leaf is tried again.
func (f *leaf) currentFailureRatio(now clock.Milli) float64 {
	return f.failureRatio * math.Exp2(-float64(now-f.failureRatioAt)/(failureHalfLifeMs*f.decayFactor()))
}

// recordReply records a proper reply and reports whether it made the leaf healthy.
func (f *leaf) recordReply(now clock.Milli) (becameHealthy bool) {
	f.updateFailureRatio(now, 0)
	f.failedInRow = 0
	wasUnhealthy := f.unhealthy
	f.unhealthy = false
	return wasUnhealthy
}

// cold reports whether the leaf has just started and takes only part of its load.
func (f *leaf) cold(now clock.Milli) bool { return now < f.coldUntil }
