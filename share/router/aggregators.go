package router

import (
	"cmp"
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
	"dandelionstile/share/route"
)

// The leaves of a failure domain are asked by a few of its hosts, the aggregators;
// other hosts forward their queries to one of them. The load pattern: many hosts,
// each with few queries. If each of them asked the leaves itself, it would know a
// leaf by a call now and then, hold connections that are mostly idle, and have too
// small a part of the budget to make a second call.
//
// All hosts choose the same aggregators, from the list of hosts alone: those with
// most processor, and among equals by the hash of their addresses, so that the loss
// of one moves no other.

// before orders hosts by how well they serve as aggregators.
func (p Peer) before(o Peer) int {
	if p.Capacity != o.Capacity {
		return cmp.Compare(o.Capacity, p.Capacity)
	}
	a, b := rank.Hash(p.Address), rank.Hash(o.Address)
	if a != b {
		return cmp.Compare(a, b)
	}
	return cmp.Compare(p.Address, o.Address)
}

// setAggregators orders the hosts of each failure domain: the aggregators, each
// host's in an order of its own so that all together use them alike, and then the
// others, which stand in for them.
func (e *Engine) setAggregators() {
	self := Peer{Address: e.Self.Address, Domain: e.Self.Domain, Capacity: e.Self.Capacity}
	for domain, peers := range e.near {
		slices.SortFunc(peers, func(a, b *peer) int { return a.before(b.Peer) })
		first := e.Policy.Aggregators
		if domain == e.Self.Domain {
			ahead := 0
			for _, p := range peers {
				if p.before(self) < 0 {
					ahead++
				}
			}
			e.aggregator = ahead < e.Policy.Aggregators
			if e.aggregator {
				first--
			}
		}
		first = min(first, len(peers))
		slices.SortFunc(peers[:first], func(a, b *peer) int { return cmp.Compare(a.rank, b.rank) })
	}
	if len(e.near[e.Self.Domain]) == 0 {
		e.aggregator = true
	}
}

// An aggregator's part of what all hosts share, connections to a leaf, the rate of
// a cold one and the reserve of second calls, is larger than that of other hosts,
// which call leaves of other failure domains, or their own where no aggregator can
// be reached. Hosts whose lists differ may together take more than all of it; a
// host that has lost sight of its failure domain therefore takes no such part.

const (
	// aggregatorsPart is the part of all aggregators.
	aggregatorsPart = 0.75
	// minSeen is the share of the failure domain's hosts that an aggregator must
	// see, and peakMemory for how long hosts count that are not seen any more.
	minSeen    = 0.5
	peakMemory = 30 * clock.Second
)

// peak is the largest of a number's values of late.
type peak struct {
	value int
	at    clock.Milli
}

func (p *peak) feed(now clock.Milli, value int) int {
	if value >= p.value || now > p.at+peakMemory {
		p.value, p.at = value, now
	}
	return p.value
}

// mayClaim tells whether this host takes an aggregator's part.
func (e *Engine) mayClaim(now clock.Milli) bool {
	seen := len(e.near[e.Self.Domain]) + 1
	most := e.domainHosts.feed(now, seen)
	return e.aggregator && float64(seen) >= minSeen*float64(most)
}

// tiered tells whether any failure domain has hosts that are not aggregators.
func (e *Engine) tiered() bool {
	for domain := range e.near {
		if e.tieredIn(domain) {
			return true
		}
	}
	return false
}

// tieredIn tells whether a failure domain has hosts that are not aggregators.
func (e *Engine) tieredIn(domain string) bool {
	hosts := len(e.near[domain])
	if domain == e.Self.Domain {
		hosts = e.domainHosts.value
	}
	return hosts > e.Policy.Aggregators
}

// leafSharers is how many hosts share a leaf, if all were as this one.
func (e *Engine) leafSharers(f *leaf) float64 {
	hosts := float64(e.hosts)
	switch {
	case !e.sharded[f.Service] || !e.tieredIn(f.Domain):
		return hosts
	case e.claims && f.Domain == e.Self.Domain:
		return float64(e.Policy.Aggregators) / aggregatorsPart
	}
	return hosts / (1 - aggregatorsPart)
}

// budgetSharers is how many hosts share a service's reserve of second calls, if all were
// as this one.
func (e *Engine) budgetSharers(s *service) float64 {
	hosts := float64(e.hosts)
	domains := map[string]bool{}
	for _, f := range s.leafs {
		if !e.sharded[f.Service] || !e.tieredIn(f.Domain) {
			return hosts
		}
		domains[f.Domain] = true
	}
	switch {
	case len(domains) == 0:
		return hosts
	case e.claims && domains[e.Self.Domain]:
		return float64(len(domains)*e.Policy.Aggregators) / aggregatorsPart
	}
	return hosts / (1 - aggregatorsPart)
}

// shards names the services that are shards of a route.
func shards(t *route.Table) map[string]bool {
	names := map[string]bool{}
	for i := range t.Routes {
		for _, name := range t.Routes[i].Shards {
			names[name] = true
		}
	}
	return names
}
