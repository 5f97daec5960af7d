package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// CallDone handles the outcome of a call. A late outcome, of a query that was
// answered or pinned again meanwhile, has no effect except for its feedback.
func (e *Engine) CallDone(now clock.Milli, o query.Outcome) []Action {
	if o.Feedback != nil {
		e.SetFeedback(*o.Feedback)
	}
	a := e.attempts[o.Call]
	if a == nil {
		return nil
	}
	delete(e.attempts, o.Call)
	a.leaf.inFlight--
	e.now = now
	h := e.host(a.host)
	h.inFlight--
	h.lastReplyAt = now
	q := a.query
	q.removeAttempt(a)
	st := &q.shards[a.shard]
	st.inFlight--
	if o.Kind == query.NotRun {
		st.reached--
	}
	if q.done || st.settled {
		return nil
	}
	if o.Kind == query.OK {
		return e.callSucceeded(now, q, a, o)
	}
	return e.callFailed(now, q, a, o)
}

// callSucceeded adds the rows of a shard and cancels its other calls. The first
// canary to succeed proves the query and releases the calls to all shards.
func (e *Engine) callSucceeded(now clock.Milli, q *activeQuery, a *attempt, o query.Outcome) []Action {
	took := now - a.sentAt
	q.service.timing.record(now, took)
	a.leaf.recordLatency(now, took)
	q.rows = append(q.rows, o.Rows...)
	e.settle(now, q, a.shard, query.ReasonNone)
	e.recordOvertaken(now, q, a.shard)
	out := e.cancelShard(q, a.shard)
	if q.canaryPhase {
		e.proven.Add(q.provenKey())
		return append(out, e.fanOut(now, q)...)
	}
	return append(out, e.answerIfComplete(now, q)...)
}

// recordLatency updates the mean latency of a leaf, a moving average in which a new
// sample weighs 1/8.
func (f *leaf) recordLatency(now, took clock.Milli) {
	f.updatedAt = now
	if f.meanLatency == 0 {
		f.meanLatency = float64(took)
		return
	}
	f.meanLatency += (float64(took) - f.meanLatency) / 8
}

// settle ends a shard: with a result if the reason is ReasonNone, and as missing
// otherwise. It does nothing if the shard has ended.
func (e *Engine) settle(now clock.Milli, q *activeQuery, shard int, reason query.Reason) {
	st := &q.shards[shard]
	if st.settled {
		return
	}
	st.settled = true
	st.missingReason = reason
	q.openShards--
	if reason != query.ReasonNone {
		q.addStep(now, Step{Event: EventMissing, Shard: shard, Cause: reason})
	}
}

// cancelShard cancels the calls in flight of a shard.
func (e *Engine) cancelShard(q *activeQuery, shard int) []Action {
	if q.shards[shard].inFlight == 0 {
		return nil
	}
	return e.cancel(q, func(a *attempt) bool { return a.shard == shard })
}

// recordOvertaken records the time that a shard's calls in flight have run, when another
// of its calls has succeeded, as a lower bound of their latency. Otherwise a straggler
// whose calls are always overtaken would keep its former mean latency.
func (e *Engine) recordOvertaken(now clock.Milli, q *activeQuery, shard int) {
	for _, a := range q.inFlight {
		if a.shard == shard && float64(now-a.sentAt) > a.leaf.meanLatency {
			a.leaf.recordLatency(now, now-a.sentAt)
		}
	}
}

// cancelAll cancels all calls in flight of a query.
func (e *Engine) cancelAll(q *activeQuery) []Action {
	return e.cancel(q, func(*attempt) bool { return true })
}

// cancel removes the matching calls in flight of a query and returns their
// cancellations. Their outcomes are ignored from then on.
func (e *Engine) cancel(q *activeQuery, match func(*attempt) bool) []Action {
	byHost := map[string][]uint64{}
	kept := q.inFlight[:0]
	for _, a := range q.inFlight {
		if !match(a) {
			kept = append(kept, a)
			continue
		}
		byHost[a.host] = append(byHost[a.host], a.id)
		a.leaf.inFlight--
		e.host(a.host).inFlight--
		q.shards[a.shard].inFlight--
		delete(e.attempts, a.id)
	}
	q.inFlight = kept
	return cancelActions(byHost)
}

// removeAttempt removes an attempt from its query.
func (q *activeQuery) removeAttempt(a *attempt) {
	for i, other := range q.inFlight {
		if other == a {
			last := len(q.inFlight) - 1
			q.inFlight[i] = q.inFlight[last]
			q.inFlight = q.inFlight[:last]
			return
		}
	}
}
