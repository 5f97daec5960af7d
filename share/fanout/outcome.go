package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// CallDone takes the final word on a call. A late one, whose query has its
// answer or was pinned anew, changes nothing.
func (e *Engine) CallDone(now clock.Milli, o query.Outcome) []Action {
	if o.Feedback != nil {
		e.SetFeedback(*o.Feedback)
	}
	a := e.attempts[o.Call]
	if a == nil {
		return nil
	}
	delete(e.attempts, o.Call)
	a.leaf.flying--
	e.now = now
	h := e.host(a.host)
	h.flying--
	h.heard = now
	q := a.query
	q.landed(a)
	st := &q.shards[a.shard]
	st.flying--
	if o.Kind == query.NotRun {
		st.reached--
	}
	if q.done || st.settled {
		return nil
	}
	if o.Kind == query.OK {
		return e.succeeded(now, q, a, o)
	}
	return e.failed(now, q, a, o)
}

func (e *Engine) succeeded(now clock.Milli, q *running, a *attempt, o query.Outcome) []Action {
	took := now - a.sent
	q.service.timing.record(now, took)
	a.leaf.learn(now, took)
	q.rows = append(q.rows, o.Rows...)
	e.settle(now, q, a.shard, query.ReasonNone)
	e.beaten(now, q, a.shard)
	out := e.cancelShard(q, a.shard)
	if q.canary {
		e.good.Add(q.proof())
		return append(out, e.fan(now, q)...)
	}
	return append(out, e.complete(now, q)...)
}

// learn smooths the usual time of a leaf.
func (f *leaf) learn(now, took clock.Milli) {
	f.learnt = now
	if f.usual == 0 {
		f.usual = float64(took)
		return
	}
	f.usual += (float64(took) - f.usual) / 8
}

// settle ends a shard: with a result when the reason is none.
func (e *Engine) settle(now clock.Milli, q *running, i int, why query.Reason) {
	st := &q.shards[i]
	if st.settled {
		return
	}
	st.settled = true
	st.missing = why
	q.open--
	if why != query.ReasonNone {
		q.note(now, Step{Event: EventMissing, Shard: i, Cause: why})
	}
}

// cancelShard cancels the calls of a shard that are still out.
func (e *Engine) cancelShard(q *running, shard int) []Action {
	if q.shards[shard].flying == 0 {
		return nil
	}
	return e.cancel(q, func(a *attempt) bool { return a.shard == shard })
}

// beaten learns from calls of a shard that another call has overtaken: they
// took at least as long as they have run. Else a straggler whose calls are
// always overtaken would keep the reputation it had before.
func (e *Engine) beaten(now clock.Milli, q *running, shard int) {
	for _, a := range q.flying {
		if a.shard == shard && float64(now-a.sent) > a.leaf.usual {
			a.leaf.learn(now, now-a.sent)
		}
	}
}

// cancelAll cancels all calls of a query that are still out.
func (e *Engine) cancelAll(q *running) []Action {
	return e.cancel(q, func(*attempt) bool { return true })
}

func (e *Engine) cancel(q *running, match func(*attempt) bool) []Action {
	byHost := map[string][]uint64{}
	kept := q.flying[:0]
	for _, a := range q.flying {
		if !match(a) {
			kept = append(kept, a)
			continue
		}
		byHost[a.host] = append(byHost[a.host], a.id)
		a.leaf.flying--
		e.host(a.host).flying--
		q.shards[a.shard].flying--
		delete(e.attempts, a.id)
	}
	q.flying = kept
	return cancelActions(byHost)
}

// landed takes an attempt off its query's list.
func (q *running) landed(a *attempt) {
	for i, other := range q.flying {
		if other == a {
			last := len(q.flying) - 1
			q.flying[i] = q.flying[last]
			q.flying = q.flying[:last]
			return
		}
	}
}
