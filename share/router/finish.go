package router

import (
	"fmt"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
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
		e.refuse(now, q, Late, "time is up")
		return
	}
	if e.queueTimedOut(now, q) {
		e.refuse(now, q, NoCapacity, "no leaf had room")
		return
	}
	e.recordMiss(now, q)
	e.hedgeSlow(now, q)
	e.settle(now, q)
	if !q.over {
		e.schedule(now, q)
	}
}

// recordMiss records once in the limiter that a query missed its target.
func (e *Engine) recordMiss(now clock.Milli, q *query) {
	if !q.counted || q.missed || now < q.target {
		return
	}
	q.missed = true
	e.recordOutcome(now, false)
}

// recordOutcome feeds a query's outcome to the limiter, and logs when the limit is
// set or lifted.
func (e *Engine) recordOutcome(now clock.Milli, inTime bool) {
	l := &e.limiter
	was := l.Active()
	if inTime {
		l.RecordOnTime()
	} else {
		l.RecordLate(now)
	}
	if l.Active() == was {
		return
	}
	kind := NoteLimitLifted
	if l.Active() {
		kind = NoteLimitSet
	}
	e.do(Note{
		Kind: kind, Cause: fmt.Sprintf("%.0f of 100 answers came too late of late", 100*l.LateRatio()),
		Count: l.InFlight, Total: int(l.Limit()),
	})
}

// schedule sets a query's next timer.
func (e *Engine) schedule(now clock.Milli, q *query) {
	at := q.deadline
	if q.target > now {
		at = min(at, q.target)
	}
	for _, s := range q.shards {
		if s.settled() || s.queued || s.forward != nil {
			continue
		}
		at = min(at, max(s.hedgeAt, now+1))
	}
	if !q.ran && q.unsent() {
		at = min(at, max(e.queueDeadline(q), now+1))
	}
	e.setTimer(q, at)
}

// unsent reports whether no leaf has been called yet.
func (q *query) unsent() bool {
	for _, s := range q.shards {
		if len(s.calls) > 0 || s.forward != nil {
			return false
		}
	}
	return true
}

// queueDeadline returns when a request that got no leaf is refused.
func (e *Engine) queueDeadline(q *query) clock.Milli {
	return q.arrived + clock.Milli(e.Policy.MaxWaitShare*float64(q.route.Target))
}

// queueTimedOut reports whether a request that got no leaf is refused. Parts of
// another host's query are not: they are answered with the shards available in time,
// while a refusal would have the same leaves called once more.
func (e *Engine) queueTimedOut(now clock.Milli, q *query) bool {
	return !q.forwarded && q.unsent() && now >= e.queueDeadline(q)
}

// sufficient reports whether the answered shards make an answer.
func (e *Engine) sufficient(q *query) bool {
	if !q.route.Sharded() {
		return q.answered == 1
	}
	if q.forwarded {
		return true
	}
	return q.answered >= q.route.MinShards()
}

// settle ends a query that has nothing left to wait for.
func (e *Engine) settle(now clock.Milli, q *query) {
	if q.over {
		return
	}
	open := len(q.shards) - q.answered - q.lost
	switch {
	case open == 0 && e.sufficient(q):
		e.answer(now, q)
	case (now >= q.target || q.late && !q.forwarded && e.limiter.Active()) && e.sufficient(q):
		// While the limiter refuses queries, the last shards of a late query aren't
		// worth their load.
		e.answer(now, q)
	case !q.route.Sharded() && q.lost == 1, q.route.Sharded() && !q.forwarded && q.answered+open < q.route.MinShards():
		e.refuse(now, q, e.failureReason(q), "too few shards can still answer")
	}
}

// failureReason distinguishes a request that no leaf has run from one that may have
// run.
func (e *Engine) failureReason(q *query) Refusal {
	if q.mayHaveRun() {
		return Failed
	}
	return NoLeaf
}

// mayHaveRun reports whether a leaf may have begun to run the request.
func (q *query) mayHaveRun() bool {
	if q.ran {
		return true
	}
	for _, s := range q.shards {
		if s.pending() > 0 {
			return true
		}
	}
	return false
}

func (e *Engine) answer(now clock.Milli, q *query) {
	n := Note{
		Kind: NoteAnswered, Request: q.request.ID, Query: q.id, Route: q.route.Name, Version: q.version,
		Took: now - q.arrived, Count: q.answered, Total: len(q.shards), Extra: q.extraCalls, Forwarded: q.forwarded,
	}
	n.Late = q.late || now > q.target+e.Policy.Margin
	a := Answer{Query: q.id}
	if q.route.Sharded() {
		a.Merged = &Merged{Parts: q.parts(), Missing: q.missingServices(), TopK: q.route.TopK}
		if q.answered < len(q.shards) {
			n.Kind = NotePartial
			n.Missing = q.missing()
		}
	} else {
		a.Reply = q.shards[0].reply
		n.Service, n.Leaf = q.shards[0].service, q.shards[0].lastTarget
		n.Cause = ""
	}
	if n.Late && n.Service == "" && q.lastAnswered != nil {
		n.Service, n.Leaf = q.lastAnswered.service, q.lastAnswered.lastTarget
	}
	if q.counted && !q.missed {
		e.recordOutcome(now, true)
	}
	e.do(a)
	e.do(n)
	e.close(now, q)
}

// refuse ends a request without a leaf's reply.
func (e *Engine) refuse(now clock.Milli, q *query, reason Refusal, cause string) {
	if reason == Late && !q.mayHaveRun() {
		reason = NoCapacity
	}
	n := Note{
		Kind: NoteRefused, Request: q.request.ID, Query: q.id, Version: q.version,
		Cause: reason.String() + ": " + cause, Refusal: reason, Took: now - q.arrived, Count: q.answered, Total: len(q.shards), Extra: q.extraCalls,
		Missing: q.missing(), Forwarded: q.forwarded,
	}
	if q.route != nil {
		n.Route = q.route.Name
	}
	e.do(Answer{Query: q.id, Refusal: reason, RetryAfter: e.retryAfter(now, q, reason)})
	e.do(n)
	e.close(now, q)
}

// Times after which callers should retry, in ms.
const (
	// retryNoConfig applies to a host that has had time to receive its
	// configuration and has not: it reaches no host that has one.
	retryNoConfig clock.Milli = 500
	// retryStarting applies to a host that has just started and receives its
	// configuration shortly: well within callers' usual targets.
	retryStarting clock.Milli = 120
	// startupWindow is how long a host counts as just started.
	startupWindow = clock.Second
	// retryNoLeaf is about the time until a leaf is seen again.
	retryNoLeaf clock.Milli = 300
	// retryNoRoom is about one and a half targets: queries in flight have ended
	// by then, so that the retries don't meet the same overload.
	retryNoRoom clock.Milli = 300
	// retrySpreadMs is the width over which retries are spread, so that callers
	// refused together don't retry together.
	retrySpreadMs = 200
)

// retryAfter returns when a refused caller should retry.
func (e *Engine) retryAfter(now clock.Milli, q *query, reason Refusal) clock.Milli {
	// Multiples of the golden ratio spread consecutive requests evenly, without
	// randomness.
	spread := clock.Milli(q.id*618%1000) * retrySpreadMs / 1000
	if q.peerFull && (reason == Failed || reason == NoLeaf) {
		return retryNoRoom + spread
	}
	switch reason {
	case NoConfig:
		if now < e.startedAt+startupWindow {
			return retryStarting + spread/2
		}
		return retryNoConfig + spread
	case Stale:
		return retryNoConfig + spread
	case NoLeaf:
		return retryNoLeaf + spread
	case NoCapacity:
		return retryNoRoom + spread
	case Harmful:
		return crash.ReportTTL
	}
	return spread
}

// close removes a request and orphans its remaining calls.
func (e *Engine) close(now clock.Milli, q *query) {
	q.over = true
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
