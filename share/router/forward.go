package router

import (
	"container/heap"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
)

// Shards of a query without a leaf in this host's failure domain would each
// cross to another one, or to another region. They are handed together to a
// host there, which asks the leafs over short ways and sends one merged answer
// back, instead of a request and a reply for each shard over links that are
// billed by the byte.

// forward is a part of a query handed to another host.
type forward struct {
	id     uint64
	query  *query
	peer   *peer
	shards []*shard
	sent   clock.Milli
	orphan bool
	over   bool
}

// lateForward is how many targets another host may take for parts of a late query.
// With one, it sent what it had by then, and queries that lacked a few parts
// failed as a whole.
const lateForward = 3

// forward hands shards of a query to another host.
func (e *Engine) forward(now clock.Milli, q *query, p *peer, group []*shard) {
	e.lastCall++
	r := &forward{id: e.lastCall, query: q, peer: p, shards: group, sent: now}
	e.forwards[r.id] = r
	p.out = append(p.out, r)
	names := make([]string, len(group))
	for i, s := range group {
		s.away = r
		s.tries++
		s.sentAt = now
		s.last = p.Address
		names[i] = s.service
	}
	due := q.target
	if q.late {
		due = min(now+lateForward*q.route.Target, q.end)
	}
	e.do(Forward{
		Call: r.id, Request: q.request, Address: p.Address, Version: q.version, Shards: names,
		Target: due - now - clock.Milli(e.trip(p)), Timeout: q.end - now, Late: q.late,
	})
	e.do(Note{Kind: NoteForwarded, Request: q.request.ID, Query: q.id, Leaf: p.Address, Version: q.version, Total: len(group)})
}

// forwarded takes the end of forwarded shards.
func (e *Engine) forwarded(now clock.Milli, r *forward, d Done) {
	delete(e.forwards, r.id)
	r.over = true
	p, q := r.peer, r.query
	for i, one := range p.out {
		if one == r {
			p.out = append(p.out[:i], p.out[i+1:]...)
			break
		}
	}
	e.judge(now, r, d)
	if r.orphan {
		return
	}
	for _, s := range r.shards {
		s.away = nil
	}
	switch {
	case d.Kind == call.Answered && d.Reply.Successful():
		e.merge(now, r, d.Reply)
	case d.Refusal == NoRoom:
		// Its leaves are known there better than here.
		e.failed(now, r, d)
		q.crowded = true
		for _, s := range r.shards {
			s.tries--
			e.abandon(s, "the other host has no room")
		}
	case d.Kind.NotRun():
		e.failed(now, r, d)
		for _, s := range r.shards {
			s.tries--
			e.services[s.service].budget.Earn()
			e.place(now, s)
		}
	default:
		q.ran = true
		e.failed(now, r, d)
		e.fallBack(now, r, d)
	}
	e.settle(now, q)
	if !q.over {
		e.plan(now, q)
	}
}

// merge takes the answer of another host for the shards that it has.
func (e *Engine) merge(now clock.Milli, r *forward, reply *call.Reply) {
	q := r.query
	q.ran = true
	if reply.Stamp != "" {
		e.answered(now, q)
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
		s.in = true
		q.in++
		q.newest = s
	}
	open := len(q.shards) - q.in - q.lost - len(lacking)
	need := q.route.MinShards() - q.in - open
	for _, s := range lacking {
		s.cause = "the other host had no reply in time"
		if need > 0 && e.askAgain(now, s) {
			need--
			continue
		}
		e.abandon(s, s.cause)
	}
}

// askAgain asks a leaf from here for a shard that another host has no reply
// for, as a second call. Without it, a query that lacks a few parts at its
// target would fail, and its caller would ask for all shards once more.
func (e *Engine) askAgain(now clock.Milli, s *shard) bool {
	if !e.mayAsk(s, false) || !e.services[s.service].budget.Spend() {
		return false
	}
	s.query.extra++
	e.place(now, s)
	return !s.lost
}

// fallBack asks leafs from here for shards whose host has failed. The host may
// have asked one leaf for each; it has asked no second one yet if it failed
// soon, so that one more call stays within the attempts of the route.
func (e *Engine) fallBack(now clock.Milli, r *forward, d Done) {
	soon := now-r.sent < clock.Milli(e.trip(r.peer))+hedgeLeast
	for _, s := range r.shards {
		if soon && e.askAgain(now, s) {
			continue
		}
		e.abandon(s, "the host it was handed to failed: "+d.Kind.String())
	}
}

func (e *Engine) failed(now clock.Milli, r *forward, d Done) {
	e.do(Note{
		Kind: NoteForwardFailed, Request: r.query.request.ID, Query: r.query.id, Leaf: r.peer.Address,
		Cause: d.Kind.String() + ": " + d.Cause, Took: now - r.sent, Total: len(r.shards),
	})
}

// forwardOrphanGrace is how long forwarded shards that nobody needs may still take: its
// answer is due at about the time when the query was answered without it.
const forwardOrphanGrace clock.Milli = 150

// leaveForward lets forwarded shards run out.
func (e *Engine) leaveForward(now clock.Milli, r *forward) {
	if r.orphan || r.over {
		return
	}
	r.orphan = true
	heap.Push(&e.alarms, alarm{at: now + forwardOrphanGrace, forward: r})
}
