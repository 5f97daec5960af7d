package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// maxWaits limits how often a shard is retried after a wait.
const maxWaits = 3

// callFailed decides how to continue after a call without a result: in this order,
// another attempt at once, another after a wait, another snapshot for the whole query,
// or giving the shard up. It does nothing while a hedge of the shard is in flight.
// Canaries and quarantined queries are handled apart.
func (e *Engine) callFailed(now clock.Milli, q *activeQuery, a *attempt, o query.Outcome) []Action {
	st := &q.shards[a.shard]
	if o.Reason == query.ReasonProven {
		return e.provenElsewhere(now, q, a)
	}
	st.lastReason = o.Reason
	q.addStep(now, Step{Event: EventFailed, Shard: a.shard, Leaf: a.leaf.name, Host: a.host, Cause: o.Reason})
	switch {
	case o.Kind == query.Died:
		e.recordCrash(now, q.fingerprint, o.Strikes, o.RetryAfter)
		return e.canaryCrashed(now, q)
	case o.Reason == query.ReasonQuarantined && q.crashes > 0 && q.canaryPhase:
		// The aggregator learned of the first canary's crash before the second ran.
		return e.canaryFailed(now, q, o)
	case o.Reason == query.ReasonQuarantined:
		left := max(o.RetryAfter, e.strikes.Get(now, q.fingerprint).TimeLeft, deny.SuspectDuration)
		return e.answerRefused(now, q, query.ReasonQuarantined, left)
	case q.canaryPhase:
		return e.canaryFailed(now, q, o)
	case st.inFlight > 0:
		return nil // a hedge is in flight
	}
	b := batches{}
	if e.retry(now, q, a, o, &b) {
		return b.actions()
	}
	if wait, again := e.retryWait(now, q, st, o); again {
		st.retryAt = now + wait
		return nil
	}
	if o.Reason == query.ReasonSnapshot || o.Reason == query.ReasonNoReplica {
		if out, ok := e.repin(now, q); ok {
			return out
		}
	}
	e.settle(now, q, a.shard, st.lastReason)
	return e.answerIfComplete(now, q)
}

// retry calls the same leaf through its other candidate, or another replica. It
// reports false, and adds no call, if the time or the attempts are used up, no replica
// is left, or the outcome is not NotRun and the budget is empty.
func (e *Engine) retry(now clock.Milli, q *activeQuery, a *attempt, o query.Outcome, b *batches) bool {
	st := &q.shards[a.shard]
	if now >= q.answerBy || st.attempts >= maxAttempts+e.Policy.ExtraAttempts {
		return false
	}
	if c, ok := e.otherAggregator(now, q, a, o); ok {
		e.addCall(now, q, a.shard, c, false /* canary */, EventRetried, b)
		return true
	}
	list := e.candidates(now, q, a.shard)
	if len(list) == 0 {
		return false
	}
	// A call that ended as NotRun took no work of a leaf, so a retry is free; all other
	// retries draw on the budget.
	if o.Kind != query.NotRun && !e.spendBudget(q.service) {
		q.addStep(now, Step{Event: EventHeldByBudget, Shard: a.shard, Cause: o.Reason})
		st.lastReason = o.Reason
		return false
	}
	e.addCall(now, q, a.shard, e.choose(list), false /* canary */, EventRetried, b)
	return true
}

// otherAggregator returns the call's leaf through its other candidate, if the call's
// aggregator rejected it for reasons of its own, such as no longer owning the server. It
// adds that aggregator to the shard's rejectedBy, whose aggregators it doesn't choose.
func (e *Engine) otherAggregator(now clock.Milli, q *activeQuery, a *attempt, o query.Outcome) (candidate, bool) {
	if o.Kind != query.NotRun {
		return candidate{}, false
	}
	switch o.Reason {
	case query.ReasonNotOwner, query.ReasonLeaving, query.ReasonSuspended, query.ReasonCold, query.ReasonBusy:
	default:
		return candidate{}, false
	}
	st := &q.shards[a.shard]
	if st.rejectedBy == nil {
		st.rejectedBy = map[string]bool{}
	}
	st.rejectedBy[a.host] = true
	return e.candidateFor(now, a.leaf, st.rejectedBy)
}

// spendBudget takes one extra call from the budget and reports whether it may be
// made. If Policy.ExtraAttempts is set, there is no budget.
func (e *Engine) spendBudget(s *service) bool {
	return e.Policy.ExtraAttempts > 0 || s.budget.spend(1)
}

// retryWait returns how long to wait before a shard is retried, and whether to
// retry at all: only if nothing ran, the cause is brief, and the wait ends before the
// query must be answered. It counts the wait. All services wait for a leaf that changes
// owner or warms up, and for an aggregator that was paused or whose link is busy; only
// services that favor coverage, with a Patience of 100, wait for a full leaf.
func (e *Engine) retryWait(now clock.Milli, q *activeQuery, st *shardState, o query.Outcome) (clock.Milli, bool) {
	if o.Kind != query.NotRun || st.waits >= maxWaits {
		return 0, false
	}
	switch o.Reason {
	case query.ReasonCold, query.ReasonSuspended, query.ReasonNotOwner, query.ReasonLeaving, query.ReasonBusy:
	case query.ReasonQueueFull:
		if q.service.Patience < 100 {
			return 0, false
		}
	default:
		return 0, false
	}
	wait := max(minRetryWait, min(o.RetryAfter, maxRetryWait))
	if now+wait >= q.answerBy {
		return 0, false
	}
	st.waits++
	return wait, true
}

// Bounds of retryWait.
const (
	minRetryWait clock.Milli = 10
	maxRetryWait clock.Milli = 50
)

// repin restarts a query on the snapshot that is now best, if its own is no longer held.
// Its results are discarded, since an answer uses a single snapshot. It reports false if
// there is no other snapshot, the query was pinned again before, more than half of its
// time has passed, or the budget doesn't cover the calls to repeat.
func (e *Engine) repin(now clock.Milli, q *activeQuery) ([]Action, bool) {
	q.service.dirty = true
	pin, ok := e.choosePin(q.service)
	late := now-q.arrived > (q.answerBy-q.arrived)/2
	if !ok || pin == q.pin || q.pinCount > 1 || late {
		return nil, false
	}
	// At most a full budget is spent, so that a query over more shards can start over too.
	if !q.service.budget.spend(min(budgetBurst, float64(q.firstCalls))) {
		return nil, false
	}
	out := e.cancelAll(q)
	q.addStep(now, Step{Event: EventRepinned, Cause: query.Reason(pin.String())})
	q.pinTo(pin, len(q.service.shards[pin.Layout]))
	return append(out, e.fanOut(now, q)...), true
}
