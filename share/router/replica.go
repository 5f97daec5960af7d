package router

import (
	"dandelionstile/share/clock"
)

// Costs of a leaf beyond its expected reply time, in ms.
const (
	// failureCost is what a failed call costs its caller. It outweighs the way
	// to another region from one failure in six on: a shard that is lost costs
	// a tenth of an answer or all of it, a longer way only time. With much less,
	// leafs that turn down most calls are still preferred for being near.
	failureCost = 400.0
	// coldCost keeps leafs that have just started for what others have no
	// room for: they take 1.6 times as long.
	coldCost = 25.0
	// farDomain prefers the host's own failure domain among equals; bytes
	// between domains are billed.
	farDomain = 1.5
)

// choice is the outcome of looking for a leaf.
type choice struct {
	leaf *leaf
	// full is set when leafs are there but have no room now.
	full bool
	// unhealthy are there, and it is not time to try one.
	unhealthy bool
}

// pick chooses the leaf of a shard that should answer first, among those that
// were not asked yet. With probes, an unhealthy one may be tried if there is no
// other and its time has come.
func (e *Engine) pick(now clock.Milli, s *shard, probes bool) choice {
	var c choice
	var best float64
	for _, f := range e.services[s.service].leafs {
		if !e.usable(f, s) {
			continue
		}
		if f.unhealthy && (!probes || now < f.probeAt) {
			c.unhealthy = true
			continue
		}
		if len(f.out) >= e.room(now, f, s.query) {
			c.full = true
			continue
		}
		if !e.warmEnough(now, f) {
			c.full = true
			continue
		}
		cost := e.cost(now, f)
		if c.leaf == nil || cost < best {
			c.leaf, best = f, cost
		}
	}
	if c.leaf != nil && c.leaf.unhealthy && c.full {
		// Room at a leaf that answers is worth waiting for.
		c.leaf = nil
	}
	return c
}

// lateRoom is how many calls a host may have at a leaf for a late query to add
// another: none. After the return of all hosts the callers that were cut off come
// back within one second, together with those that ask for the first time; with
// all treated alike, leafs' queues would make both kinds late.
const lateRoom = 1

// room is how many calls this host has at most at a leaf once a query has added
// one.
func (e *Engine) room(now clock.Milli, f *leaf, q *query) int {
	switch {
	case !e.slow(now, f, q) && q.late:
		return min(f.limit, lateRoom)
	case !e.slow(now, f, q):
		return f.limit
	}
	return min(f.limit, slowRoom)
}

// usable tells whether a leaf may get a shard's request at all.
func (e *Engine) usable(f *leaf, s *shard) bool {
	if f.Draining || f.removed || e.out[f.Domain] || s.asked(f) {
		return false
	}
	return s.query.route.Allows(f.region)
}

// warmEnough tells whether a leaf bears one more request: a cold one only at
// the operators' rate, of which this host has its part.
func (e *Engine) warmEnough(now clock.Milli, f *leaf) bool {
	rate := e.services[f.Service].config.ColdRate
	if rate <= 0 || !f.cold(now) {
		return true
	}
	return f.pace.Allowed(now, rate, f.hosts)
}

// cost is the time in ms in which a leaf is expected to answer one more call,
// with what speaks against the leaf added.
func (e *Engine) cost(now clock.Milli, f *leaf) float64 {
	usual := e.usual(f)
	c := f.expected(now, usual)
	c += float64(len(f.out)) * max(minWork, c-e.floor(f)) / float64(max(1, f.Slots))
	c += f.overdue(now)
	c += f.failing(now) * failureCost
	if f.cold(now) {
		c += coldCost
	}
	if f.Domain != e.Self.Domain {
		c += farDomain
	}
	if f.region != e.Self.Region {
		c += e.Policy.FarRegionPenalty
	}
	if f.unhealthy {
		c += unhealthyCost
	}
	return c
}

const (
	// minWork is the least time in ms that a call is taken to hold a slot.
	minWork = 4.0
	// unhealthyCost puts unhealthy leafs behind all others.
	unhealthyCost = 2000.0
)

// floor is the least time in which any leaf of the region has answered of
// late: the way there and back.
func (e *Engine) floor(f *leaf) float64 { return e.regions[f.region].floor }

// usual is what leafs of the region take that are not in trouble.
func (e *Engine) usual(f *leaf) float64 {
	if u := e.regions[f.region].usual; u > 0 {
		return u
	}
	if f.region == e.Self.Region {
		return unknownNear
	}
	return unknownFar
}

// Expected times in ms until a region's leafs have answered.
const (
	unknownNear = 20.0
	unknownFar  = 60.0
)

// region is what is known of the way to a region.
type region struct{ floor, usual float64 }

// observe feeds a reply's time. The floor falls at once and rises slowly, so
// that it follows a way that has become longer.
func (r *region) observe(took float64) {
	if r.usual == 0 {
		r.floor, r.usual = took, took
		return
	}
	r.floor = min(took, r.floor+(took-r.floor)/512)
	r.usual += (min(took, 3*r.usual) - r.usual) / 32
}
