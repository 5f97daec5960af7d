package router

import (
	"fmt"
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
	"dandelionstile/share/route"
)

// defaultWait is taken for callers that do not say how long they wait and
// routes without a timeout.
const defaultWait = 10 * clock.Second

// arrive takes a request in, or turns it away at once.
func (e *Engine) arrive(now clock.Milli, a Arrive) {
	q := &query{id: a.Query, request: a.Request, arrived: now, forwarded: a.Forwarded}
	if e.table == nil {
		e.refuse(now, q, NoConfig, "no routes are known yet")
		return
	}
	q.version = e.table.Version
	if a.Version > q.version {
		e.refuse(now, q, Stale, "the sender goes by a newer configuration")
		return
	}
	r, ok := e.table.Match(a.Request.Host, a.Request.Path())
	if !ok {
		e.refuse(now, q, NoRoute, "no route for host and path")
		return
	}
	q.route = r
	q.fingerprint = fingerprint(a.Request)
	q.sample = rank.Fraction(a.Request.ID)
	if e.crashes.Blocked(now, q.fingerprint) {
		e.refuse(now, q, Harmful, "leafs went down under it")
		return
	}
	passed := e.deadlines(now, q, a)
	names, ok := e.asked(r, a)
	if !ok {
		e.refuse(now, q, Stale, "a shard that is asked for is not in the route")
		return
	}
	for _, name := range names {
		e.service(name)
		q.shards = append(q.shards, &shard{query: q, service: name})
	}
	if cause := e.unreachable(now, q); cause != "" {
		e.refuse(now, q, NoLeaf, cause)
		return
	}
	here, away := q.shards, []handover(nil)
	if !a.Forwarded {
		here, away = e.split(now, q)
	}
	if !e.accepts(now, q, here) {
		e.refuse(now, q, NoRoom, "too few shards can answer in time")
		return
	}
	if !e.admit(now, q) {
		return
	}
	e.queries[q.id] = q
	e.do(Note{
		Kind: NoteAdmitted, Request: q.request.ID, Query: q.id, Route: r.Name, Version: q.version, Total: len(q.shards),
		Wait: a.Wait, SinceFirstAttempt: passed, Due: q.target - now, Remote: a.Remote, Forwarded: q.forwarded, Late: q.late,
	})
	for _, h := range away {
		e.forward(now, q, h.peer, h.shards)
	}
	for _, s := range here {
		// The host that asks the leafs earns the second calls; if both did, two
		// hosts together would make twice as many as allowed.
		e.services[s.service].budget.Earn()
		e.place(now, s)
	}
	e.settle(now, q)
	if !q.over {
		e.plan(now, q)
	}
}

// admit counts a query among those under way, or refuses it. Late queries are
// counted only while some are turned away: they say nothing of who is in time.
func (e *Engine) admit(now clock.Milli, q *query) bool {
	if !q.route.Merged() || q.forwarded {
		return true
	}
	l := &e.limiter
	l.RecordArrival(now)
	if q.late && !l.Active() {
		return true
	}
	if !l.Admit(q.late) {
		e.refuse(now, q, NoRoom, fmt.Sprintf("answers come too late: %d queries are under way, the limit is %.0f", l.InFlight, l.Limit()))
		return false
	}
	q.counted = true
	l.InFlight++
	return true
}

// asked returns the services that a request is for; false if another host asks
// for shards that the route does not have here.
func (e *Engine) asked(r *route.Route, a Arrive) ([]string, bool) {
	if !r.Merged() {
		return []string{e.nextService(r)}, !a.Forwarded
	}
	if !a.Forwarded {
		return r.Shards, true
	}
	for _, name := range a.Shards {
		if !slices.Contains(r.Shards, name) {
			return nil, false
		}
	}
	return a.Shards, len(a.Shards) > 0
}

// deadlines works out by when the request must be answered, and returns how
// much of the caller's time had passed before it came here.
func (e *Engine) deadlines(now clock.Milli, q *query, a Arrive) clock.Milli {
	r := q.route
	wait := a.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	q.end = now + wait
	if a.Forwarded {
		q.late = a.Late
		q.target = min(now+max(a.Target-forwardSlack, leastTime), q.end)
		return 0
	}
	if r.Timeout > 0 {
		q.end = min(q.end, now+r.Timeout)
	}
	w := e.waits[r.Name]
	if w == nil {
		w = newFullWait(r.Timeout)
		e.waits[r.Name] = w
	}
	passed := w.passed(wait)
	w.learn(wait)
	target := now + r.Target - passed - e.callers.roundTrip(a.Remote, passed) - e.Policy.Margin
	switch {
	case r.Target <= 0:
		target = q.end
	case target < now+leastTime:
		// It is answered with what has come in by a new target: to wait for
		// all shards until the end keeps the caller for little more.
		q.late = true
		target = now + r.Target
	}
	q.target = min(target, q.end)
	return passed
}

// forwardSlack is taken off a forwarded request's target for the turn of the host
// that has the caller.
const forwardSlack clock.Milli = 4

// leastTime is what an answer takes at least; with less left, the target is
// taken as missed and the query as late.
const leastTime clock.Milli = 15

// roundRobin shares a route's requests between its services by their weights.
type roundRobin struct{ credit map[string]float64 }

// nextService chooses the service of the next request: each service earns its weight,
// the one with most credit is taken and pays for the round. The shares are
// exact over any run of requests, and do not follow the services' load: the
// operators' weights are a decision, not a hint.
func (e *Engine) nextService(r *route.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	t := e.rounds[r.Name]
	if t == nil {
		t = &roundRobin{credit: map[string]float64{}}
		e.rounds[r.Name] = t
	}
	sum, best := 0.0, -1
	for i, w := range r.Services {
		sum += w.Weight
		t.credit[w.Service] += w.Weight
		if best < 0 || t.credit[w.Service] > t.credit[r.Services[best].Service] {
			best = i
		}
	}
	t.credit[r.Services[best].Service] -= sum
	return r.Services[best].Service
}

// unreachable tells why no answer is possible: too few shards have a leaf at all.
func (e *Engine) unreachable(now clock.Milli, q *query) string {
	have := 0
	for _, s := range q.shards {
		if e.reachable(now, s) {
			have++
		}
	}
	need := 1
	switch {
	case q.forwarded:
		need = 0
	case q.route.Merged():
		need = q.route.MinShards()
	}
	if have >= need {
		return ""
	}
	return "too few shards have a leaf"
}

// reachable tells whether a shard has a leaf that may be asked.
func (e *Engine) reachable(now clock.Milli, s *shard) bool {
	for _, f := range e.services[s.service].leafs {
		if e.usable(f, s) && (!f.unhealthy || now >= f.probeAt) {
			return true
		}
	}
	return false
}

// gone drops a request whose caller has left.
func (e *Engine) gone(now clock.Milli, g CallerGone) {
	q := e.queries[g.Query]
	if q == nil {
		return
	}
	e.do(Note{
		Kind: NoteCallerGone, Request: q.request.ID, Query: q.id, Route: q.route.Name, Version: q.version,
		Took: now - q.arrived, Count: q.in, Total: len(q.shards),
	})
	e.close(now, q)
}
