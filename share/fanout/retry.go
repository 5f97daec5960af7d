package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// maxWaits is how often a shard waits for room before it is given up.
const maxWaits = 3

// failed decides what follows a call without a result.
func (e *Engine) failed(now clock.Milli, q *running, a *attempt, o query.Outcome) []Action {
	st := &q.shards[a.shard]
	if o.Reason == query.ReasonProven {
		return e.provenElsewhere(now, q, a)
	}
	st.last = o.Reason
	q.note(now, Step{Event: EventFailed, Shard: a.shard, Leaf: a.leaf.name, Host: a.host, Cause: o.Reason})
	switch {
	case o.Kind == query.Died:
		e.died(now, q.fingerprint, o.Strikes, o.RetryAfter)
		return e.crashed(now, q)
	case o.Reason == query.ReasonQuarantined && q.deaths > 0 && q.canary:
		// Its own first canary's death was heard of there before the second ran.
		return e.canaryFailed(now, q, o)
	case o.Reason == query.ReasonQuarantined:
		left := max(o.RetryAfter, e.strikes.Get(now, q.fingerprint).TimeLeft, deny.SuspectTime)
		return e.answerRefused(now, q, query.ReasonQuarantined, left)
	case q.canary:
		return e.canaryFailed(now, q, o)
	case st.flying > 0:
		return nil // a hedge is still out
	}
	b := batches{}
	if e.retry(now, q, a, o, &b) {
		return b.actions()
	}
	if wait, again := e.waits(now, q, st, o); again {
		st.retryAt = now + wait
		return nil
	}
	if o.Reason == query.ReasonSnapshot || o.Reason == query.ReasonNoReplica {
		if out, ok := e.repin(now, q); ok {
			return out
		}
	}
	e.settle(now, q, a.shard, st.last)
	return e.complete(now, q)
}

// retry asks another replica, or the same leaf through its other candidate.
func (e *Engine) retry(now clock.Milli, q *running, a *attempt, o query.Outcome, b *batches) bool {
	st := &q.shards[a.shard]
	if now >= q.until || st.tries >= maxTries+e.Policy.FixedRetries {
		return false
	}
	if c, ok := e.sidestep(now, q, a, o); ok {
		e.send(now, q, a.shard, c, false, EventRetried, b)
		return true
	}
	list := e.candidates(now, q, a.shard)
	if len(list) == 0 {
		return false
	}
	// A call that never reached a leaf costs leafs nothing when it is made
	// again; all others draw on the budget.
	if o.Kind != query.NotRun && !e.extra(q.service) {
		q.note(now, Step{Event: EventHeldByBudget, Shard: a.shard, Cause: o.Reason})
		st.last = o.Reason
		return false
	}
	e.send(now, q, a.shard, e.choose(list), false, EventRetried, b)
	return true
}

// sidestep reaches the same leaf through its other candidate, when the first
// refused for reasons of its own.
func (e *Engine) sidestep(now clock.Milli, q *running, a *attempt, o query.Outcome) (candidate, bool) {
	if o.Kind != query.NotRun {
		return candidate{}, false
	}
	switch o.Reason {
	case query.ReasonNotOwner, query.ReasonLeaving, query.ReasonWaking, query.ReasonCold, query.ReasonBusy:
	default:
		return candidate{}, false
	}
	st := &q.shards[a.shard]
	if st.hosts == nil {
		st.hosts = map[string]bool{}
	}
	st.hosts[a.host] = true
	return e.candidate(now, a.leaf, st.hosts)
}

// extra takes one extra call from the budget.
func (e *Engine) extra(s *service) bool {
	return e.Policy.FixedRetries > 0 || s.budget.spend(1)
}

// waits tells whether a shard is to be asked again a little later: nothing ran,
// and the cause passes within moments. A leaf that changes hands or warms up is
// waited for by all services; one without room only by those that weigh coverage
// above all.
func (e *Engine) waits(now clock.Milli, q *running, st *shard, o query.Outcome) (clock.Milli, bool) {
	if o.Kind != query.NotRun || st.waits >= maxWaits {
		return 0, false
	}
	switch o.Reason {
	case query.ReasonCold, query.ReasonWaking, query.ReasonNotOwner, query.ReasonLeaving, query.ReasonBusy:
	case query.ReasonQueueFull:
		if q.service.Patience < 100 {
			return 0, false
		}
	default:
		return 0, false
	}
	wait := max(waitLeast, min(o.RetryAfter, waitMost))
	if now+wait >= q.until {
		return 0, false
	}
	st.waits++
	return wait, true
}

// waitLeast and waitMost bound one wait.
const (
	waitLeast clock.Milli = 10
	waitMost  clock.Milli = 50
)

// repin starts a query over on the snapshot that is now best, when its own is
// gone. What it gathered is thrown away: an answer rests on one snapshot.
func (e *Engine) repin(now clock.Milli, q *running) ([]Action, bool) {
	q.service.dirty = true
	pin, ok := e.choosePin(q.service)
	late := now-q.arrived > (q.until-q.arrived)/2
	if !ok || pin == q.pin || q.pins > 1 || late {
		return nil, false
	}
	if !q.service.budget.spend(min(budgetBurst, float64(q.first))) {
		return nil, false
	}
	out := e.cancelAll(q)
	q.note(now, Step{Event: EventRepinned, Cause: query.Reason(pin.String())})
	q.pinTo(pin, len(q.service.shards[pin.Layout]))
	return append(out, e.fan(now, q)...), true
}
