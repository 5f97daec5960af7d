package router

import (
	"container/heap"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
)

// handleCallDone handles the end of a call to a leaf or to another host.
func (e *Engine) handleCallDone(now clock.Milli, d CallDone) {
	if fwd := e.forwards[d.Call]; fwd != nil {
		e.endForward(now, fwd, d)
		return
	}
	a := e.calls[d.Call]
	if a == nil {
		return
	}
	delete(e.calls, a.id)
	a.ended = true
	f, s := a.leaf, a.shard
	svc := e.service(f.Service)
	f.removeCall(a)
	e.emit(CountCall{Service: f.Service, Domain: f.Domain, Kind: d.Kind, Took: now - a.sent})
	e.observeCall(now, a, d)
	f.calledAt = now
	e.reportLeaf(now, f)
	if !a.orphaned {
		e.applyResult(now, a, d)
		e.tryFinish(now, s.query)
		if !s.query.ended {
			e.schedule(now, s.query)
		}
	}
	e.dispatchWaiting(now, svc)
}

// observeCall updates a leaf's statistics and health with the outcome of a call. If the call
// may have ended with a crash of the leaf, it also checks or reports that.
func (e *Engine) observeCall(now clock.Milli, a *attempt, d CallDone) {
	f := a.leaf
	took := float64(now - a.sent)
	switch {
	case d.Kind == call.Answered && d.Reply.Successful():
		f.observe(now, took)
		e.regions[f.region].observe(took)
		e.markProven(now, a.shard.query)
		if f.recordReply(now) {
			e.emit(LogRecord{Kind: LogLeafHealthy, Leaf: f.ID, Service: f.Service, Cause: "call succeeded", Took: now - a.sent})
		}
	case d.Kind == call.Answered, d.Kind == call.Shed:
		// The call failed, but the leaf is alive.
		f.updateFailureRatio(now, 1)
		f.failedInRow = 0
	case d.Kind == call.Cancelled:
		// A cancelled call's reply would have taken even longer.
		if took > f.latency {
			f.observe(now, took)
		}
		if took > f.expected(now, e.typicalLatency(f))+hedgeDeviations*f.deviation+stallSlackMs {
			e.recordFailedCall(now, f, unhealthyAfter, "no reply", now-a.sent)
		}
	case d.Kind == call.Foreign:
		e.recordFailedCall(now, f, unhealthyAtOnce, "address belongs to another leaf", now-a.sent)
	case d.Kind == call.Withdrawn:
		if took > openSlackMs+openLatencies*e.minLatency(f) {
			e.recordFailedCall(now, f, unhealthyAtOnce, "no connection yet", now-a.sent)
		}
	case d.Kind == call.Full:
		// The leaf is alive and at its connection limit.
		f.updateFailureRatio(now, 1)
		f.failedInRow = 0
	case d.Kind == call.NotSent:
		e.reportCrash(now, f)
		e.recordFailedCall(now, f, unhealthyAtOnce, d.Cause, now-a.sent)
	default:
		e.crashes.RecordBroken(now, f.ID, a.shard.query.fingerprint)
		e.checkConn(now, f)
		e.recordFailedCall(now, f, brokenAfter, d.Cause, now-a.sent)
	}
}

// markProven records once per query that a leaf has answered its request, which
// clears the request of crash reports, here and on the other hosts.
func (e *Engine) markProven(now clock.Milli, q *query) {
	if !q.proven {
		q.proven = true
		e.recordAnswer(now, q.fingerprint)
	}
}

// A connection is open after one round trip. A call that was cancelled before that is
// a failure of its leaf only after one and a half times the minimum latency of the leaf's
// region, which includes one round trip, plus the delay at a busy host.
const (
	openLatencies = 1.5
	openSlackMs   = 40.0
)

// recordFailedCall records a call without a proper reply, and logs the leaf if it became
// unhealthy. The threshold is that of recordFailure.
func (e *Engine) recordFailedCall(now clock.Milli, f *leaf, threshold int, cause string, elapsed clock.Milli) {
	if f.recordFailure(now, threshold) && !f.removed {
		e.emit(LogRecord{Kind: LogLeafUnhealthy, Leaf: f.ID, Service: f.Service, Cause: cause, Took: elapsed})
	}
}

// applyResult applies the end of a call to its shard: the shard is answered, waits for
// its other calls, is sent to another leaf or queued, or is abandoned. A shard that is settled
// already is left as it is.
func (e *Engine) applyResult(now clock.Milli, a *attempt, d CallDone) {
	s := a.shard
	q := s.query
	if !d.Kind.NotRun() {
		q.maybeRan = true
	} else {
		s.possibleRuns-- // send counted the call
	}
	if s.settled() {
		return
	}
	if d.Kind == call.Answered && e.acceptsReply(now, q, d.Reply) {
		s.reply = d.Reply
		s.answered = true
		q.answered++
		q.lastAnswered = s
		e.orphanCalls(now, s)
		return
	}
	s.cause = d.Kind.String()
	if d.Cause != "" {
		s.cause += ": " + d.Cause
	}
	if d.Reply != nil && d.Kind == call.Answered {
		s.cause = "leaf failed"
	}
	if s.pending() > 0 {
		return
	}
	// Of a request that isn't idempotent, a shard is called again only after a call that
	// didn't run it, so that the last call's outcome holds for all of them.
	if !e.canCall(s, d.Kind.NotRun()) {
		e.abandon(s, "no attempt is left")
		return
	}
	if d.Kind.Unsent() {
		// A request that never left this host cost no leaf anything, so another call
		// isn't charged to the budget.
		e.dispatch(now, s)
		return
	}
	s.hedgeAt = now
	e.hedge(now, s)
	e.abandonHopeless(now, s)
}

// canCall reports whether one more leaf may be called for a shard: the route's attempts
// are not used up by calls that may have run the request, there are not yet maxRejectedCalls
// more calls than attempts, and the route is idempotent or notRun is set. notRun states that
// no call of the shard is in flight or may have run the request.
func (e *Engine) canCall(s *shard, notRun bool) bool {
	q := s.query
	return (q.route.Idempotent || notRun) && s.possibleRuns < q.route.Attempts && len(s.calls) < q.route.Attempts+maxRejectedCalls
}

// acceptsReply reports whether a shard is answered by a reply. An unsuccessful reply is never
// a part of a merged answer. As the reply to a request for one leaf it is returned to the
// caller, but if its status is 500 or more only if no other leaf can be called.
func (e *Engine) acceptsReply(now clock.Milli, q *query, r *call.Reply) bool {
	if r.Successful() {
		return true
	}
	if q.route.Sharded() {
		return false
	}
	serverFault := r.Status >= 500
	return !serverFault || !e.canRetry(now, q.shards[0])
}

// canRetry reports whether another leaf can run the request in place of one that
// failed: a call is allowed, the deadline hasn't passed, the budget has a token, and a leaf
// has capacity.
func (e *Engine) canRetry(now clock.Milli, s *shard) bool {
	return e.canCall(s, false) && now < s.query.deadline && e.services[s.service].budget.Tokens >= 1 && e.selectLeaf(now, s, false /* allowProbe */).leaf != nil
}

// maxRejectedCalls bounds the calls for one shard beyond the route's attempts, which calls
// that didn't run the request allow: a service without capacity is not tried at every leaf.
const maxRejectedCalls = 3

// logWithheld logs once per query that a hedge or retry was not made, and marks the query.
func (e *Engine) logWithheld(now clock.Milli, s *shard, cause string) {
	if s.query.withheld {
		return
	}
	s.query.withheld = true
	e.emit(LogRecord{
		Kind: LogWithheld, Request: s.query.request.ID, Query: s.query.id, Service: s.service, Leaf: s.lastTarget,
		Cause: cause, Took: now - s.query.arrived, BudgetLeft: e.services[s.service].budget.Tokens,
	})
}

// orphanCalls orphans the shard's calls in flight.
func (e *Engine) orphanCalls(now clock.Milli, s *shard) {
	for _, a := range s.calls {
		if !a.ended && !a.orphaned {
			e.orphan(now, a)
		}
	}
}

// orphanGrace is how long an orphaned call may still run before its connection is
// closed: most calls end within it, and a new connection would occupy one of the
// leaf's slots for longer than the rest of the call.
const orphanGrace clock.Milli = 60

// orphan lets a call that is no longer needed run for orphanGrace before it is cancelled.
func (e *Engine) orphan(now clock.Milli, a *attempt) {
	a.orphaned = true
	heap.Push(&e.timers, timer{at: now + orphanGrace, call: a})
}

// cancelOrphan closes the connection of an orphaned call that is still in flight.
func (e *Engine) cancelOrphan(a *attempt) {
	if a.ended {
		return
	}
	e.emit(Cancel{Call: a.id})
}
