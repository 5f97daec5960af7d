package fanout

import (
	"math"

	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
)

// candidate is a leaf that may be asked now, through a host.
type candidate struct {
	leaf *leaf
	host string
	// cost is the time to expect, in ms.
	cost float64
	rtt  float64
}

// candidates lists the replicas of a shard that may be asked and were not yet.
func (e *Engine) candidates(now clock.Milli, q *running, shard int) []candidate {
	st := &q.shards[shard]
	var list []candidate
	for _, f := range q.service.shards[q.pin.Layout][shard] {
		if st.tried[f.name] || !e.usable(f, q.pin) {
			continue
		}
		if c, ok := e.candidate(now, f, nil); ok {
			list = append(list, c)
		}
	}
	return list
}

func (e *Engine) candidate(now clock.Milli, f *leaf, skip map[string]bool) (candidate, bool) {
	name := e.owner(f, skip)
	if name == "" {
		return candidate{}, false
	}
	rtt := e.hosts[name].rtt
	return candidate{leaf: f, host: name, rtt: rtt, cost: rtt + e.expect(now, f)}, true
}

// expect is how long a call to the leaf is likely to take: its usual time, and
// a wait for as many of the calls ahead as leave no slot free. Among leafs with
// free slots the one with more of them comes first.
func (e *Engine) expect(now clock.Milli, f *leaf) float64 {
	usual := max(f.usualNow(now, f.service.timing.typical), f.fb.CallTime, 1)
	limit := float64(max(f.fb.Limit, 1))
	ahead := float64(max(f.fb.Busy+f.fb.Queued, f.flying))
	wait := max(0, ahead-limit+1) / limit
	return usual * (1 + wait + tieBreak*ahead/limit)
}

// usualNow is a leaf's usual time, drawn towards the service's typical time as
// what is known of the leaf grows old. A leaf that was slow once is avoided, so
// nothing new is learnt of it; without this it would be avoided for ever.
func (f *leaf) usualNow(now clock.Milli, typical float64) float64 {
	if f.usual <= typical {
		return f.usual
	}
	age := float64(now-f.learnt) / float64(forgetHalf)
	return typical + (f.usual-typical)*math.Exp2(-age)
}

// forgetHalf is how long it takes until half of a bad reputation is forgotten.
const forgetHalf = clock.Second

// tieBreak weighs the load of leafs that have free slots.
const tieBreak = 0.05

// free tells whether a leaf seems to have a slot to spare.
func (f *leaf) free() bool {
	return max(f.fb.Busy+f.fb.Queued, f.flying) < f.fb.Limit
}

// choose picks one of the candidates. Near ones are preferred; a far one is
// taken when even its longer way promises an earlier answer.
func (e *Engine) choose(list []candidate) candidate {
	if e.Policy.Choose == ChooseRandom {
		return list[e.Random.IntN(len(list))]
	}
	least := list[0].rtt
	for _, c := range list {
		least = min(least, c.rtt)
	}
	var near, far []candidate
	for _, c := range list {
		if c.rtt <= least+nearby {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	best := e.chooseNear(near)
	for _, c := range far {
		if c.cost < best.cost {
			best = c
		}
	}
	return best
}

func (e *Engine) chooseNear(near []candidate) candidate {
	if len(near) == 1 {
		return near[0]
	}
	if e.Policy.Choose == ChooseLeastLoaded {
		best := near[0]
		for _, c := range near[1:] {
			if c.cost < best.cost {
				best = c
			}
		}
		return best
	}
	// Power of two choices: entries act on feedback of different ages, and if
	// each took the least loaded leaf, all would take the same one at once.
	i := e.Random.IntN(len(near))
	j := e.Random.IntN(len(near) - 1)
	if j >= i {
		j++
	}
	if near[j].cost < near[i].cost {
		return near[j]
	}
	return near[i]
}

// canaryLeaf picks where a request with an unproven fingerprint runs first. All
// entries of a failure domain pick the same leaf, so its aggregator sees all
// canaries of a fingerprint and lets one run at a time.
func (e *Engine) canaryLeaf(now clock.Milli, q *running) (candidate, int, bool) {
	var names []string
	var found []candidate
	var shards []int
	local := false
	for shard := range q.shards {
		if q.shards[shard].flying > 0 {
			continue // a second canary takes another shard, so it costs nothing extra
		}
		for _, c := range e.candidates(now, q, shard) {
			mine := c.leaf.domain == e.Domain
			if mine && !local {
				names, found, shards = names[:0], found[:0], shards[:0]
				local = true
			}
			if mine == local {
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
