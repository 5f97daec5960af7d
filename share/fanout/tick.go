package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// Idle tells whether no query or update is under way.
func (e *Engine) Idle() bool { return len(e.queries) == 0 && e.updates.idle() }

// Tick runs what is due: answers, retries and hedges. Call it every few
// milliseconds.
func (e *Engine) Tick(now clock.Milli) []Action {
	e.init()
	e.now = now
	var out []Action
	kept := e.order[:0]
	for _, q := range e.order {
		if !q.done {
			out = append(out, e.tick(now, q)...)
		}
		if !q.done {
			kept = append(kept, q)
		}
	}
	clear(e.order[len(kept):])
	e.order = kept
	return append(out, e.tickUpdates(now)...)
}

func (e *Engine) tick(now clock.Milli, q *running) []Action {
	if q.struck {
		if now >= q.strikeUntil {
			return e.StrikeShared(now, q.ID)
		}
		return nil
	}
	if now >= q.until {
		why := query.ReasonDeadline
		if q.service.Patience < 100 {
			why = query.ReasonPatience
		}
		return e.answerPartial(now, q, why)
	}
	if q.canary {
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
			e.again(now, q, i, &b)
			continue
		}
		if st.flying == 1 && !st.hedged && now-st.sentAt >= delay {
			e.hedge(now, q, i, &b)
		}
	}
	return append(b.actions(), e.complete(now, q)...)
}

func (e *Engine) hedgeQuantile() float64 {
	if e.Policy.HedgeQuantile == 0 {
		return defaultHedgeQuantile
	}
	return e.Policy.HedgeQuantile
}

// again asks a shard whose leafs had no room a moment ago.
func (e *Engine) again(now clock.Milli, q *running, i int, b *batches) {
	st := &q.shards[i]
	st.retryAt = 0
	st.tries = 0
	st.tried = nil
	st.hosts = nil
	list := e.candidates(now, q, i)
	if len(list) == 0 {
		e.settle(now, q, i, e.whyMissing(q, i))
		return
	}
	e.send(now, q, i, e.choose(list), false, EventRetried, b)
}

// hedge asks a second replica when a call takes unusually long. Only a leaf
// that seems free is asked, and only while the budget lasts: a hedge that waits
// in a queue helps nobody.
func (e *Engine) hedge(now clock.Milli, q *running, i int, b *batches) {
	if e.Policy.NoHedge {
		return
	}
	st := &q.shards[i]
	list := e.candidates(now, q, i)
	free := list[:0]
	for _, c := range list {
		if c.leaf.free() && now+clock.Milli(c.rtt) < q.until {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return
	}
	st.hedged = true
	if !e.extra(q.service) {
		q.note(now, Step{Event: EventHeldByBudget, Shard: i})
		return
	}
	e.send(now, q, i, e.choose(free), false, EventHedged, b)
}
