package router

import "dandelionstile/share/clock"

// The load pattern: the leaves of some shards can serve fewer queries than arrive,
// while the leaves of other shards can serve all. A query needs nearly all shards, so
// that the weakest shards decide how many queries can be answered. If each of them
// served a different subset of the queries, hardly any query would be complete.
//
// Three rules follow. A slow leaf gets few calls at a time, so that these are in time.
// A query whose weak shards cannot be in time is refused on arrival, before a leaf is
// called. While queries are refused, all hosts refuse the same ones, by consistent
// sampling: those whose sample, a hash of the request's ID, is below the refused share.

// shedder holds the share of a route's queries that is refused by sampling. The zero
// value refuses none.
type shedder struct {
	refusedShare float64
	updatedAt    clock.Milli
}

const (
	// shedTighten is the part of the admitted share that is refused in addition
	// after one more query that cannot be in time.
	shedTighten = 0.12
	// shedRelax is the share per second that is admitted again while queries would
	// be in time with ample slack.
	shedRelax = 2.5
)

// admit reports whether to admit a query, and adapts the refused share: it falls with
// time while queries would be in time with ample slack, and rises with each unservable
// query that isn't refused by its sample.
func (s *shedder) admit(now clock.Milli, sample float64, p prospect) bool {
	elapsed := min(now-s.updatedAt, clock.Second) // one second relaxes the share to 0
	s.updatedAt = now
	if p == ample {
		s.refusedShare = max(0, s.refusedShare-shedRelax*float64(elapsed)/float64(clock.Second))
	}
	if sample < s.refusedShare {
		return false
	}
	if p == unservable {
		s.refusedShare += (1 - s.refusedShare) * shedTighten
		return false
	}
	return true
}

// prospect is what is expected of a query's answer at its arrival.
type prospect int

// Prospects of queries.
const (
	// unservable queries lack too many shards even after unservableShare of their time.
	unservable prospect = iota
	// tight queries are neither unservable nor ample.
	tight
	// ample queries have enough shards within ampleShare of their time.
	ample
)

const (
	// ampleShare is the largest share of its time that an ample query takes;
	// beyond unservableShare a query is not expected in time. The latter exceeds 1
	// since the expected time of a leaf is a rough estimate.
	ampleShare      = 0.5
	unservableShare = 1.5
)

// slowShare is the share of a route's target above which a leaf's expected time
// counts as slow: two such calls in sequence take more than four fifths of the target.
const slowShare = 0.4

// idleRecovery is how long after its last call a slow leaf without calls is assumed
// to be as fast as others.
const idleRecovery clock.Milli = 200

// slowCallLimit is the number of calls of this host that a slow leaf gets at a time.
const slowCallLimit = 1

// slow reports whether a leaf is slow for a query's route. It is false for every leaf
// unless the route is sharded and has a target, and this host's failure domain uses
// aggregators.
func (e *Engine) slow(now clock.Milli, f *leaf, q *query) bool {
	return q.route.Sharded() && q.route.Target > 0 && e.usesAggregators(e.Self.Domain) && f.expected(now, e.typicalLatency(f)) > slowShare*float64(q.route.Target)
}

// expectedAnswerAt returns when a shard is expected to be answered if it were requested
// now; false if no leaf can be called. Of the queued shards, it counts those that go first by
// lateness or priority, and not those that only arrived earlier.
func (e *Engine) expectedAnswerAt(now clock.Milli, s *shard) (clock.Milli, bool) {
	svc := e.services[s.service]
	ahead := 0
	for _, o := range svc.queue {
		if o.query.before(s.query) {
			ahead++
		}
	}
	best, found := 0.0, false
	for _, f := range svc.leaves {
		if !e.usable(f, s) || f.unhealthy && now < f.probeAt {
			continue
		}
		limit := e.callLimit(now, f, s.query)
		if limit == 0 {
			continue
		}
		took := f.expected(now, e.typicalLatency(f)) + f.overdue(now)
		if len(f.inFlight) == 0 && now > f.calledAt+idleRecovery {
			// Without calls nothing else would show that the leaf has recovered.
			took = min(took, e.typicalLatency(f))
		}
		if len(f.inFlight) >= limit {
			// The shards before it are served first, up to limit at a time.
			took += took * float64(1+ahead) / float64(limit)
		}
		if !found || took < best {
			best, found = took, true
		}
	}
	return now + clock.Milli(best), found
}

// prospect returns a query's expected chance of an answer in time, from the shards that
// are requested from here and the number of shards that the answer may lack.
func (e *Engine) prospect(now clock.Milli, q *query, local []*shard) prospect {
	late, slow := 0, 0
	soon := now + clock.Milli(ampleShare*float64(q.target-now))
	latest := now + clock.Milli(unservableShare*float64(q.target-now))
	for _, s := range local {
		answerAt, ok := e.expectedAnswerAt(now, s)
		switch {
		case !ok || answerAt > latest:
			late++
		case answerAt > soon:
			slow++
		}
	}
	switch spare := len(q.route.Shards) - q.route.MinShards(); {
	case late > spare:
		return unservable
	case late+slow > spare:
		return tight
	}
	return ample
}

// admitBySampling reports whether a query over shards is admitted, by its prospect and
// its sample. A late query is admitted only while no query is refused and its prospect is
// ample. All queries are admitted if this host calls no leaf for them or its failure domain
// doesn't use aggregators.
func (e *Engine) admitBySampling(now clock.Milli, q *query, local []*shard) bool {
	if !q.route.Sharded() || len(local) == 0 || !e.usesAggregators(e.Self.Domain) {
		return true
	}
	shed := e.shedders[q.route.Name]
	if shed == nil {
		shed = &shedder{}
		e.shedders[q.route.Name] = shed
	}
	p := e.prospect(now, q, local)
	if q.late {
		// It would take capacity from queries that can be in time.
		return shed.refusedShare == 0 && p == ample
	}
	return shed.admit(now, q.sample, p)
}
