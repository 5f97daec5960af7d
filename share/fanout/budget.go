package fanout

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// budget bounds the extra leaf calls of one service: each first call earns a
// fraction of a token, each retry or hedge costs one. Without it, a slow or
// failing back end is answered with more load, which keeps it slow after the
// cause is gone. An empty budget turns retries and hedges off; it never queues
// them.
type budget struct {
	tokens float64
	full   bool // set once the initial tokens have been given
}

// budgetBurst is how many extra calls may be saved up.
const budgetBurst = 20

func (b *budget) earn(calls, percent int) {
	if !b.full {
		b.full = true
		b.tokens = budgetBurst
	}
	b.tokens = min(b.tokens+float64(calls*percent)/100, budgetBurst)
}

func (b *budget) spend(n float64) bool {
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// timing keeps the times of a service's recent leaf calls, to hedge by a
// quantile of them.
type timing struct {
	now, last *hdrhistogram.Histogram
	turned    clock.Milli
	hedge     clock.Milli
	dueAt     clock.Milli
	typical   float64 // median, in ms
}

const (
	// timingSpan is how long one histogram collects before the next takes over.
	timingSpan = 5 * clock.Second
	// timingLeast is how few calls say too little for a quantile.
	timingLeast = 50
	// hedgeUnknown is the hedge delay until enough calls were seen.
	hedgeUnknown = 50 * clock.Milli(1)
	hedgeLeast   = 2 * clock.Milli(1)
	// hedgeEvery is the pause between two readings of the quantile.
	hedgeEvery = 100 * clock.Milli(1)
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60000, 2) }

func (t *timing) record(now, took clock.Milli) {
	if t.now == nil {
		t.now, t.last, t.turned = newHistogram(), newHistogram(), now
	}
	if now-t.turned >= timingSpan {
		t.now, t.last = t.last, t.now
		t.now.Reset()
		t.turned = now
	}
	_ = t.now.RecordValue(int64(max(1, min(took, 60000)))) // in range by the bounds above
}

// delay is how long a call runs before it is hedged.
func (t *timing) delay(now clock.Milli, quantile float64) clock.Milli {
	if t.now == nil {
		return hedgeUnknown
	}
	if now < t.dueAt {
		return t.hedge
	}
	t.dueAt = now + hedgeEvery
	t.hedge = hedgeUnknown
	h := t.last
	if h.TotalCount() < t.now.TotalCount() {
		h = t.now
	}
	if h.TotalCount() >= timingLeast {
		t.hedge = max(hedgeLeast, clock.Milli(h.ValueAtQuantile(quantile))+1)
		t.typical = float64(h.ValueAtQuantile(50))
	}
	return t.hedge
}

// door limits how many queries of one service an entry works on at once. When
// shards come back refused for lack of room, whole queries are turned away
// before they cost anything: a query that misses one shard of twenty has wasted
// the work of the other nineteen. Additive increase, multiplicative decrease.
type door struct {
	limit   float64
	inside  int
	callers map[string]int
	cutAt   clock.Milli
	seed    bool
}

const (
	doorStart = 64
	doorLeast = 2
	doorMost  = 4096
	doorCut   = 0.85
	// doorPause is the least time between two cuts.
	doorPause = 100 * clock.Milli(1)
	// doorAdvice is the least time to come back after.
	doorAdvice = 200 * clock.Milli(1)
)

// enter admits a query of a caller, or not. A caller below its fair share of a
// full house still enters, so that one greedy caller cannot lock out the rest.
func (d *door) enter(caller string, force bool) bool {
	if !d.seed {
		d.seed = true
		d.limit = doorStart
		d.callers = map[string]int{}
	}
	if float64(d.inside) >= d.limit && !force {
		active := len(d.callers)
		if d.callers[caller] == 0 {
			active++
		}
		if active < 2 || float64(d.callers[caller]+1) > d.limit/float64(active) {
			return false
		}
	}
	d.inside++
	d.callers[caller]++
	return true
}

// leave takes a query out and learns from its coverage.
func (d *door) leave(now clock.Milli, caller string, c query.Coverage) {
	busy := float64(d.inside) >= 0.8*d.limit
	d.inside--
	d.callers[caller]--
	if d.callers[caller] <= 0 {
		delete(d.callers, caller)
	}
	if crowded(c) {
		if now-d.cutAt >= doorPause {
			d.cutAt = now
			// From what is really inside: the limit may stand far above it.
			d.limit = max(doorLeast, min(d.limit, float64(d.inside+1))*doorCut)
		}
		return
	}
	if busy {
		d.limit = min(doorMost, d.limit+1/max(1, d.limit)*2)
	}
}

// crowded tells whether an answer lacks shards because leafs had no room.
func crowded(c query.Coverage) bool {
	for _, m := range c.Missing {
		switch m.Reason {
		case query.ReasonQueueFull, query.ReasonShed:
			return true
		default:
		}
	}
	return false
}
