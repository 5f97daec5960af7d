package router

import "dandelionstile/share/clock"

// The load pattern: the leaves of some shards bear fewer queries than come, while
// those of the others bear all. A query needs nearly all shards, so that the weak
// ones decide how many queries can be answered. If each of them served other
// queries than the next, hardly any query would be complete.
//
// Three rules follow. A slow leaf gets few calls at a time, so that those it has are
// in time. A query whose weak shards cannot be in time is refused when it comes,
// before a leaf is asked. And while that happens, all hosts refuse the same queries, by
// consistent sampling: those whose sample, a hash of the request, is below the share
// that is refused.

// shedder holds the share of a route's queries that is refused by sampling. The zero
// value refuses none.
type shedder struct {
	refused float64
	at      clock.Milli
}

const (
	// shedTighten is the part of those still admitted that one more query
	// that cannot be in time has refused from then on.
	shedTighten = 0.12
	// shedRelax is the share that is admitted again in a second while queries
	// would be in time with ample room.
	shedRelax = 2.5
)

// admits decides on a query by its sample and its prospect.
func (l *shedder) admits(now clock.Milli, sample float64, p prospect) bool {
	since := min(now-l.at, clock.Second)
	l.at = now
	if p == ample {
		l.refused = max(0, l.refused-shedRelax*float64(since)/float64(clock.Second))
	}
	if sample < l.refused {
		return false
	}
	if p == unservable {
		l.refused += (1 - l.refused) * shedTighten
		return false
	}
	return true
}

// prospect is whether a query can be in time.
type prospect int

// Prospects of queries.
const (
	// unservable queries lack too many shards at their target.
	unservable prospect = iota
	tight
	// ample queries are answered within ampleShare of their time.
	ample
)

const (
	// ampleShare is the share of a query's time that an ample one takes at
	// most, and unservableShare that beyond which it is not answered in time:
	// what is expected of a leaf is known roughly.
	ampleShare      = 0.5
	unservableShare = 1.5
)

// slowShare is the share of a route's target from which on a leaf's expected time
// counts as slow: two such calls one after the other would be too late.
const slowShare = 0.4

// idleTrust is how long after its last call a slow leaf without calls is taken to be
// as fast as others.
const idleTrust clock.Milli = 200

// slowRoom is how many calls of this host a slow leaf gets at a time.
const slowRoom = 1

// slow tells whether a leaf is slow for a query's route.
func (e *Engine) slow(now clock.Milli, f *leaf, q *query) bool {
	return q.route.Merged() && q.route.Target > 0 && e.tieredIn(e.Self.Domain) && f.expected(now, e.usual(f)) > slowShare*float64(q.route.Target)
}

// expectedAnswer is when a shard should be answered if it were asked for now,
// behind the shards that wait before it; false if no leaf can be asked at all.
func (e *Engine) expectedAnswer(now clock.Milli, s *shard) (clock.Milli, bool) {
	svc := e.services[s.service]
	ahead := 0
	for _, o := range svc.waiting {
		if o.query.before(s.query) {
			ahead++
		}
	}
	best, found := 0.0, false
	for _, f := range svc.leafs {
		if !e.usable(f, s) || f.unhealthy && now < f.probeAt {
			continue
		}
		places := e.room(now, f, s.query)
		if places == 0 {
			continue
		}
		took := f.expected(now, e.usual(f)) + f.overdue(now)
		if len(f.out) == 0 && now > f.calledAt+idleTrust {
			// Nothing else would show that it is well again.
			took = min(took, e.usual(f))
		}
		if len(f.out) >= places {
			took += took * float64(1+ahead) / float64(places)
		}
		if !found || took < best {
			best, found = took, true
		}
	}
	return now + clock.Milli(best), found
}

// prospect tells whether enough shards of a query can be in time, of those that are
// asked from here.
func (e *Engine) prospect(now clock.Milli, q *query, here []*shard) prospect {
	late, slow := 0, 0
	soon := now + clock.Milli(ampleShare*float64(q.target-now))
	latest := now + clock.Milli(unservableShare*float64(q.target-now))
	for _, s := range here {
		at, ok := e.expectedAnswer(now, s)
		switch {
		case !ok || at > latest:
			late++
		case at > soon:
			slow++
		}
	}
	switch may := len(q.route.Shards) - q.route.MinShards(); {
	case late > may:
		return unservable
	case late+slow > may:
		return tight
	}
	return ample
}

// accepts tells whether a query over shards is begun here.
func (e *Engine) accepts(now clock.Milli, q *query, here []*shard) bool {
	if !q.route.Merged() || len(here) == 0 || !e.tieredIn(e.Self.Domain) {
		return true
	}
	l := e.shedders[q.route.Name]
	if l == nil {
		l = &shedder{}
		e.shedders[q.route.Name] = l
	}
	p := e.prospect(now, q, here)
	if q.late {
		// It would take room from those that can be in time.
		return l.refused == 0 && p == ample
	}
	return l.admits(now, q.sample, p)
}
