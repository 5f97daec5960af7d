package router

import (
	"container/heap"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/topk"
)

// Each shard of a query that has no leaf in this host's failure domain would need a call
// to another domain or region. Such shards are forwarded together to a host there, which
// calls the leaves over short round trips and returns one merged answer, instead of a
// request and a reply for each shard over links that are billed by the byte.

// forward is a part of a query that is forwarded to another host.
type forward struct {
	id       uint64
	query    *query
	peer     *peer
	shards   []*shard
	sent     clock.Milli
	orphaned bool
	ended    bool
}

// lateTargets is the time, in targets of the route, that another host may take for parts
// of a late query. With one target, that host returned the shards available by then, and
// queries that lacked a few shards failed as a whole.
const lateTargets = 3

// forward sends shards of a query to another host.
func (e *Engine) forward(now clock.Milli, q *query, p *peer, group []*shard) {
	e.lastCall++
	fwd := &forward{id: e.lastCall, query: q, peer: p, shards: group, sent: now}
	e.forwards[fwd.id] = fwd
	p.inFlight = append(p.inFlight, fwd)
	names := make([]string, len(group))
	for i, s := range group {
		s.forward = fwd
		s.possibleRuns++
		s.sentAt = now
		s.lastTarget = p.Address
		names[i] = s.service
	}
	due := q.target
	if q.late {
		due = min(now+lateTargets*q.route.Target, q.deadline)
	}
	e.emit(Forward{
		Call: fwd.id, Request: q.request, Address: p.Address, Version: q.version, Shards: names,
		Target: due - now - clock.Milli(e.roundTrip(p)), Timeout: q.deadline - now, Late: q.late,
	})
	e.emit(LogRecord{Kind: LogForwarded, Request: q.request.ID, Query: q.id, Leaf: p.Address, Version: q.version, Total: len(group)})
}

// endForward handles the end of a forward. It merges an answer; the shards of a forward
// that failed are called from this host or abandoned. An orphaned forward only updates the
// state of its host.
func (e *Engine) endForward(now clock.Milli, fwd *forward, d CallDone) {
	delete(e.forwards, fwd.id)
	fwd.ended = true
	p, q := fwd.peer, fwd.query
	for i, other := range p.inFlight {
		if other == fwd {
			p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
			break
		}
	}
	e.recordForward(now, fwd, d)
	if fwd.orphaned {
		return
	}
	for _, s := range fwd.shards {
		s.forward = nil
	}
	switch {
	case d.Kind == call.Answered && d.Reply.Successful():
		e.mergeAnswer(now, fwd, d.Reply)
	case d.Refusal == NoCapacity:
		// That host has just found its leaves full, so they are not called from
		// here either.
		e.logForwardFailed(now, fwd, d)
		q.peerFull = true
		for _, s := range fwd.shards {
			s.possibleRuns--
			e.abandon(s, "the other host has no capacity")
		}
	case d.Refusal == Harmful:
		// The leaves would crash under it here as well.
		e.logForwardFailed(now, fwd, d)
		for _, s := range fwd.shards {
			s.possibleRuns--
			e.abandon(s, "leaves crashed while running it, as the other host knows")
		}
	case d.Kind.NotRun():
		e.logForwardFailed(now, fwd, d)
		for _, s := range fwd.shards {
			s.possibleRuns--
			// This host now makes the first call, so it earns the budget.
			e.services[s.service].budget.Earn()
			e.dispatch(now, s)
		}
	default:
		q.maybeRan = true
		e.logForwardFailed(now, fwd, d)
		e.fallBack(now, fwd, d)
	}
	e.tryFinish(now, q)
	if !q.ended {
		e.schedule(now, q)
	}
}

// holdsGreatest reports whether another host's merged answer holds all records of its parts that
// can be among the greatest of the query. Hosts of the previous release merge by their own
// configuration, which may keep fewer records, and send no version.
func (q *query) holdsGreatest(reply *call.Reply) bool {
	return reply.Version == q.version || len(reply.Body)/topk.RecordSize >= q.route.TopK
}

// mergeAnswer applies another host's answer to the shards of a forward. Shards that the
// answer lacks, all of them if it may lack records, are retried from here as far as the query
// needs them and the budget lasts, or abandoned.
func (e *Engine) mergeAnswer(now clock.Milli, fwd *forward, reply *call.Reply) {
	q := fwd.query
	q.maybeRan = true
	usable, cause := q.holdsGreatest(reply), "the other host had no reply in time"
	if !usable {
		cause = "the other host may have left out records"
	}
	if reply.Stamp != "" { // the answer contains a leaf's reply
		e.markProven(now, q)
		if usable {
			q.peerAnswers = append(q.peerAnswers, reply)
		}
	}
	missing := make(map[string]bool, len(reply.Missing))
	for _, name := range reply.Missing {
		missing[name] = true
	}
	var lacking []*shard
	for _, s := range fwd.shards {
		if !usable || missing[s.service] {
			lacking = append(lacking, s)
			continue
		}
		s.answered = true
		q.answered++
		q.lastAnswered = s
	}
	pending := len(q.shards) - q.answered - q.abandoned - len(lacking)
	need := q.route.MinShards() - q.answered - pending
	for _, s := range lacking {
		s.cause = cause
		if need > 0 && e.retryLocally(now, s) {
			need--
			continue
		}
		e.abandon(s, s.cause)
	}
}

// retryLocally calls a leaf from this host for a shard that another host got no reply
// for, if the budget has a token, and reports whether the shard can still be answered.
// Without that call, a query that lacks a few shards at its target would fail, and its
// caller would retry all shards.
func (e *Engine) retryLocally(now clock.Milli, s *shard) bool {
	if !e.canCall(s, false) || !e.services[s.service].budget.Spend() {
		return false
	}
	s.query.extraCalls++
	e.dispatch(now, s)
	return !s.abandoned
}

// fallBack calls leaves from this host for the shards of a failed forward, or abandons
// them. The other host may have called one leaf for each shard. If it failed before it
// can have hedged, it hasn't called a second one, and one more call stays within the
// route's attempts.
func (e *Engine) fallBack(now clock.Milli, fwd *forward, d CallDone) {
	early := now-fwd.sent < clock.Milli(e.roundTrip(fwd.peer))+minHedgeDelay
	for _, s := range fwd.shards {
		if early && e.retryLocally(now, s) {
			continue
		}
		e.abandon(s, "the host it was forwarded to failed: "+d.Kind.String())
	}
}

func (e *Engine) logForwardFailed(now clock.Milli, fwd *forward, d CallDone) {
	e.emit(LogRecord{
		Kind: LogForwardFailed, Request: fwd.query.request.ID, Query: fwd.query.id, Leaf: fwd.peer.Address,
		Cause: d.Kind.String() + ": " + d.Cause, Took: now - fwd.sent, Total: len(fwd.shards),
	})
}

// forwardOrphanGrace is how long an orphaned forward may still run: its answer is due
// at about the time when the query was answered without it.
const forwardOrphanGrace clock.Milli = 150

// orphanForward lets a forward that is no longer needed run for forwardOrphanGrace before it is
// cancelled.
func (e *Engine) orphanForward(now clock.Milli, fwd *forward) {
	if fwd.orphaned || fwd.ended {
		return
	}
	fwd.orphaned = true
	heap.Push(&e.timers, timer{at: now + forwardOrphanGrace, forward: fwd})
}
