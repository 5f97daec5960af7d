package router

import (
	"slices"

	"dandelionstile/share/clock"
)

// place asks the best leaf for a shard, or lets the shard wait for room.
func (e *Engine) place(now clock.Milli, s *shard) {
	e.placeAt(now, s, e.pick(now, s, true))
}

// placeAt does so with the choice made.
func (e *Engine) placeAt(now clock.Milli, s *shard, c choice) {
	switch {
	case c.leaf != nil:
		e.send(now, s, c.leaf)
		e.probe(now, s)
	case c.full:
		e.enqueue(s)
	case c.unhealthy:
		e.probe(now, s)
		e.abandon(s, "no leaf has answered of late")
	default:
		e.abandon(s, "no leaf is known")
	}
}

// send hands a shard's request to a leaf.
func (e *Engine) send(now clock.Milli, s *shard, f *leaf) {
	e.lastCall++
	a := &attempt{id: e.lastCall, leaf: f, shard: s, sent: now}
	if f.cold(now) {
		f.pace.Spend()
	}
	if f.unhealthy {
		f.probeAt = now + f.probePause()
	}
	e.calls[a.id] = a
	f.add(a)
	q := s.query
	s.calls = append(s.calls, a)
	s.tries++
	s.last = f.ID
	s.waiting = false
	s.sentAt = now
	s.hedgeAt = now + e.slowAfter(now, s, f)
	e.do(Send{Call: a.id, Request: q.request, Leaf: f.ID, Address: f.Address, Timeout: max(1, q.end-now), Watch: !q.route.Merged()})
}

const (
	// hedgeDeviations is how many mean deviations past the expected time a
	// call is called slow: about one ordinary call in twenty is.
	hedgeDeviations = 3.0
	// hedgeLeast keeps calls that take a few ms from being hedged by jitter.
	hedgeLeast clock.Milli = 15
	// hedgeMost is the share of the target after which a call is slow whatever
	// its leaf's own measure says.
	hedgeMost = 0.45
)

// slowAfter is how long a call runs before another leaf is asked: until it is
// slow by its leaf's own measure, or has used up its share of the target. It does
// not wait until a second reply would just be in time, since the second call may
// be slow as well.
func (e *Engine) slowAfter(now clock.Milli, s *shard, f *leaf) clock.Milli {
	q := s.query
	slow := clock.Milli(f.expected(now, e.usual(f)) + hedgeDeviations*f.dev + stallSlack)
	if q.route.Target > 0 {
		slow = min(slow, clock.Milli(hedgeMost*float64(q.target-q.arrived)))
	}
	return max(slow, hedgeLeast)
}

// probe asks unhealthy leafs for their health while others do the work, so that
// a leaf's return is seen and no caller waits for it.
func (e *Engine) probe(now clock.Milli, s *shard) {
	svc := e.services[s.service]
	for _, f := range svc.leafs {
		if !f.unhealthy || now < f.probeAt || f.Draining || e.out[f.Domain] {
			continue
		}
		f.probeAt = now + probeWait
		e.do(Probe{Leaf: f.ID, Address: f.Address, Path: svc.config.HealthPath})
	}
}

// probed takes an unhealthy leaf's word on its health.
func (e *Engine) probed(now clock.Milli, p ProbeResult) {
	f := e.leafs[p.Leaf]
	if f == nil || !f.unhealthy {
		return
	}
	if !p.Healthy {
		f.probeAt = now + f.probePause()
		return
	}
	f.recovered(now)
	e.do(Note{Kind: NoteLeafHealthy, Leaf: f.ID, Service: f.Service, Cause: "its health is good"})
	e.wake(now, e.services[f.Service])
}

// enqueue lets a shard wait for room at one of its leafs, by rank and then by
// arrival.
func (e *Engine) enqueue(s *shard) {
	if s.waiting {
		return
	}
	s.waiting = true
	svc := e.services[s.service]
	at := len(svc.waiting)
	for at > 0 && s.query.before(svc.waiting[at-1].query) {
		at--
	}
	svc.waiting = slices.Insert(svc.waiting, at, s)
}

// before tells whether a query's shards go before another's that came earlier:
// those that can still be in time first, then by rank.
func (q *query) before(other *query) bool {
	if q.late != other.late {
		return other.late
	}
	return q.route.Priority < other.route.Priority
}

// wake places shards that wait for room.
func (e *Engine) wake(now clock.Milli, svc *service) {
	svc.waiting = slices.DeleteFunc(svc.waiting, func(s *shard) bool {
		return s.query.over || s.settled() || !s.waiting
	})
	for {
		at, c := e.nextWaiting(now, svc)
		if at < 0 {
			return
		}
		s := svc.waiting[at]
		svc.waiting = slices.Delete(svc.waiting, at, at+1)
		s.waiting = false
		e.placeAt(now, s, c)
		e.settle(now, s.query)
		if !s.query.over {
			e.plan(now, s.query)
		}
	}
}

// nextWaiting is the waiting shard that gets the room that has become free, and
// the leaf for it: the first that can still be in time; -1 for none. Behind a
// queue that is longer than the time that queries have, the first in line would
// otherwise always be one that is too late, and so would every other.
func (e *Engine) nextWaiting(now clock.Milli, svc *service) (at int, c choice) {
	late, lateChoice := -1, choice{}
	for i, s := range svc.waiting {
		c := e.pick(now, s, true)
		if c.leaf == nil && c.full {
			break
		}
		if c.leaf == nil || s.query.late || now+clock.Milli(c.leaf.expected(now, e.usual(c.leaf))) <= s.query.target {
			return i, c
		}
		if late < 0 && s.query.needs() {
			late, lateChoice = i, c
		}
	}
	return late, lateChoice
}

// needs tells whether a query makes no answer without its open shards.
func (q *query) needs() bool { return !q.route.Merged() || !q.forwarded && q.in < q.route.MinShards() }

// abandon gives up on a shard.
func (e *Engine) abandon(s *shard, cause string) {
	if s.settled() {
		return
	}
	s.lost = true
	s.waiting = false
	if s.cause == "" {
		s.cause = cause
	}
	s.query.lost++
}
