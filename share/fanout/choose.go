package fanout

import (
	"math"

	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
)

// candidate is a leaf that can be called through a host.
type candidate struct {
	leaf *leaf
	host string
	// latency is the expected time in ms, including the round trip.
	latency float64
	rtt     float64 // round-trip time to the host in ms
}

// candidates returns the usable replicas of a shard that were not tried yet.
func (e *Engine) candidates(now clock.Milli, q *activeQuery, shard int) []candidate {
	st := &q.shards[shard]
	var list []candidate
	for _, f := range q.service.shards[q.pin.Layout][shard] {
		if st.tried[f.name] || !e.usable(f, q.pin) {
			continue
		}
		if c, ok := e.candidateFor(now, f, nil); ok {
			list = append(list, c)
		}
	}
	return list
}

// candidateFor returns a leaf with the aggregator through which to call it. It reports
// false if no aggregator outside skip is connected.
func (e *Engine) candidateFor(now clock.Milli, f *leaf, skip map[string]bool) (candidate, bool) {
	name := e.aggregatorFor(f, skip)
	if name == "" {
		return candidate{}, false
	}
	rtt := e.hosts[name].rtt
	return candidate{leaf: f, host: name, rtt: rtt, latency: rtt + e.expectedLatency(now, f)}, true
}

// expectedLatency returns the time in ms that a call to the leaf is expected to
// take: its latency, plus the wait for a slot if none is free. Among leaves with free
// slots, the less loaded one is ranked first.
func (e *Engine) expectedLatency(now clock.Milli, f *leaf) float64 {
	// At least 1 ms, so that the load counts also while the latency is unknown (0).
	latency := max(f.decayedLatency(now, f.service.timing.median), f.feedback.CallTime, 1)
	limit := float64(max(f.feedback.Limit, 1))
	ahead := float64(max(f.feedback.Busy+f.feedback.Queued, f.inFlight))
	wait := max(0, ahead-limit+1) / limit // in multiples of the latency
	return latency * (1 + wait + loadTieBreak*ahead/limit)
}

// decayedLatency returns a leaf's mean latency, decayed towards the median of its
// service as it ages. A slow leaf is avoided and yields no new samples, so without
// the decay it would be avoided forever.
func (f *leaf) decayedLatency(now clock.Milli, median float64) float64 {
	if f.meanLatency <= median {
		return f.meanLatency
	}
	age := float64(now-f.updatedAt) / float64(latencyHalfLife)
	return median + (f.meanLatency-median)*math.Exp2(-age)
}

// latencyHalfLife is the half-life of an above-median latency.
const latencyHalfLife = clock.Second

// loadTieBreak is the weight of the load among leaves with free slots.
const loadTieBreak = 0.05

// hasFreeSlot reports whether a leaf appears to have a free slot.
func (f *leaf) hasFreeSlot() bool {
	return max(f.feedback.Busy+f.feedback.Queued, f.inFlight) < f.feedback.Limit
}

// choose selects a candidate. Nearby ones are preferred; a distant one is chosen if
// its expected latency is lower despite the longer round trip. ChooseRandom ignores both.
func (e *Engine) choose(list []candidate) candidate {
	if e.Policy.Choice == ChooseRandom {
		return list[e.Random.IntN(len(list))]
	}
	nearest := list[0].rtt
	for _, c := range list {
		nearest = min(nearest, c.rtt)
	}
	var near, far []candidate
	for _, c := range list {
		if c.rtt <= nearest+nearbyMarginMS {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	best := e.chooseNear(near)
	for _, c := range far {
		if c.latency < best.latency {
			best = c
		}
	}
	return best
}

// chooseNear selects one of the nearby candidates by the policy.
func (e *Engine) chooseNear(near []candidate) candidate {
	if len(near) == 1 {
		return near[0]
	}
	if e.Policy.Choice == ChooseLeastLoaded {
		best := near[0]
		for _, c := range near[1:] {
			if c.latency < best.latency {
				best = c
			}
		}
		return best
	}
	// Power of two choices: entries act on feedback of different ages, and would
	// all choose the same leaf if each took the least loaded one.
	i := e.Random.IntN(len(near))
	j := e.Random.IntN(len(near) - 1)
	if j >= i {
		j++
	}
	if near[j].latency < near[i].latency {
		return near[j]
	}
	return near[i]
}

// canaryLeaf chooses the leaf that runs the query's next canary, and its shard. Leaves of
// this failure domain are preferred. All entries of a failure domain that know the same
// leaves as usable choose the same one, so one aggregator sees all canaries of a
// fingerprint and runs one at a time. It reports false if no leaf can be called.
func (e *Engine) canaryLeaf(now clock.Milli, q *activeQuery) (candidate, int, bool) {
	var names []string
	var found []candidate
	var shards []int
	local := false
	for shard := range q.shards {
		if q.shards[shard].inFlight > 0 {
			continue // a second canary uses another shard, so it adds no extra call
		}
		for _, c := range e.candidates(now, q, shard) {
			sameDomain := c.leaf.domain == e.Domain
			if sameDomain && !local {
				names, found, shards = names[:0], found[:0], shards[:0]
				local = true
			}
			if sameDomain == local {
				names = append(names, c.leaf.name)
				found = append(found, c)
				shards = append(shards, shard)
			}
		}
	}
	i := assign.BestIndex(names, q.key)
	if i < 0 {
		return candidate{}, 0, false
	}
	return found[i], shards[i], true
}
