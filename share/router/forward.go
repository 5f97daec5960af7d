package router

import (
	"container/heap"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
)

// Each shard of a query that has no leaf in this host's failure domain would cross to
// another domain or region. Such shards are forwarded together to a host there, which
// calls the leaves over short round trips and returns one merged answer, instead of a
// request and a reply for each shard over links that are billed by the byte.

// forward is a part of a query that is forwarded to another host.
type forward struct {
	id     uint64
	query  *query
	peer   *peer
	shards []*shard
	sent   clock.Milli
	orphan bool
	over   bool
}

// lateTargets is the number of targets that another host may take for parts of a
// late query. With one, it returned the shards available by then, and queries that
// lacked a few shards failed as a whole.
const lateTargets = 3

// forward sends shards of a query to another host.
func (e *Engine) forward(now clock.Milli, q *query, p *peer, group []*shard) {
	e.lastCall++
	r := &forward{id: e.lastCall, query: q, peer: p, shards: group, sent: now}
	e.forwards[r.id] = r
	p.inFlight = append(p.inFlight, r)
	names := make([]string, len(group))
	for i, s := range group {
		s.forward = r
		s.tries++
		s.sentAt = now
		s.lastTarget = p.Address
		names[i] = s.service
	}
	due := q.target
	if q.late {
		due = min(now+lateTargets*q.route.Target, q.deadline)
	}
	e.do(Forward{
		Call: r.id, Request: q.request, Address: p.Address, Version: q.version, Shards: names,
		Target: due - now - clock.Milli(e.roundTrip(p)), Timeout: q.deadline - now, Late: q.late,
	})
	e.do(Note{Kind: NoteForwarded, Request: q.request.ID, Query: q.id, Leaf: p.Address, Version: q.version, Total: len(group)})
}

// forwardDone handles the end of a forward.
func (e *Engine) forwardDone(now clock.Milli, r *forward, d Done) {
	delete(e.forwards, r.id)
	r.over = true
	p, q := r.peer, r.query
	for i, other := range p.inFlight {
		if other == r {
			p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
			break
		}
	}
	e.recordForward(now, r, d)
	if r.orphan {
		return
	}
	for _, s := range r.shards {
		s.forward = nil
	}
	switch {
	case d.Kind == call.Answered && d.Reply.Successful():
		e.merge(now, r, d.Reply)
	case d.Refusal == NoCapacity:
		// The other host knows the leaves there better than this one.
		e.noteForwardFailed(now, r, d)
		q.peerFull = true
		for _, s := range r.shards {
			s.tries--
			e.abandon(s, "the other host has no room")
		}
	case d.Kind.NotRun():
		e.noteForwardFailed(now, r, d)
		for _, s := range r.shards {
			s.tries--
			e.services[s.service].budget.Earn()
			e.dispatch(now, s)
		}
	default:
		q.ran = true
		e.noteForwardFailed(now, r, d)
		e.fallBack(now, r, d)
	}
	e.settle(now, q)
	if !q.over {
		e.schedule(now, q)
	}
}

// merge takes the shards that another host's answer contains.
func (e *Engine) merge(now clock.Milli, r *forward, reply *call.Reply) {
	q := r.query
	q.ran = true
	if reply.Stamp != "" {
		e.markProven(now, q)
		q.merged = append(q.merged, reply)
	}
	missing := make(map[string]bool, len(reply.Missing))
	for _, name := range reply.Missing {
		missing[name] = true
	}
	var lacking []*shard
	for _, s := range r.shards {
		if missing[s.service] {
			lacking = append(lacking, s)
			continue
		}
		s.answered = true
		q.answered++
		q.lastAnswered = s
	}
	open := len(q.shards) - q.answered - q.lost - len(lacking)
	need := q.route.MinShards() - q.answered - open
	for _, s := range lacking {
		s.cause = "the other host had no reply in time"
		if need > 0 && e.retryHere(now, s) {
			need--
			continue
		}
		e.abandon(s, s.cause)
	}
}

// retryHere calls a leaf from this host for a shard that another host got no reply
// for, at the expense of the budget. Without it, a query that lacks a few shards at
// its target would fail, and its caller would ask for all shards once more.
func (e *Engine) retryHere(now clock.Milli, s *shard) bool {
	if !e.canCall(s, false) || !e.services[s.service].budget.Spend() {
		return false
	}
	s.query.extraCalls++
	e.dispatch(now, s)
	return !s.lost
}

// fallBack calls leaves from this host for the shards of a failed forward. The other
// host may have called one leaf for each shard; if it failed soon, it hasn't called a
// second one, so that one more call stays within the route's attempts.
func (e *Engine) fallBack(now clock.Milli, r *forward, d Done) {
	early := now-r.sent < clock.Milli(e.roundTrip(r.peer))+minHedgeDelay
	for _, s := range r.shards {
		if early && e.retryHere(now, s) {
			continue
		}
		e.abandon(s, "the host it was handed to failed: "+d.Kind.String())
	}
}

func (e *Engine) noteForwardFailed(now clock.Milli, r *forward, d Done) {
	e.do(Note{
		Kind: NoteForwardFailed, Request: r.query.request.ID, Query: r.query.id, Leaf: r.peer.Address,
		Cause: d.Kind.String() + ": " + d.Cause, Took: now - r.sent, Total: len(r.shards),
	})
}

// forwardOrphanGrace is how long an orphaned forward may still run: its answer is due
// at about the time when the query was answered without it.
const forwardOrphanGrace clock.Milli = 150

// orphanForward lets a forward that is no longer needed run for forwardOrphanGrace.
func (e *Engine) orphanForward(now clock.Milli, r *forward) {
	if r.orphan || r.over {
		return
	}
	r.orphan = true
	heap.Push(&e.timers, timer{at: now + forwardOrphanGrace, forward: r})
}
