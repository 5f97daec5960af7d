package router

import (
	"slices"

	"dandelionstile/share/clock"
)

// dispatch sends a shard to the best leaf, or queues the shard.
func (e *Engine) dispatch(now clock.Milli, s *shard) {
	e.dispatchTo(now, s, e.selectLeaf(now, s, true))
}

// dispatchTo sends a shard to the chosen leaf, or queues or abandons the shard.
func (e *Engine) dispatchTo(now clock.Milli, s *shard, c choice) {
	switch {
	case c.leaf != nil:
		e.send(now, s, c.leaf)
		e.probeUnhealthy(now, s)
	case c.full:
		e.enqueue(s)
	case c.unhealthy:
		e.probeUnhealthy(now, s)
		e.abandon(s, "no leaf has answered of late")
	default:
		e.abandon(s, "no leaf is known")
	}
}

// send sends a shard's request to a leaf.
func (e *Engine) send(now clock.Milli, s *shard, f *leaf) {
	e.lastCall++
	a := &attempt{id: e.lastCall, leaf: f, shard: s, sent: now}
	if f.cold(now) {
		f.warmupLimiter.Spend()
	}
	if f.unhealthy {
		f.probeAt = now + f.probePause()
	}
	e.calls[a.id] = a
	f.addCall(a)
	q := s.query
	s.calls = append(s.calls, a)
	s.tries++
	s.lastTarget = f.ID
	s.queued = false
	s.sentAt = now
	s.hedgeAt = now + e.hedgeDelay(now, s, f)
	e.do(Send{Call: a.id, Request: q.request, Leaf: f.ID, Address: f.Address, Timeout: max(1, q.deadline-now), Watch: !q.route.Sharded()})
}

const (
	// hedgeDeviations is the number of mean deviations beyond the expected time
	// after which a call counts as slow: about one ordinary call in twenty does.
	hedgeDeviations = 3.0
	// minHedgeDelay keeps jitter from causing hedges of calls that take a few ms.
	minHedgeDelay clock.Milli = 15
	// maxHedgeShare is the share of the target after which a call counts as slow
	// whatever its leaf's own latency is.
	maxHedgeShare = 0.45
)

// hedgeDelay returns how long a call runs before another leaf is called: until it is
// slow for its leaf, or has used up its share of the target. It doesn't extend to the
// last moment at which a second reply would still be in time, since the hedge
// may be slow as well.
func (e *Engine) hedgeDelay(now clock.Milli, s *shard, f *leaf) clock.Milli {
	q := s.query
	slow := clock.Milli(f.expected(now, e.typicalLatency(f)) + hedgeDeviations*f.deviation + stallSlackMs)
	if q.route.Target > 0 {
		slow = min(slow, clock.Milli(maxHedgeShare*float64(q.target-q.arrived)))
	}
	return max(slow, minHedgeDelay)
}

// probeUnhealthy probes unhealthy leaves while others serve the requests, so that a
// recovery is detected without delaying a caller.
func (e *Engine) probeUnhealthy(now clock.Milli, s *shard) {
	svc := e.services[s.service]
	for _, f := range svc.leaves {
		if !f.unhealthy || now < f.probeAt || f.Draining || e.domainsOut[f.Domain] {
			continue
		}
		f.probeAt = now + probeTimeout
		e.do(Probe{Leaf: f.ID, Address: f.Address, Path: svc.config.HealthPath})
	}
}

// probeResult handles the result of an unhealthy leaf's health check.
func (e *Engine) probeResult(now clock.Milli, p ProbeResult) {
	f := e.leaves[p.Leaf]
	if f == nil || !f.unhealthy {
		return
	}
	if !p.Healthy {
		f.probeAt = now + f.probePause()
		return
	}
	f.markHealthy(now)
	e.do(Note{Kind: NoteLeafHealthy, Leaf: f.ID, Service: f.Service, Cause: "its health is good"})
	e.dispatchWaiting(now, e.services[f.Service])
}

// enqueue queues a shard until one of its leaves has capacity, by priority and then by
// arrival.
func (e *Engine) enqueue(s *shard) {
	if s.queued {
		return
	}
	s.queued = true
	svc := e.services[s.service]
	at := len(svc.queue)
	for at > 0 && s.query.before(svc.queue[at-1].query) {
		at--
	}
	svc.queue = slices.Insert(svc.queue, at, s)
}

// before reports whether a query's shards precede those of another query that arrived
// earlier: queries that can still be in time come first, then the order is by priority.
func (q *query) before(other *query) bool {
	if q.late != other.late {
		return other.late
	}
	return q.route.Priority < other.route.Priority
}

// dispatchWaiting dispatches queued shards to leaves with free capacity.
func (e *Engine) dispatchWaiting(now clock.Milli, svc *service) {
	svc.queue = slices.DeleteFunc(svc.queue, func(s *shard) bool {
		return s.query.over || s.settled() || !s.queued
	})
	for {
		at, c := e.nextQueued(now, svc)
		if at < 0 {
			return
		}
		s := svc.queue[at]
		svc.queue = slices.Delete(svc.queue, at, at+1)
		s.queued = false
		e.dispatchTo(now, s, c)
		e.settle(now, s.query)
		if !s.query.over {
			e.schedule(now, s.query)
		}
	}
}

// nextQueued returns the index of the queued shard that gets the free capacity, and
// its leaf: the first shard that can still be in time; -1 for none. If the queue is
// longer than queries can wait, strict queue order would make every query late.
func (e *Engine) nextQueued(now clock.Milli, svc *service) (at int, c choice) {
	late, lateChoice := -1, choice{}
	for i, s := range svc.queue {
		c := e.selectLeaf(now, s, true)
		if c.leaf == nil && c.full {
			break
		}
		if c.leaf == nil || s.query.late || now+clock.Milli(c.leaf.expected(now, e.typicalLatency(c.leaf))) <= s.query.target {
			return i, c
		}
		if late < 0 && s.query.needsOpenShards() {
			late, lateChoice = i, c
		}
	}
	return late, lateChoice
}

// needsOpenShards reports whether a query can't be answered without its open shards.
func (q *query) needsOpenShards() bool {
	return !q.route.Sharded() || !q.forwarded && q.answered < q.route.MinShards()
}

// abandon gives up on a shard.
func (e *Engine) abandon(s *shard, cause string) {
	if s.settled() {
		return
	}
	s.lost = true
	s.queued = false
	if s.cause == "" {
		s.cause = cause
	}
	s.query.lost++
}
