package sched

import (
	"math"

	"dandelionstile/share/clock"
)

// recentLatency is a moving average of a leaf's recent call durations, which
// entries use to choose replicas. An aggregator sees the calls of all entries,
// so a slow call from one entry informs the others.
type recentLatency struct {
	ms        float64
	updatedAt clock.Milli
}

const (
	latencyWeight = 0.25 // of a new sample in the moving average
	// latencyHalfLife is the half-life of the excess over the service's mean. A
	// slow leaf is avoided and yields few new samples, so its latency would
	// otherwise stay high.
	latencyHalfLife = 2 * clock.Second
)

// record adds the duration of a call. The average starts with the first one.
func (l *recentLatency) record(now, took clock.Milli) {
	l.updatedAt = now
	if l.ms == 0 {
		l.ms = float64(took)
	}
	l.ms += (float64(took) - l.ms) * latencyWeight
}

// decayed returns the average. Its excess over baseline decays with the time
// since the last sample.
func (l *recentLatency) decayed(now clock.Milli, baseline float64) float64 {
	if l.ms <= baseline {
		return l.ms
	}
	return baseline + (l.ms-baseline)*math.Exp2(-float64(now-l.updatedAt)/float64(latencyHalfLife))
}

// recordAbandoned records how long an abandoned call has run, as a lower bound of
// its latency, if that is above the average.
func (f *leaf) recordAbandoned(now clock.Milli, call *activeCall) {
	c := f.conns[call.conn]
	if c == nil {
		return
	}
	if ran := now - c.sentAt; float64(ran) > f.health.latency.ms {
		f.health.latency.record(now, ran)
	}
}
