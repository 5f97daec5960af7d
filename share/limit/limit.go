// Package limit implements an adaptive admission limiter with additive increase
// and multiplicative decrease (AIMD).
//
// It guards against overload: leaves get more queries than they can serve, because
// of a surge of callers or because leaves have become slow. Every query needs
// every shard, so overloaded leaves serve no query in time; rejecting some queries
// early keeps the others in time. A host sees only its own part of the leaves'
// load, so the limiter uses the outcomes of the host's own queries and not queue
// lengths. It lowers the limit when too many queries are late and raises it with
// each query that is in time.
package limit

import "dandelionstile/share/clock"

// Limiter bounds the queries in flight at one host. The zero value admits all until too many
// are late.
type Limiter struct {
	// InFlight is the number of queries in flight; the caller keeps it current.
	InFlight int
	// limit is the maximum number of queries in flight; 0 means no limit.
	limit float64
	// lateRatio is the smoothed share of queries that were not answered in time.
	lateRatio float64
	// rejected counts consecutive rejected queries, without late ones.
	rejected int
	// lastDecrease is the time of the last decrease.
	lastDecrease clock.Milli
	// baseline is the smoothed number of queries in flight while no limit is in force.
	baseline float64
	// lastArrival is the time of the last arrival; interval and baselineInterval
	// are the short-term and long-term averages of the time between arrivals, in ms.
	lastArrival                clock.Milli
	interval, baselineInterval float64
	// arrivals counts the intervals between arrivals.
	arrivals float64
}

const (
	// lateRatioGain averages over about 12 queries: one second at an average host.
	lateRatioGain = 1.0 / 12
	// surgeLateRatio is the share of late queries from which a surge is limited.
	// Single slow leaves make as many queries late, but don't raise the arrival rate.
	surgeLateRatio = 0.25
	// surgeFactor is the ratio of the current to the baseline arrival rate that counts
	// as a surge. It exceeds the growth at the remaining hosts when others are
	// partitioned.
	surgeFactor = 1.8
	// intervalGain averages over enough arrivals to tell a surge from chance,
	// baselineIntervalGain over several surges.
	intervalGain         = 1.0 / 10
	baselineIntervalGain = 1.0 / 400
	// overloadLateRatio is the share of late queries from which the limit may fall below
	// the baseline: the leaves have become too slow to serve even the usual load.
	overloadLateRatio = 0.5
	// baselineGain averages over several times the length of a surge.
	baselineGain = 1.0 / 200
	// surgeHeadroom is the lowest limit during a surge, relative to the baseline.
	surgeHeadroom = 1.25
	// decreaseFactor is applied at most once per decreaseInterval. That is about
	// the duration of a query, so the effect of one decrease shows before the next.
	decreaseFactor               = 0.6
	decreaseInterval clock.Milli = 150
	// increaseStep is the increase per query answered in time: the limit doubles in
	// about three rounds of queries.
	increaseStep = 0.35
	// maxRejected is the maximum number of consecutive rejections of queries that aren't
	// late.
	maxRejected = 4
	// minLimit admits enough queries to detect that the overload has ended.
	minLimit = 2.0
	// liftFactor is the ratio of the limit to the queries in flight above which the
	// limit is removed if few queries are late: the overload has ended.
	liftFactor = 4.0
)

// RecordArrival updates the averages of the time between arrivals; it is called for each
// query, before Admit.
func (l *Limiter) RecordArrival(now clock.Milli) {
	if l.lastArrival == 0 { // the first arrival
		l.lastArrival = now
		return
	}
	interval := float64(now - l.lastArrival)
	l.lastArrival = now
	if l.baselineInterval == 0 {
		l.interval, l.baselineInterval = interval, interval
	}
	l.interval += (interval - l.interval) * intervalGain
	l.arrivals++
	// The first arrivals count equally, until the gain is as low as baselineIntervalGain.
	l.baselineInterval += (interval - l.baselineInterval) * max(baselineIntervalGain, 1/l.arrivals)
}

// Surge reports whether queries arrive more than surgeFactor times as often as usual.
func (l *Limiter) Surge() bool { return l.interval*surgeFactor < l.baselineInterval }

// Admit reports whether to admit one more query. Beyond the limit it admits one of
// maxRejected+1 queries: leaves may be slow for a reason other than their load, and then
// rejecting callers helps nobody. Late queries, whose target has passed, are never
// admitted beyond the limit: they take capacity from queries that can still be in time.
func (l *Limiter) Admit(late bool) bool {
	if !l.Active() || float64(l.InFlight) < l.limit {
		l.rejected = 0
		return true
	}
	if late {
		return false
	}
	if l.rejected++; l.rejected > maxRejected {
		l.rejected = 0
		return true
	}
	return false
}

// Active reports whether a limit is in force.
func (l *Limiter) Active() bool { return l.limit > 0 }

// Limit returns the maximum number of queries in flight; 0 means no limit.
func (l *Limiter) Limit() float64 { return l.limit }

// LateRatio returns the smoothed share of queries that were not answered in time.
func (l *Limiter) LateRatio() float64 { return l.lateRatio }

// RecordLate records a query that was not answered in time. It sets or lowers the limit, at
// most once per decreaseInterval: down to minLimit if most queries are late, and during a surge
// with many late ones to surgeHeadroom times the baseline. A limit below that, from an earlier
// overload, rises to it. Otherwise the limit is unchanged.
func (l *Limiter) RecordLate(now clock.Milli) {
	l.lateRatio += (1 - l.lateRatio) * lateRatioGain
	l.updateBaseline()
	if now < l.lastDecrease+decreaseInterval {
		return
	}
	floor := minLimit
	switch {
	case l.lateRatio >= overloadLateRatio:
		// Overloaded: the limit may fall to minLimit.
	case l.lateRatio >= surgeLateRatio && l.Surge():
		floor = max(minLimit, l.baseline*surgeHeadroom)
	default:
		return
	}
	inFlight := float64(l.InFlight)
	// A limit that is at least floor would reject none of them.
	if inFlight <= floor {
		return
	}
	// Without a limit, the decrease starts from the queries in flight.
	if l.Active() {
		inFlight = min(inFlight, l.limit)
	}
	l.lastDecrease = now
	l.limit = max(floor, inFlight*decreaseFactor)
}

// RecordOnTime records a query that was answered in time. It raises the limit, and removes
// it once it is liftFactor times the queries in flight and few queries are late.
func (l *Limiter) RecordOnTime() {
	l.lateRatio -= l.lateRatio * lateRatioGain
	l.updateBaseline()
	if !l.Active() {
		return
	}
	l.limit += increaseStep
	if l.limit > float64(l.InFlight)*liftFactor && l.lateRatio < surgeLateRatio {
		l.limit = 0
	}
}

// updateBaseline averages the queries in flight while no limit is in force.
func (l *Limiter) updateBaseline() {
	if l.Active() {
		return
	}
	gain := baselineGain
	if l.baseline == 0 {
		gain = 1
	}
	l.baseline += (float64(l.InFlight) - l.baseline) * gain
}
