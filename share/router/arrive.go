package router

import (
	"fmt"
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
	"dandelionstile/share/route"
)

// arrive admits or refuses a request, and sends the shards of an admitted one to leaves
// and other hosts.
func (e *Engine) arrive(now clock.Milli, a Arrival) {
	q := &query{id: a.Query, request: a.Request, arrived: now, forwarded: a.Forwarded}
	if e.table == nil {
		e.refuse(now, q, NoConfig, "no routes are known yet")
		return
	}
	table := e.table
	if a.Forwarded {
		table = e.tableOf(now, a.Version)
	}
	if table == nil {
		q.version = e.table.Version
		e.refuse(now, q, Stale, fmt.Sprintf("the sender has configuration %d", a.Version))
		return
	}
	q.version = table.Version
	r, ok := table.Match(a.Request.Host, a.Request.Path())
	if !ok {
		e.refuse(now, q, NoRoute, "no route for host and path")
		return
	}
	q.route = r
	q.fingerprint = fingerprint(a.Request)
	q.sample = rank.Fraction(a.Request.ID)
	if e.crashes.Blocked(q.fingerprint) {
		e.refuse(now, q, Harmful, fmt.Sprintf("leaves crashed while running it: request %016x", q.fingerprint))
		return
	}
	elapsed := e.setDeadlines(now, q, a)
	names, ok := e.requestedServices(r, a)
	if !ok {
		e.refuse(now, q, Stale, "a requested shard is not in the route")
		return
	}
	for _, name := range names {
		e.service(name) // creates the state that e.services is expected to have below
		q.shards = append(q.shards, &shard{query: q, service: name})
	}
	if cause := e.unreachableCause(now, q); cause != "" {
		e.refuse(now, q, NoLeaf, cause)
		return
	}
	local, remote := q.shards, []forwardGroup(nil)
	if !a.Forwarded {
		local, remote = e.splitShards(now, q)
	}
	if !e.admitBySampling(now, q, local) {
		e.refuse(now, q, NoCapacity, "too few shards can answer in time")
		return
	}
	if !e.admitByLimit(now, q) {
		return
	}
	e.queries[q.id] = q
	e.emit(LogRecord{
		Kind: LogAdmitted, Request: q.request.ID, Query: q.id, Route: r.Name, Version: q.version, Total: len(q.shards),
		Wait: a.Wait, SinceFirstAttempt: elapsed, Due: q.target - now, Remote: a.Remote, Forwarded: q.forwarded, Late: q.late,
	})
	for _, group := range remote {
		e.forward(now, q, group.peer, group.shards)
	}
	for _, s := range local {
		// The host that calls the leaves earns the budget; if both hosts did,
		// together they would make twice as many extra calls as allowed.
		e.services[s.service].budget.Earn()
		e.dispatch(now, s)
	}
	e.tryFinish(now, q)
	if !q.ended {
		e.schedule(now, q)
	}
}

// admitByLimit reports whether the limiter admits a query: it counts the query as in
// flight, or refuses it. Late queries are counted only while a limit is in force: their
// outcome says nothing about queries that can still be in time. Requests for a single leaf
// and parts of other hosts' queries are always admitted and never counted.
func (e *Engine) admitByLimit(now clock.Milli, q *query) bool {
	if !q.route.Sharded() || q.forwarded {
		return true
	}
	l := &e.limiter
	l.RecordArrival(now)
	if q.late && !l.Active() {
		return true
	}
	if !l.Admit(q.late) {
		e.refuse(now, q, NoCapacity, fmt.Sprintf("answers are late: %d queries in flight, limit %.0f", l.InFlight, l.Limit()))
		return false
	}
	q.counted = true
	l.InFlight++
	return true
}

// requestedServices returns the services that a request is for. It returns false for a
// forwarded request that names no shard, or if its route isn't sharded or lacks one of the
// named shards.
func (e *Engine) requestedServices(r *route.Route, a Arrival) ([]string, bool) {
	if !r.Sharded() {
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

// setDeadlines sets the query's target and deadline, and returns the estimated
// time between the caller's first attempt and the request's arrival. It is 0 for a
// forwarded request, whose wait is at most what remains of its caller's.
func (e *Engine) setDeadlines(now clock.Milli, q *query, a Arrival) clock.Milli {
	r := q.route
	wait := min(a.Wait, clock.MaxSpan)
	if wait <= 0 {
		wait = r.Timeout // the caller named none, so the operators' limit is all there is
	}
	q.deadline = now + wait
	if a.Forwarded {
		q.late = a.Late
		q.target = min(now+max(a.Target-forwardSlack, minAnswerTime), q.deadline)
		return 0
	}
	q.deadline = min(q.deadline, now+r.Timeout)
	estimate := e.waitEstimates[r.Name]
	if estimate == nil {
		estimate = newWaitEstimate(r.Timeout)
		e.waitEstimates[r.Name] = estimate
	}
	elapsed := clock.Milli(0)
	if a.Wait > 0 {
		elapsed = estimate.sinceFirstAttempt(wait)
		estimate.learn(wait)
	}
	// The target counts from the caller's first attempt until the answer reaches the
	// caller, so the round trip and the margin are subtracted as well.
	target := now + r.Target - elapsed - e.callers.learnRoundTrip(a.Remote, elapsed) - e.Policy.Margin
	switch {
	case r.Target <= 0:
		target = q.deadline
	case target < now+minAnswerTime:
		// The query is answered with the shards available at a new target: waiting
		// for all shards until the deadline delays the caller for little gain.
		q.late = true
		target = now + r.Target
	}
	q.target = min(target, q.deadline)
	return elapsed
}

// forwardSlack is taken off a forwarded request's target for the processing at the
// host that answers the caller.
const forwardSlack clock.Milli = 4

// minAnswerTime is the least time in which a query can be answered; with less left,
// the target counts as missed and the query as late.
const minAnswerTime clock.Milli = 15

// roundRobin distributes a route's requests over its services by weight; credit is by
// service.
type roundRobin struct{ credit map[string]float64 }

// nextService chooses the service of the next request: each service earns its
// weight, and the one with most credit is chosen and pays the sum of all weights.
// The shares are exactly those of the weights, apart from credit still unspent, and don't
// follow the services' load: the operators' weights are a decision, not a hint.
func (e *Engine) nextService(r *route.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	t := e.roundRobins[r.Name]
	if t == nil {
		t = &roundRobin{credit: map[string]float64{}}
		e.roundRobins[r.Name] = t
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

// unreachableCause returns why a query cannot be answered, if too few of its shards
// have a usable leaf; otherwise it returns "".
func (e *Engine) unreachableCause(now clock.Milli, q *query) string {
	reachable := 0
	for _, s := range q.shards {
		if e.reachable(now, s) {
			reachable++
		}
	}
	need := 1
	switch {
	case q.forwarded:
		// An answer without any shard is better than a refusal: after a refusal, the
		// other host would call the same leaves again.
		need = 0
	case q.route.Sharded():
		need = q.route.MinShards()
	}
	if reachable >= need {
		return ""
	}
	return "too few shards have a usable leaf"
}

// reachable reports whether a shard has a leaf that may be called once it has capacity.
func (e *Engine) reachable(now clock.Milli, s *shard) bool {
	for _, f := range e.services[s.service].leaves {
		if e.usable(f, s) && (!f.unhealthy || now >= f.probeAt) {
			return true
		}
	}
	return false
}

// handleCallerGone ends a request, without an answer, whose caller has disconnected.
func (e *Engine) handleCallerGone(now clock.Milli, g CallerGone) {
	q := e.queries[g.Query]
	if q == nil {
		return
	}
	e.emit(LogRecord{
		Kind: LogCallerGone, Request: q.request.ID, Query: q.id, Route: q.route.Name, Version: q.version,
		Took: now - q.arrived, Count: q.answered, Total: len(q.shards),
	})
	e.closeQuery(now, q)
}
