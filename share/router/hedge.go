package router

import (
	"dandelionstile/share/clock"
)

// hedgeSlow asks second leafs for the shards of a query that are not expected in
// time.
func (e *Engine) hedgeSlow(now clock.Milli, q *query) {
	for _, s := range q.shards {
		if s.stuck(now) {
			e.hedge(now, s)
			e.giveUp(now, s)
		}
	}
}

// hedgeAgain is the pause after a second call was not possible.
const hedgeAgain clock.Milli = 20

// giveUp loses a shard that has failed and that no leaf can answer in time any
// more.
func (e *Engine) giveUp(now clock.Milli, s *shard) {
	if s.pending() > 0 || s.waiting || s.settled() {
		return
	}
	c := e.pick(now, s, true)
	if now >= s.query.target || s.query.held || (c.leaf == nil && !c.full) {
		e.abandon(s, "no second call was possible")
	}
}

// hedge asks a second leaf for a shard.
func (e *Engine) hedge(now clock.Milli, s *shard) {
	q := s.query
	s.hedgeAt = now + hedgeAgain
	if q.late && s.pending() > 0 && now < q.target {
		// It is late already: only what it cannot be answered without is asked
		// for twice.
		s.hedgeAt = q.target
		return
	}
	if !e.mayAsk(s, s.pending() == 0) {
		s.hedgeAt = q.end
		return
	}
	f := e.pick(now, s, false).leaf
	if f == nil || f.overdue(now) > 0 {
		return
	}
	// A second call that cannot be back in time only adds load.
	due := q.target
	if now >= due {
		due = q.end
	}
	if now+clock.Milli(f.expected(now, e.usual(f))) > due {
		return
	}
	svc := e.services[s.service]
	if !svc.budget.Spend() {
		e.withheld(now, s, "budget of second calls is empty")
		return
	}
	kind, cause := NoteHedged, "no reply yet"
	if s.pending() == 0 {
		kind, cause = NoteRetried, s.cause
	}
	age := now - s.sentAt
	q.extra++
	e.send(now, s, f)
	e.do(Note{
		Kind: kind, Request: q.request.ID, Query: q.id, Service: s.service, Leaf: f.ID,
		Cause: cause, Took: age, BudgetLeft: svc.budget.Tokens,
	})
}
