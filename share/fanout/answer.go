package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// complete answers a query when no shard is open.
func (e *Engine) complete(now clock.Milli, q *running) []Action {
	if q.open > 0 || q.done || q.struck {
		return nil
	}
	return e.answer(now, q)
}

// answerPartial settles all open shards and answers.
func (e *Engine) answerPartial(now clock.Milli, q *running, why query.Reason) []Action {
	for i := range q.shards {
		st := &q.shards[i]
		if st.settled {
			continue
		}
		reason := why
		if st.last != query.ReasonNone && st.flying == 0 {
			reason = st.last
		}
		e.settle(now, q, i, reason)
	}
	return e.answer(now, q)
}

// answer counts coverage over the shards of the pinned partition map, one by
// one; it is never inferred from what came back.
func (e *Engine) answer(now clock.Milli, q *running) []Action {
	out := e.cancelAll(q)
	c := query.Coverage{Shards: len(q.shards)}
	for i := range q.shards {
		if q.shards[i].missing == query.ReasonNone && q.shards[i].settled {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, query.Missing{Shard: i, Reason: q.shards[i].missing})
	}
	e.forget(now, q, c)
	calls, extra := q.load()
	return append(out, Answered{Query: q.ID, Steps: q.trail, Answer: query.Answer{
		Pin: q.pin, Rows: query.Merge(q.rows, q.Limit), Coverage: c, Calls: calls, Extra: extra,
	}})
}

func (e *Engine) answerRefused(now clock.Milli, q *running, why query.Reason, wait clock.Milli) []Action {
	out := e.cancelAll(q)
	q.note(now, Step{Event: EventRefused, Cause: why})
	e.forget(now, q, query.Coverage{})
	calls, extra := q.load()
	return append(out, Answered{Query: q.ID, Steps: q.trail, Answer: query.Answer{
		Refused: why, RetryAfter: wait, Calls: calls, Extra: extra,
	}})
}

// CancelQuery ends a query whose caller has gone: nobody reads its answer, and its calls
// are slots that other callers wait for.
func (e *Engine) CancelQuery(now clock.Milli, id uint64) []Action {
	e.init()
	e.now = now
	q := e.queries[id]
	if q == nil {
		return nil // it was answered meanwhile
	}
	return e.answerRefused(now, q, query.ReasonCallerGone, 0)
}

// load counts the leaf calls of a query, and those beyond the first per shard.
func (q *running) load() (calls, extra int) {
	calls, extra = q.past, q.past
	for i := range q.shards {
		calls += q.shards[i].reached
		extra += max(0, q.shards[i].reached-1)
	}
	return calls, extra
}

func (e *Engine) forget(now clock.Milli, q *running, c query.Coverage) {
	q.done = true
	q.service.door.leave(now, q.Caller, c)
	delete(e.queries, q.ID)
}
