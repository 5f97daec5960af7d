package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// Idle reports whether no queries or updates are running.
func (e *Engine) Idle() bool { return len(e.queries) == 0 && e.updates.idle() }

// Tick runs all timed work: answers, retries and hedges. It must be called every
// few milliseconds.
func (e *Engine) Tick(now clock.Milli) []Action {
	e.init()
	e.now = now
	var out []Action
	kept := e.arrivals[:0]
	for _, q := range e.arrivals {
		if !q.done {
			out = append(out, e.tick(now, q)...)
		}
		if !q.done {
			kept = append(kept, q)
		}
	}
	clear(e.arrivals[len(kept):])
	e.arrivals = kept
	return append(out, e.tickUpdates(now)...)
}

// tick runs the timed work of one query. A query whose strike is being reported only
// waits for that.
func (e *Engine) tick(now clock.Milli, q *activeQuery) []Action {
	if q.sharingStrike {
		if now >= q.strikeDeadline {
			return e.StrikeShared(now, q.ID)
		}
		return nil
	}
	if now >= q.answerBy {
		reason := query.ReasonDeadline
		if q.service.Patience < 100 {
			reason = query.ReasonPatience
		}
		return e.answerPartial(now, q, reason)
	}
	if q.canaryPhase {
		return e.hedgeCanary(now, q)
	}
	b := batches{}
	delay := q.service.timing.delay(now, e.hedgeQuantile())
	for i := range q.shards {
		st := &q.shards[i]
		if st.settled {
			continue
		}
		if st.retryAt != 0 && now >= st.retryAt {
			e.retryShard(now, q, i, &b)
			continue
		}
		if st.inFlight == 1 && !st.hedged && now-st.sentAt >= delay {
			e.hedge(now, q, i, &b)
		}
	}
	return append(b.actions(), e.answerIfComplete(now, q)...)
}

func (e *Engine) hedgeQuantile() float64 {
	if e.Policy.HedgeQuantile == 0 {
		return defaultHedgeQuantile
	}
	return e.Policy.HedgeQuantile
}

// retryShard calls a shard again after a wait. All usable replicas may be called, also
// those tried before. It gives the shard up if there is none.
func (e *Engine) retryShard(now clock.Milli, q *activeQuery, shard int, b *batches) {
	st := &q.shards[shard]
	st.retryAt = 0
	st.attempts = 0
	st.tried = nil
	st.rejectedBy = nil
	list := e.candidates(now, q, shard)
	if len(list) == 0 {
		e.settle(now, q, shard, e.missingReason(q, shard))
		return
	}
	e.addCall(now, q, shard, e.choose(list), false /* canary */, EventRetried, b)
}

// hedge calls a second replica if a call is slow, once per shard. Only leaves with a
// free slot that can be reached before the query is answered are called, since a queued
// hedge has no benefit, and only within the budget. A hedge that the budget withholds is
// not tried again; one without a free leaf is.
func (e *Engine) hedge(now clock.Milli, q *activeQuery, shard int, b *batches) {
	if e.Policy.NoHedge {
		return
	}
	st := &q.shards[shard]
	list := e.candidates(now, q, shard)
	free := list[:0]
	for _, c := range list {
		if c.leaf.hasFreeSlot() && now+clock.Milli(c.rtt) < q.answerBy {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return
	}
	st.hedged = true
	if !e.spendBudget(q.service) {
		q.addStep(now, Step{Event: EventHeldByBudget, Shard: shard})
		return
	}
	e.addCall(now, q, shard, e.choose(free), false /* canary */, EventHedged, b)
}
