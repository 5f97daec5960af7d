package router

import (
	"slices"

	"dandelionstile/share/clock"
)

// dispatch sends a shard to the best leaf, or queues or abandons the shard.
func (e *Engine) dispatch(now clock.Milli, s *shard) {
	e.dispatchTo(now, s, e.selectLeaf(now, s, true /* allowProbe */))
}

// dispatchTo is dispatch with the chosen leaf. If it sends the shard, or only unhealthy leaves
// are left, it also probes the service's unhealthy leaves that are due.
func (e *Engine) dispatchTo(now clock.Milli, s *shard, c choice) {
	switch {
	case c.leaf != nil:
		e.send(now, s, c.leaf)
		e.probeUnhealthy(now, s)
	case c.full:
		e.enqueue(s)
	case c.unhealthy:
		e.probeUnhealthy(now, s)
		e.abandon(s, "no leaf has answered recently")
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
		f.probeAt = now + f.probeDelay() // the call serves as a probe
	}
	e.calls[a.id] = a
	f.addCall(a)
	q := s.query
	s.calls = append(s.calls, a)
	s.possibleRuns++
	s.lastTarget = f.ID
	s.queued = false
	s.sentAt = now
	s.hedgeAt = now + e.hedgeDelay(now, s, f)
	// A request for a single leaf may be one that must run only once: it can be retried
	// after a rejected connection, but not once it has been sent.
	e.emit(Send{Call: a.id, Request: q.request, Leaf: f.ID, Address: f.Address, Timeout: max(1, q.deadline-now), AwaitRejection: !q.route.Sharded()})
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

// probeUnhealthy probes the unhealthy leaves of a shard's service that are due for it, so that
// a recovery is detected without sending them a caller's request.
func (e *Engine) probeUnhealthy(now clock.Milli, s *shard) {
	svc := e.services[s.service]
	for _, f := range svc.leaves {
		if !f.unhealthy || now < f.probeAt || f.Draining || e.domainsOut[f.Domain] {
			continue
		}
		f.probeAt = now + probeTimeout
		e.emit(Probe{Leaf: f.ID, Address: f.Address, Path: svc.config.HealthPath})
	}
}

// handleProbeResult handles the result of a health check. It ignores leaves that have been
// removed or are healthy again.
func (e *Engine) handleProbeResult(now clock.Milli, p ProbeResult) {
	f := e.leaves[p.Leaf]
	if f == nil || !f.unhealthy {
		return
	}
	if !p.Healthy {
		f.probeAt = now + f.probeDelay()
		return
	}
	f.markHealthy(now)
	e.emit(LogRecord{Kind: LogLeafHealthy, Leaf: f.ID, Service: f.Service, Cause: "health check passed"})
	e.dispatchWaiting(now, e.services[f.Service])
}

// enqueue queues a shard until one of its leaves has capacity: behind those of queries that
// go before its own, and of queries equal in that. A queued shard keeps its place.
func (e *Engine) enqueue(s *shard) {
	if s.queued {
		return
	}
	s.queued = true
	svc := e.services[s.service]
	index := len(svc.queue)
	for index > 0 && s.query.before(svc.queue[index-1].query) {
		index--
	}
	svc.queue = slices.Insert(svc.queue, index, s)
}

// before reports whether a query's shards go before those of another query that arrived
// earlier: queries that can still be in time come first, then the order is by priority.
func (q *query) before(other *query) bool {
	if q.late != other.late {
		return other.late
	}
	return q.route.Priority < other.route.Priority
}

// dispatchWaiting dispatches queued shards to leaves with free capacity, and removes
// shards from the queue that no longer need a leaf.
func (e *Engine) dispatchWaiting(now clock.Milli, svc *service) {
	svc.queue = slices.DeleteFunc(svc.queue, func(s *shard) bool {
		return s.query.ended || s.settled() || !s.queued
	})
	for {
		index, c := e.nextQueued(now, svc)
		if index < 0 {
			return
		}
		s := svc.queue[index]
		svc.queue = slices.Delete(svc.queue, index, index+1)
		s.queued = false
		e.dispatchTo(now, s, c)
		e.tryFinish(now, s.query)
		if !s.query.ended {
			e.schedule(now, s.query)
		}
	}
}

// nextQueued returns the index of the queued shard that gets the free capacity, and its
// leaf; -1 for none. It is the first shard that can still be in time, else the first one
// that its query can't do without: if the queue is longer than queries can wait, strict
// queue order would make every query late. A shard that no leaf may serve, or whose query
// is late already, counts like one in time.
func (e *Engine) nextQueued(now clock.Milli, svc *service) (index int, c choice) {
	late, lateChoice := -1, choice{}
	for i, s := range svc.queue {
		c := e.selectLeaf(now, s, true /* allowProbe */)
		if c.leaf == nil && c.full {
			// The shards behind it wait as well.
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

// abandon gives up on a shard. The cause is recorded unless the shard has one already, such
// as that of a failed call.
func (e *Engine) abandon(s *shard, cause string) {
	if s.settled() {
		return
	}
	s.abandoned = true
	s.queued = false
	if s.cause == "" {
		s.cause = cause
	}
	s.query.abandoned++
}
