package router

import (
	"dandelionstile/share/clock"
)

// hedgeSlow hedges or retries the shards of a query that are due for it, and abandons those
// that have no call in flight and can't get one.
func (e *Engine) hedgeSlow(now clock.Milli, q *query) {
	for _, s := range q.shards {
		if s.hedgeDue(now) {
			e.hedge(now, s)
			e.abandonHopeless(now, s)
		}
	}
}

// hedgeRetryInterval is the time until another attempt to hedge after one that made no
// call.
const hedgeRetryInterval clock.Milli = 20

// abandonHopeless abandons a shard that has no call in flight if the query's target has
// passed, a hedge or retry of the query was withheld for lack of budget, or no leaf can take
// another call, now or when it has capacity.
func (e *Engine) abandonHopeless(now clock.Milli, s *shard) {
	if s.pending() > 0 || s.queued || s.settled() {
		return
	}
	c := e.selectLeaf(now, s, true /* allowProbe */)
	if now >= s.query.target || s.query.withheld || (c.leaf == nil && !c.full) {
		e.abandon(s, "no hedge or retry was possible")
	}
}

// hedge calls another leaf for a shard: a hedge beside a call in flight, or a retry
// after a failed one. It makes no call, and sets when to try again, if the query is late and
// its new target hasn't passed, no further call is allowed, no free leaf can answer in time, or
// the budget is empty.
func (e *Engine) hedge(now clock.Milli, s *shard) {
	q := s.query
	s.hedgeAt = now + hedgeRetryInterval
	if q.late && s.pending() > 0 && now < q.target {
		// The query is late already: it is hedged only after its new target, and so
		// only if it couldn't be answered without the shard.
		s.hedgeAt = q.target
		return
	}
	// If no call is in flight, applyResult has let the shard continue: no call has run the
	// request, or the route is idempotent.
	if !e.canCall(s, s.pending() == 0) {
		s.hedgeAt = q.deadline
		return
	}
	f := e.selectLeaf(now, s, false /* allowProbe */).leaf
	if f == nil || f.overdue(now) > 0 {
		return
	}
	// A hedge that can't be answered in time only adds load.
	due := q.target
	if now >= due {
		due = q.deadline
	}
	if now+clock.Milli(f.expected(now, e.typicalLatency(f))) > due {
		return
	}
	svc := e.services[s.service]
	if !svc.budget.Spend() {
		e.logWithheld(now, s, "budget of hedges and retries is empty")
		return
	}
	kind, cause := LogHedged, "no reply yet"
	if s.pending() == 0 {
		kind, cause = LogRetried, s.cause
	}
	age := now - s.sentAt
	q.extraCalls++
	e.send(now, s, f)
	e.emit(LogRecord{
		Kind: kind, Request: q.request.ID, Query: q.id, Service: s.service, Leaf: f.ID,
		Cause: cause, Took: age, BudgetLeft: svc.budget.Tokens,
	})
}
