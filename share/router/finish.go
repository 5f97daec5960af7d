package router

import (
	"fmt"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
)

// look is called when a query's time has come: to ask second leafs, to answer
// in part, or to give up.
func (e *Engine) look(now clock.Milli, q *query) {
	q.wakeAt = 0
	if now >= q.target && e.enough(q) {
		e.answer(now, q)
		return
	}
	if now >= q.end {
		e.refuse(now, q, Late, "time is up")
		return
	}
	if e.impatient(now, q) {
		e.refuse(now, q, NoRoom, "no leaf had room")
		return
	}
	e.miss(now, q)
	e.hedgeSlow(now, q)
	e.settle(now, q)
	if !q.over {
		e.plan(now, q)
	}
}

// miss tells the limiter once of a query that is not answered by its target.
func (e *Engine) miss(now clock.Milli, q *query) {
	if !q.counted || q.missed || now < q.target {
		return
	}
	q.missed = true
	e.tellLimiter(now, false)
}

// tellLimiter tells the limiter of a query, and the log when that begins or ends that
// queries are turned away.
func (e *Engine) tellLimiter(now clock.Milli, inTime bool) {
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

// plan sets when a query is looked at next.
func (e *Engine) plan(now clock.Milli, q *query) {
	at := q.end
	if q.target > now {
		at = min(at, q.target)
	}
	for _, s := range q.shards {
		if s.settled() || s.waiting || s.away != nil {
			continue
		}
		at = min(at, max(s.hedgeAt, now+1))
	}
	if !q.ran && q.unsent() {
		at = min(at, max(e.patience(q), now+1))
	}
	e.arm(q, at)
}

// unsent tells whether no leaf was asked yet.
func (q *query) unsent() bool {
	for _, s := range q.shards {
		if len(s.calls) > 0 || s.away != nil {
			return false
		}
	}
	return true
}

// patience is when a request that no leaf has room for is turned away.
func (e *Engine) patience(q *query) clock.Milli {
	return q.arrived + clock.Milli(e.Policy.MaxWaitShare*float64(q.route.Target))
}

// impatient tells whether a request that no leaf has room for is turned away.
// Parts of another host's query are not: they are answered with what there is
// in time, while a refusal would have the same leafs asked once more.
func (e *Engine) impatient(now clock.Milli, q *query) bool {
	return !q.forwarded && q.unsent() && now >= e.patience(q)
}

// enough tells whether the shards that are in make an answer.
func (e *Engine) enough(q *query) bool {
	if !q.route.Merged() {
		return q.in == 1
	}
	if q.forwarded {
		return true
	}
	return q.in >= q.route.MinShards()
}

// settle ends a query for which nothing is left to wait for.
func (e *Engine) settle(now clock.Milli, q *query) {
	if q.over {
		return
	}
	open := len(q.shards) - q.in - q.lost
	switch {
	case open == 0 && e.enough(q):
		e.answer(now, q)
	case (now >= q.target || q.late && !q.forwarded && e.limiter.Active()) && e.enough(q):
		// While queries are turned away, a late one is not worth the work on its
		// last shards.
		e.answer(now, q)
	case !q.route.Merged() && q.lost == 1, q.route.Merged() && !q.forwarded && q.in+open < q.route.MinShards():
		e.refuse(now, q, e.failure(q), "too few shards can still answer")
	}
}

// failure tells a request that no leaf has run from one that may have run.
func (e *Engine) failure(q *query) Refusal {
	if q.touched() {
		return Failed
	}
	return NoLeaf
}

// touched tells whether a leaf may have begun to work on the request.
func (q *query) touched() bool {
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
		Took: now - q.arrived, Count: q.in, Total: len(q.shards), Extra: q.extra, Forwarded: q.forwarded,
	}
	n.Late = q.late || now > q.target+e.Policy.Margin
	a := Answer{Query: q.id}
	if q.route.Merged() {
		a.Merged = &Merged{Parts: q.parts(), Missing: q.absent(), Top: q.route.Top}
		if q.in < len(q.shards) {
			n.Kind = NotePartial
			n.Missing = q.missing()
		}
	} else {
		a.Reply = q.shards[0].reply
		n.Service, n.Leaf = q.shards[0].service, q.shards[0].last
		n.Cause = ""
	}
	if n.Late && n.Service == "" && q.newest != nil {
		n.Service, n.Leaf = q.newest.service, q.newest.last
	}
	if q.counted && !q.missed {
		e.tellLimiter(now, true)
	}
	e.do(a)
	e.do(n)
	e.close(now, q)
}

// refuse ends a request without a leaf's reply, at once.
func (e *Engine) refuse(now clock.Milli, q *query, why Refusal, cause string) {
	if why == Late && !q.touched() {
		why = NoRoom
	}
	n := Note{
		Kind: NoteRefused, Request: q.request.ID, Query: q.id, Version: q.version,
		Cause: why.String() + ": " + cause, Refusal: why, Took: now - q.arrived, Count: q.in, Total: len(q.shards), Extra: q.extra,
		Missing: q.missing(), Forwarded: q.forwarded,
	}
	if q.route != nil {
		n.Route = q.route.Name
	}
	e.do(Answer{Query: q.id, Refusal: why, RetryAfter: e.comeBack(now, q, why)})
	e.do(n)
	e.close(now, q)
}

// Times to come back after, in ms.
const (
	// againConfig is when to come back to a host that has had time to learn its
	// configuration and has not: it does not reach anybody who has one.
	againConfig clock.Milli = 500
	// againStart is the same for a host that has just started and learns its
	// configuration in a moment: well within callers' usual targets.
	againStart clock.Milli = 120
	// startTime is how long a host counts as just started.
	startTime = clock.Second
	// againLeaf is about what a leaf needs to be seen again.
	againLeaf clock.Milli = 300
	// againRoom is about one and a half targets: what was under way has ended by
	// then, so that callers do not come back into the same crowd.
	againRoom clock.Milli = 300
	// againSpread is the width over which returns are spread, so that callers
	// sent away together do not come back together.
	againSpread = 200
)

// comeBack is when a caller that was refused may find room.
func (e *Engine) comeBack(now clock.Milli, q *query, why Refusal) clock.Milli {
	// Consecutive requests are spread evenly, without chance: the golden
	// ratio's multiples are.
	spread := clock.Milli(q.id*618%1000) * againSpread / 1000
	if q.crowded && (why == Failed || why == NoLeaf) {
		return againRoom + spread
	}
	switch why {
	case NoConfig:
		if now < e.startedAt+startTime {
			return againStart + spread/2
		}
		return againConfig + spread
	case Stale:
		return againConfig + spread
	case NoLeaf:
		return againLeaf + spread
	case NoRoom:
		return againRoom + spread
	case Harmful:
		return crash.ReportTTL
	}
	return spread
}

// close lets go of a request's calls and forgets it.
func (e *Engine) close(now clock.Milli, q *query) {
	q.over = true
	delete(e.queries, q.id)
	if q.counted {
		e.limiter.InFlight--
	}
	for _, s := range q.shards {
		e.release(now, s)
		if s.away != nil {
			e.leaveForward(now, s.away)
		}
	}
}
