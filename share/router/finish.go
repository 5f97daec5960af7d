package router

import (
	"fmt"

	"dandelionstile/share/clock"
)

// checkQuery handles a query's timer: it hedges slow shards, answers with the
// available shards, or gives up.
func (e *Engine) checkQuery(now clock.Milli, q *query) {
	q.timerAt = 0
	if now >= q.target && e.sufficient(q) {
		e.answer(now, q)
		return
	}
	if now >= q.deadline {
		e.refuse(now, q, Late, "deadline exceeded")
		return
	}
	if e.queueTimedOut(now, q) {
		e.refuse(now, q, NoCapacity, "no leaf had capacity")
		return
	}
	e.recordMissedTarget(now, q)
	e.hedgeSlow(now, q)
	e.tryFinish(now, q)
	if !q.ended {
		e.schedule(now, q)
	}
}

// recordMissedTarget records in the limiter, once, that a query missed its target.
func (e *Engine) recordMissedTarget(now clock.Milli, q *query) {
	if !q.counted || q.targetMissed || now < q.target {
		return
	}
	q.targetMissed = true
	e.feedLimiter(now, false)
}

// feedLimiter feeds a query's outcome to the limiter, and logs when the limit is
// set or lifted.
func (e *Engine) feedLimiter(now clock.Milli, inTime bool) {
	l := &e.limiter
	wasActive := l.Active()
	if inTime {
		l.RecordOnTime()
	} else {
		l.RecordLate(now)
	}
	if l.Active() == wasActive {
		return
	}
	kind := LogLimitLifted
	if l.Active() {
		kind = LogLimitSet
	}
	e.emit(LogRecord{
		Kind: kind, Cause: fmt.Sprintf("%.0f of 100 recent answers were late", 100*l.LateRatio()),
		Count: l.InFlight, Total: int(l.Limit()),
	})
}

// schedule sets a query's timer to the first of its deadline, its target, the hedges of
// its shards and, if no leaf has been called, the end of its time in the queue. What is due
// already is checked in 1 ms: a timer at now would run again at once, without end.
func (e *Engine) schedule(now clock.Milli, q *query) {
	due := q.deadline
	if q.target > now {
		due = min(due, q.target)
	}
	for _, s := range q.shards {
		if s.settled() || s.queued || s.forward != nil {
			continue
		}
		due = min(due, max(s.hedgeAt, now+1))
	}
	if !q.maybeRan && q.unsent() {
		due = min(due, max(e.queueDeadline(q), now+1))
	}
	e.setTimer(q, due)
}

// unsent reports whether no leaf has been called from here and no forward is in flight. A
// query whose forwards have all ended without a call from here counts as unsent again.
func (q *query) unsent() bool {
	for _, s := range q.shards {
		if len(s.calls) > 0 || s.forward != nil {
			return false
		}
	}
	return true
}

// queueDeadline returns when a request that is still unsent is refused.
func (e *Engine) queueDeadline(q *query) clock.Milli {
	return q.arrived + clock.Milli(e.Policy.MaxWaitShare*float64(q.route.Target))
}

// queueTimedOut reports whether a request has waited too long for its first leaf. Parts
// of another host's query don't time out: they are answered with the shards available in
// time, while after a refusal that host would call the same leaves again.
func (e *Engine) queueTimedOut(now clock.Milli, q *query) bool {
	return !q.forwarded && q.unsent() && now >= e.queueDeadline(q)
}

// sufficient reports whether a query can be answered with the shards answered so far. A
// part of another host's query over shards can be answered with any number of them.
func (e *Engine) sufficient(q *query) bool {
	if !q.route.Sharded() {
		return q.answered == 1
	}
	if q.forwarded {
		return true
	}
	return q.answered >= q.route.MinShards()
}

// tryFinish answers a query that has enough of its shards, if nothing more is done for the
// others, if its target has passed, or, unless it is a part of another host's query, if it is
// late and the limiter is active. It refuses a query that can't get enough. Otherwise the
// query continues.
func (e *Engine) tryFinish(now clock.Milli, q *query) {
	if q.ended {
		return
	}
	pending := len(q.shards) - q.answered - q.abandoned
	switch {
	case pending == 0 && e.sufficient(q):
		e.answer(now, q)
	case (now >= q.target || q.late && !q.forwarded && e.limiter.Active()) && e.sufficient(q):
		// While the limiter refuses queries, the last shards of a late query aren't
		// worth their load.
		e.answer(now, q)
	case !q.route.Sharded() && q.abandoned == 1, q.route.Sharded() && !q.forwarded && q.answered+pending < q.route.MinShards():
		e.refuse(now, q, e.failureReason(q), "too few shards can still answer")
	}
}

// failureReason returns NoLeaf for a request that no leaf has run, and Failed for one that
// may have run.
func (e *Engine) failureReason(q *query) Refusal {
	if q.mayHaveRun() {
		return Failed
	}
	return NoLeaf
}

// mayHaveRun reports whether a leaf may have begun to run the request.
func (q *query) mayHaveRun() bool {
	if q.maybeRan {
		return true
	}
	for _, s := range q.shards {
		if s.pending() > 0 {
			return true
		}
	}
	return false
}

// answer answers a query with the shards answered so far, and closes it.
func (e *Engine) answer(now clock.Milli, q *query) {
	record := LogRecord{
		Kind: LogAnswered, Request: q.request.ID, Query: q.id, Route: q.route.Name, Version: q.version,
		Took: now - q.arrived, Count: q.answered, Total: len(q.shards), Extra: q.extraCalls, Forwarded: q.forwarded,
	}
	record.Late = q.late || now > q.target+e.Policy.Margin
	a := Answer{Query: q.id}
	if q.route.Sharded() {
		a.Merged = &Merged{Parts: q.parts(), Missing: q.missingServices(), TopK: q.route.TopK, Version: q.version}
		if q.answered < len(q.shards) {
			record.Kind = LogPartial
			record.Missing = q.missingShards()
		}
	} else {
		a.Reply = q.shards[0].reply
		record.Service, record.Leaf = q.shards[0].service, q.shards[0].lastTarget
		record.Cause = ""
	}
	if record.Late && record.Service == "" && q.lastAnswered != nil {
		// The answer waited for this shard.
		record.Service, record.Leaf = q.lastAnswered.service, q.lastAnswered.lastTarget
	}
	if q.counted && !q.targetMissed {
		e.feedLimiter(now, true)
	}
	e.emit(a)
	e.emit(record)
	e.closeQuery(now, q)
}

// refuse answers a request with a refusal, and closes it. If the time is up and no leaf
// can have run the request, the reason becomes NoCapacity: its caller may retry.
func (e *Engine) refuse(now clock.Milli, q *query, reason Refusal, cause string) {
	if reason == Late && !q.mayHaveRun() {
		reason = NoCapacity
	}
	record := LogRecord{
		Kind: LogRefused, Request: q.request.ID, Query: q.id, Version: q.version,
		Cause: reason.String() + ": " + cause, Refusal: reason, Took: now - q.arrived, Count: q.answered, Total: len(q.shards), Extra: q.extraCalls,
		Missing: q.missingShards(), Forwarded: q.forwarded,
	}
	if q.route != nil {
		record.Route = q.route.Name
	}
	e.emit(Answer{Query: q.id, Refusal: reason, RetryAfter: e.retryAfter(now, q, reason)})
	e.emit(record)
	e.closeQuery(now, q)
}

// Durations after which callers should retry, in ms.
const (
	// retryNoConfig applies to a host that has had time to receive its configuration
	// but has none, since it reaches no host with a configuration. It applies to Stale
	// too.
	retryNoConfig clock.Milli = 500
	// retryStarting applies to a host that has just started and receives its
	// configuration shortly: well within callers' usual targets.
	retryStarting clock.Milli = 120
	// startupWindow is how long a host counts as just started.
	startupWindow = clock.Second
	// retryNoLeaf is about the time until a leaf is available again.
	retryNoLeaf clock.Milli = 300
	// retryNoCapacity is about one and a half targets: queries in flight have ended
	// by then, so that the retries don't meet the same overload.
	retryNoCapacity clock.Milli = 300
	// retryHarmful is long: the request remains refused.
	retryHarmful = 60 * clock.Second
	// retrySpreadMs is the width over which retries are spread, so that callers
	// refused together don't retry together.
	retrySpreadMs = 200
)

// retryAfter returns how long a refused caller should wait before it retries. That is only
// the spread for NoRoute and Late, and for Failed unless another host lacked capacity.
func (e *Engine) retryAfter(now clock.Milli, q *query, reason Refusal) clock.Milli {
	// Multiples of the golden ratio spread consecutive requests evenly, without
	// randomness.
	spread := clock.Milli(q.id*618%1000) * retrySpreadMs / 1000
	if q.peerFull && (reason == Failed || reason == NoLeaf) {
		// The refusal stems from the other host's lack of capacity.
		return retryNoCapacity + spread
	}
	switch reason {
	case NoConfig:
		if now < e.startedAt+startupWindow {
			// Half the spread: the retry should come within a usual target.
			return retryStarting + spread/2
		}
		return retryNoConfig + spread
	case Stale:
		return retryNoConfig + spread
	case NoLeaf:
		return retryNoLeaf + spread
	case NoCapacity:
		return retryNoCapacity + spread
	case Harmful:
		return retryHarmful
	}
	return spread
}

// closeQuery removes a request, also from the limiter's count, and orphans its calls and
// forwards in flight.
func (e *Engine) closeQuery(now clock.Milli, q *query) {
	q.ended = true
	delete(e.queries, q.id)
	if q.counted {
		e.limiter.InFlight--
	}
	for _, s := range q.shards {
		e.orphanCalls(now, s)
		if s.forward != nil {
			e.orphanForward(now, s.forward)
		}
	}
}
