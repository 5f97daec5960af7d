package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// answerIfComplete answers a query once all shards are settled. It returns nil while
// any is open or the query's strike is being reported, and if the query has been answered.
func (e *Engine) answerIfComplete(now clock.Milli, q *activeQuery) []Action {
	if q.openShards > 0 || q.done || q.sharingStrike {
		return nil
	}
	return e.answer(now, q)
}

// answerPartial settles all open shards and answers the query. A shard is missing for
// the cause, or for its last failure if no call is in flight.
func (e *Engine) answerPartial(now clock.Milli, q *activeQuery, cause query.Reason) []Action {
	for i := range q.shards {
		st := &q.shards[i]
		if st.settled {
			continue
		}
		reason := cause
		if st.lastReason != query.ReasonNone && st.inFlight == 0 {
			reason = st.lastReason
		}
		e.settle(now, q, i, reason)
	}
	return e.answer(now, q)
}

// answer ends a query with its rows and coverage and cancels its calls. Coverage is
// counted shard by shard over the pinned partition map, never inferred from the replies.
func (e *Engine) answer(now clock.Milli, q *activeQuery) []Action {
	out := e.cancelAll(q)
	c := query.Coverage{Shards: len(q.shards)}
	for i := range q.shards {
		if q.shards[i].missingReason == query.ReasonNone && q.shards[i].settled {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, query.Missing{Shard: i, Reason: q.shards[i].missingReason})
	}
	e.endQuery(now, q, c)
	calls, extra := q.callCounts()
	return append(out, Answered{Query: q.ID, Steps: q.steps, Answer: query.Answer{
		Pin: q.pin, Rows: query.Merge(q.rows, q.Limit), Coverage: c, Calls: calls, Extra: extra,
	}})
}

// answerRefused ends a query without rows and cancels its calls. The wait is the answer's
// Retry-After.
func (e *Engine) answerRefused(now clock.Milli, q *activeQuery, reason query.Reason, wait clock.Milli) []Action {
	out := e.cancelAll(q)
	q.addStep(now, Step{Event: EventRefused, Cause: reason})
	e.endQuery(now, q, query.Coverage{})
	calls, extra := q.callCounts()
	return append(out, Answered{Query: q.ID, Steps: q.steps, Answer: query.Answer{
		Refused: reason, RetryAfter: wait, Calls: calls, Extra: extra,
	}})
}

// CancelQuery ends a query whose caller has disconnected, with a refusal that nobody
// reads, and cancels its calls, which occupy slots that other callers need.
func (e *Engine) CancelQuery(now clock.Milli, id uint64) []Action {
	e.init()
	e.now = now
	q := e.queries[id]
	if q == nil {
		return nil // already answered
	}
	return e.answerRefused(now, q, query.ReasonCallerGone, 0)
}

// callCounts returns the number of a query's calls, without those that ended as NotRun, and
// how many of them were beyond the first per shard. All calls for former pins count as
// extra.
func (q *activeQuery) callCounts() (calls, extra int) {
	calls, extra = q.priorCalls, q.priorCalls
	for i := range q.shards {
		calls += q.shards[i].reached
		extra += max(0, q.shards[i].reached-1)
	}
	return calls, extra
}

// endQuery removes a query and adjusts the admission limit to its coverage.
func (e *Engine) endQuery(now clock.Milli, q *activeQuery, c query.Coverage) {
	q.done = true
	q.service.admission.release(now, q.Caller, c)
	delete(e.queries, q.ID)
}
