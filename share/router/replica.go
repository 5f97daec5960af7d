package router

import (
	"dandelionstile/share/clock"
)

// Costs of a leaf beyond its expected reply time, in ms.
const (
	// failureCostMs is the cost of a failed call to its caller. 400 ms outweighs a
	// cross-region round trip from a failure rate of about 1 in 6: a lost shard
	// costs a tenth of an answer or all of it, a longer round trip only time. A
	// much lower cost still prefers nearby leaves that reject most calls.
	failureCostMs = 400.0
	// coldCostMs reserves leaves that have just started for calls that others have
	// no capacity for: they take 1.6 times as long.
	coldCostMs = 25.0
	// otherDomainCostMs prefers the host's own failure domain among equals; bytes
	// between domains are billed.
	otherDomainCostMs = 1.5
)

// choice is the result of selecting a leaf.
type choice struct {
	leaf *leaf
	// full is set if a leaf was excluded for lack of capacity.
	full bool
	// unhealthy is set if an unhealthy leaf was excluded since it may not be tried now.
	unhealthy bool
}

// selectLeaf chooses the leaf that is expected to answer a shard first, among those
// not called for it yet. With allowProbe, an unhealthy leaf may be tried if there is no
// other, not even a full one, and its next probe is due.
func (e *Engine) selectLeaf(now clock.Milli, s *shard, allowProbe bool) choice {
	var c choice
	var best float64
	for _, f := range e.services[s.service].leaves {
		if !e.usable(f, s) {
			continue
		}
		if f.unhealthy && (!allowProbe || now < f.probeAt) {
			c.unhealthy = true
			continue
		}
		if len(f.inFlight) >= e.callLimit(now, f, s.query) {
			c.full = true
			continue
		}
		if !e.admitsCold(now, f) {
			c.full = true
			continue
		}
		cost := e.cost(now, f)
		if c.leaf == nil || cost < best {
			c.leaf, best = f, cost
		}
	}
	if c.leaf != nil && c.leaf.unhealthy && c.full {
		// Waiting for a healthy leaf is better.
		c.leaf = nil
	}
	return c
}

// lateCallLimit is the call limit for late queries: these are sent only to leaves that
// have no call of this host in flight. When all hosts come back from an outage together,
// the callers that had lost their connections retry within one second, along with new
// requests; if both were treated alike, the leaves' queues would make both late.
const lateCallLimit = 1

// callLimit returns how many calls this host may have in flight at a leaf, counting the
// one to be sent for the query.
func (e *Engine) callLimit(now clock.Milli, f *leaf, q *query) int {
	switch {
	case !e.slow(now, f, q) && q.late:
		return min(f.connLimit, lateCallLimit)
	case !e.slow(now, f, q):
		return f.connLimit
	}
	return min(f.connLimit, slowCallLimit)
}

// usable reports whether a shard may be sent to a leaf, apart from the leaf's health and
// capacity.
func (e *Engine) usable(f *leaf, s *shard) bool {
	if f.Draining || f.removed || e.domainsOut[f.Domain] || s.tried(f) {
		return false
	}
	return s.query.route.Allows(f.region)
}

// admitsCold reports whether a leaf can take one more request: a cold one only at the
// operators' rate, of which this host has its part. Without a rate, every leaf can.
func (e *Engine) admitsCold(now clock.Milli, f *leaf) bool {
	rate := e.services[f.Service].config.ColdRate
	if rate <= 0 || !f.cold(now) {
		return true
	}
	return f.warmupLimiter.Allowed(now, rate, f.sharers)
}

// cost returns the expected time in ms until a leaf answers one more call, plus
// penalties.
func (e *Engine) cost(now clock.Milli, f *leaf) float64 {
	typical := e.typicalLatency(f)
	c := f.expected(now, typical)
	// Each call in flight occupies a slot for its service time, the latency without
	// the round trip.
	c += float64(len(f.inFlight)) * max(minServiceTimeMs, c-e.minLatency(f)) / float64(max(1, f.Slots))
	c += f.overdue(now)
	c += f.currentFailureRatio(now) * failureCostMs
	if f.cold(now) {
		c += coldCostMs
	}
	if f.Domain != e.Self.Domain {
		c += otherDomainCostMs
	}
	if f.region != e.Self.Region {
		c += e.Policy.FarRegionPenalty
	}
	if f.unhealthy {
		c += unhealthyCostMs
	}
	return c
}

const (
	// minServiceTimeMs is the least time that a call is assumed to occupy a slot.
	minServiceTimeMs = 4.0
	// unhealthyCostMs ranks unhealthy leaves behind all others.
	unhealthyCostMs = 2000.0
)

// minLatency returns the lowest recent latency of any leaf of the region: about the
// network round trip. It is 0 until one is measured.
func (e *Engine) minLatency(f *leaf) float64 { return e.regions[f.region].minLatency }

// typicalLatency returns the typical latency of successful calls in a leaf's region, or a
// default until one is measured.
func (e *Engine) typicalLatency(f *leaf) float64 {
	if latency := e.regions[f.region].typicalLatency; latency > 0 {
		return latency
	}
	if f.region == e.Self.Region {
		return defaultNearLatencyMs
	}
	return defaultFarLatencyMs
}

// Latencies assumed until a region's leaves have answered.
const (
	defaultNearLatencyMs = 20.0
	defaultFarLatencyMs  = 60.0
)

// region holds the latencies measured in a region.
type region struct{ minLatency, typicalLatency float64 }

// observe updates the latencies with a reply time. The minimum falls at once and rises
// slowly, so that it follows a round trip that has become longer. In the typical latency, a
// single reply counts for at most three times its former value.
func (r *region) observe(took float64) {
	if r.typicalLatency == 0 {
		r.minLatency, r.typicalLatency = took, took
		return
	}
	r.minLatency = min(took, r.minLatency+(took-r.minLatency)/512)
	r.typicalLatency += (min(took, 3*r.typicalLatency) - r.typicalLatency) / 32
}
