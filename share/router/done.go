package router

import (
	"container/heap"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
)

// done takes the end of a call.
func (e *Engine) done(now clock.Milli, d Done) {
	if r := e.forwards[d.Call]; r != nil {
		e.forwarded(now, r, d)
		return
	}
	a := e.calls[d.Call]
	if a == nil {
		return
	}
	delete(e.calls, a.id)
	a.over = true
	f, s := a.leaf, a.shard
	svc := e.service(f.Service)
	f.drop(a)
	e.do(CallEnded{Service: f.Service, Domain: f.Domain, Kind: d.Kind, Took: now - a.sent})
	e.learn(now, a, d)
	f.calledAt = now
	e.tell(now, f)
	if !a.orphan {
		e.result(now, a, d)
		e.settle(now, s.query)
		if !s.query.over {
			e.plan(now, s.query)
		}
	}
	e.wake(now, svc)
}

// learn updates what is believed of the leaf.
func (e *Engine) learn(now clock.Milli, a *attempt, d Done) {
	f := a.leaf
	took := float64(now - a.sent)
	switch {
	case d.Kind == call.Answered && d.Reply.Successful():
		f.observe(now, took)
		e.regions[f.region].observe(took)
		e.answered(now, a.shard.query)
		if f.replied(now) {
			e.do(Note{Kind: NoteLeafHealthy, Leaf: f.ID, Service: f.Service, Cause: "it answered", Took: now - a.sent})
		}
	case d.Kind == call.Answered, d.Kind == call.Shed:
		f.judge(now, 1)
		f.failures = 0
	case d.Kind == call.Cancelled:
		// Its reply would have taken longer still.
		if took > f.lat {
			f.observe(now, took)
		}
		if took > f.expected(now, e.usual(f))+hedgeDeviations*f.dev+stallSlack {
			e.callFailed(now, f, unhealthyAfter, "no reply", now-a.sent)
		}
	case d.Kind == call.Foreign:
		e.callFailed(now, f, 1, "another leaf has its address", now-a.sent)
	case d.Kind == call.Withdrawn:
		if took > openSlack+openFloors*e.floor(f) {
			e.callFailed(now, f, 1, "no connection yet", now-a.sent)
		}
	case d.Kind == call.Full:
		f.judge(now, 1)
		f.failures = 0
	case d.Kind == call.NotSent:
		e.leafDown(now, f)
		e.callFailed(now, f, 1, d.Cause, now-a.sent)
	default:
		e.crashes.RecordBroken(now, f.ID, a.shard.query.fingerprint)
		e.checkConn(now, f)
		e.callFailed(now, f, brokenAfter, d.Cause, now-a.sent)
	}
}

// answered lets a good reply speak for a request, once for each query.
func (e *Engine) answered(now clock.Milli, q *query) {
	if !q.well {
		q.well = true
		e.crashes.RecordAnswer(now, q.fingerprint)
	}
}

// A connection is open after one way there and back. A call that was given up
// before that says something of its leaf only if it had time for more: with the
// least reply time of the leaf's region, which holds one way there and back, half
// as much again and what a busy host takes.
const (
	openFloors = 1.5
	openSlack  = 40.0
)

func (e *Engine) callFailed(now clock.Milli, f *leaf, most int, cause string, took clock.Milli) {
	if f.failed(now, most) && !f.removed {
		e.do(Note{Kind: NoteLeafUnhealthy, Leaf: f.ID, Service: f.Service, Cause: cause, Took: took})
	}
}

// result applies the end of a call to its shard.
func (e *Engine) result(now clock.Milli, a *attempt, d Done) {
	s := a.shard
	q := s.query
	if !d.Kind.NotRun() {
		q.ran = true
	} else {
		s.tries--
	}
	if s.settled() {
		return
	}
	if d.Kind == call.Answered && e.takes(now, q, d.Reply) {
		s.reply = d.Reply
		s.in = true
		q.in++
		q.newest = s
		e.release(now, s)
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
	if !e.mayAsk(s, d.Kind.NotRun()) {
		e.abandon(s, "no attempt is left")
		return
	}
	if d.Kind.Unsent() {
		// A call that never left this host has cost no leaf anything, and
		// another takes nothing from the budget.
		e.place(now, s)
		return
	}
	s.hedgeAt = now
	e.hedge(now, s)
	e.giveUp(now, s)
}

// mayAsk tells whether another leaf may run a shard's request, given that none
// is running it now.
func (e *Engine) mayAsk(s *shard, notRun bool) bool {
	q := s.query
	return (q.route.Idempotent || notRun) && s.tries < q.route.Attempts && len(s.calls) < q.route.Attempts+mostSends
}

// takes tells whether a reply settles its shard. A leaf's failure is never a
// part of a merged answer; as the reply to a request for one leaf it is handed
// on when no other leaf may be asked.
func (e *Engine) takes(now clock.Milli, q *query, r *call.Reply) bool {
	if r.Successful() {
		return true
	}
	if q.route.Merged() {
		return false
	}
	serverFault := r.Status >= 500
	return !serverFault || !e.mayRetry(now, q.shards[0])
}

// mayRetry tells whether another leaf can run the request in place of one that
// failed.
func (e *Engine) mayRetry(now clock.Milli, s *shard) bool {
	return e.mayAsk(s, false) && now < s.query.end && e.services[s.service].budget.Tokens >= 1 && e.pick(now, s, false).leaf != nil
}

// mostSends bounds the calls for one shard that leafs turned down: a service
// that has no room is not asked at every leaf.
const mostSends = 3

func (e *Engine) withheld(now clock.Milli, s *shard, cause string) {
	if s.query.held {
		return
	}
	s.query.held = true
	e.do(Note{
		Kind: NoteWithheld, Request: s.query.request.ID, Query: s.query.id, Service: s.service, Leaf: s.last,
		Cause: cause, Took: now - s.query.arrived, BudgetLeft: e.services[s.service].budget.Tokens,
	})
}

// release gives up the shard's other calls once one has answered.
func (e *Engine) release(now clock.Milli, s *shard) {
	for _, a := range s.calls {
		if !a.over && !a.orphan {
			e.orphan(now, a)
		}
	}
}

// orphanGrace is how long a call that nobody needs may still run before its
// connection is closed: most end within it, and a new connection would hold one
// of the leaf's slots for longer than the rest of the call.
const orphanGrace clock.Milli = 60

// orphan lets a call run out, for a short time.
func (e *Engine) orphan(now clock.Milli, a *attempt) {
	a.orphan = true
	heap.Push(&e.alarms, alarm{at: now + orphanGrace, call: a})
}

// expire closes the connection of a call that nobody needs.
func (e *Engine) expire(a *attempt) {
	if a.over {
		return
	}
	e.do(Cancel{Call: a.id})
}
