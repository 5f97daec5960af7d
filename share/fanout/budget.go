package fanout

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// budget limits the extra leaf calls of one service: each first call earns a
// fraction of a token; a hedge, and a retry after an outcome other than NotRun, cost one.
// Without it, a slow or failing backend gets even more load, which keeps it slow after
// the cause is gone. An empty budget disables them; it never queues them.
type budget struct {
	tokens      float64
	initialized bool // set once the initial tokens have been added
}

// budgetBurst is the maximum number of extra calls that can be saved up.
const budgetBurst = 20

// earn adds percent/100 tokens for each first call. The first time, it fills the budget,
// which is empty until then.
func (b *budget) earn(calls, percent int) {
	if !b.initialized {
		b.initialized = true
		b.tokens = budgetBurst
	}
	b.tokens = min(b.tokens+float64(calls*percent)/100, budgetBurst)
}

// spend takes n tokens, or none and reports false if there are fewer.
func (b *budget) spend(n float64) bool {
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// timing records the recent leaf call times of a service and derives the hedge
// delay from them.
type timing struct {
	current, previous *hdrhistogram.Histogram
	rotatedAt         clock.Milli
	hedgeDelay        clock.Milli
	nextUpdateAt      clock.Milli
	median            float64 // in ms
}

const (
	// histogramDuration is how long a histogram records before it is rotated.
	histogramDuration = 5 * clock.Second
	// minSamples is the number of recorded calls below which no quantile is computed.
	minSamples = 50
	// defaultHedgeDelay applies until minSamples calls have been recorded.
	defaultHedgeDelay = 50 * clock.Milli(1)
	minHedgeDelay     = 2 * clock.Milli(1)
	// hedgeUpdateInterval is the time between two computations of the quantile.
	hedgeUpdateInterval = 100 * clock.Milli(1)
)

// newHistogram returns a histogram for 1 ms to 1 minute with two significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60000, 2) }

// record adds a call time. The two histograms take turns, so that old call times no
// longer count.
func (t *timing) record(now, took clock.Milli) {
	if t.current == nil {
		t.current, t.previous, t.rotatedAt = newHistogram(), newHistogram(), now
	}
	if now-t.rotatedAt >= histogramDuration {
		t.current, t.previous = t.previous, t.current
		t.current.Reset()
		t.rotatedAt = now
	}
	_ = t.current.RecordValue(int64(max(1, min(took, 60000)))) // can't fail: the value is in range
}

// delay returns how long a call runs before it is hedged: just over the given quantile, in
// percent, of recent call times, or defaultHedgeDelay while too few are recorded. It
// computes the delay and the median again every hedgeUpdateInterval.
func (t *timing) delay(now clock.Milli, quantile float64) clock.Milli {
	if t.current == nil {
		return defaultHedgeDelay
	}
	if now < t.nextUpdateAt {
		return t.hedgeDelay
	}
	t.nextUpdateAt = now + hedgeUpdateInterval
	t.hedgeDelay = defaultHedgeDelay
	// The histogram with more samples.
	h := t.previous
	if h.TotalCount() < t.current.TotalCount() {
		h = t.current
	}
	if h.TotalCount() >= minSamples {
		// A call as long as the quantile is not hedged yet, hence 1 ms more.
		t.hedgeDelay = max(minHedgeDelay, clock.Milli(h.ValueAtQuantile(quantile))+1)
		t.median = float64(h.ValueAtQuantile(50))
	}
	return t.hedgeDelay
}

// admission limits how many queries of one service an entry runs at once. When
// leaves reject shards for lack of capacity, whole queries are rejected before they
// cost anything: a query that misses one shard of twenty has wasted the work of
// the other nineteen. The limit follows additive increase, multiplicative
// decrease.
type admission struct {
	limit       float64
	admitted    int
	callers     map[string]int // admitted queries by caller
	decreasedAt clock.Milli
	initialized bool
}

const (
	initialQueryLimit   = 64
	minQueryLimit       = 2
	maxQueryLimit       = 4096
	limitDecreaseFactor = 0.85
	// limitDecreaseInterval is the minimum time between two decreases.
	limitDecreaseInterval = 100 * clock.Milli(1)
	// overloadRetryAfter is the minimum Retry-After of a rejected query.
	overloadRetryAfter = 200 * clock.Milli(1)
)

// admit reports whether a query of a caller is admitted, and counts it. At the limit,
// a caller below its fair share is still admitted, so that a greedy caller can't lock
// out the others. With force, every query is admitted.
func (a *admission) admit(caller string, force bool) bool {
	if !a.initialized {
		a.initialized = true
		a.limit = initialQueryLimit
		a.callers = map[string]int{}
	}
	if float64(a.admitted) >= a.limit && !force {
		active := len(a.callers)
		if a.callers[caller] == 0 {
			active++
		}
		if active < 2 || float64(a.callers[caller]+1) > a.limit/float64(active) {
			return false
		}
	}
	a.admitted++
	a.callers[caller]++
	return true
}

// release removes a query. It lowers the limit, at most once per
// limitDecreaseInterval, if leaves lacked capacity for the query, and otherwise raises
// it if it was nearly used up.
func (a *admission) release(now clock.Milli, caller string, c query.Coverage) {
	nearLimit := float64(a.admitted) >= 0.8*a.limit
	a.admitted--
	a.callers[caller]--
	if a.callers[caller] <= 0 {
		delete(a.callers, caller)
	}
	if lackedCapacity(c) {
		if now-a.decreasedAt >= limitDecreaseInterval {
			a.decreasedAt = now
			// Decreases from the actual number of queries, including the one just
			// removed, which may be far below the limit.
			a.limit = max(minQueryLimit, min(a.limit, float64(a.admitted+1))*limitDecreaseFactor)
		}
		return
	}
	if nearLimit {
		// Grows by about 2 while as many queries end as the limit admits.
		a.limit = min(maxQueryLimit, a.limit+1/max(1, a.limit)*2)
	}
}

// lackedCapacity reports whether an answer misses shards because leaves had no capacity.
func lackedCapacity(c query.Coverage) bool {
	for _, m := range c.Missing {
		switch m.Reason {
		case query.ReasonQueueFull, query.ReasonShed:
			return true
		default:
		}
	}
	return false
}
