package router

import (
	"cmp"
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
	"dandelionstile/share/route"
)

// The leaves of a failure domain are called by a few of its hosts, the aggregators;
// other hosts forward their queries to one of them. The load pattern: many hosts,
// each with few queries. If each of them called the leaves itself, it would rarely
// measure a leaf, hold mostly idle connections, and have too small a part of the
// budget for a single hedge or retry.
//
// All hosts choose the same aggregators, from the list of hosts alone: those with
// the highest capacity, and among equals by the hash of their addresses, so that the
// loss of one aggregator doesn't change the others.

// compare orders hosts by preference as aggregators: it is negative if p is preferred.
func (p Peer) compare(o Peer) int {
	if p.Capacity != o.Capacity {
		return cmp.Compare(o.Capacity, p.Capacity)
	}
	a, b := rank.Hash(p.Address), rank.Hash(o.Address)
	if a != b {
		return cmp.Compare(a, b)
	}
	return cmp.Compare(p.Address, o.Address)
}

// setAggregators determines whether this host is an aggregator, and orders the hosts of
// each failure domain: first the aggregators, in an order that differs from host to host
// so that their load is even, then the other hosts, which replace aggregators that fail.
func (e *Engine) setAggregators() {
	self := Peer{Address: e.Self.Address, Domain: e.Self.Domain, Capacity: e.Self.Capacity}
	for domain, peers := range e.peersByDomain {
		slices.SortFunc(peers, func(a, b *peer) int { return a.compare(b.Peer) })
		aggregators := e.Policy.Aggregators // those among peers
		if domain == e.Self.Domain {
			ahead := 0
			for _, p := range peers {
				if p.compare(self) < 0 {
					ahead++
				}
			}
			e.aggregator = ahead < e.Policy.Aggregators
			if e.aggregator {
				aggregators-- // peers lacks this host
			}
		}
		aggregators = min(aggregators, len(peers))
		slices.SortFunc(peers[:aggregators], func(a, b *peer) int { return cmp.Compare(a.rank, b.rank) })
	}
	// Without other hosts in this host's domain, the loop above skips the domain.
	if len(e.peersByDomain[e.Self.Domain]) == 0 {
		e.aggregator = true
	}
}

// Hosts share the connections to a leaf, the request rate of a cold leaf and the reserve
// of the budget. An aggregator takes a larger part of these than other hosts, which call
// leaves of other failure domains, or of their own if no aggregator is reachable. Hosts
// with different lists of hosts may together exceed the total; therefore a host that no
// longer sees most of its failure domain doesn't take an aggregator's part.

const (
	// aggregatorsShare is the part of a leaf or of the reserve that all aggregators take together.
	aggregatorsShare = 0.75
	// minVisibleShare is the share of the failure domain's hosts that an
	// aggregator must see, and recentMaxWindow how long hosts count after they
	// were last seen.
	minVisibleShare = 0.5
	recentMaxWindow = 30 * clock.Second
)

// recentMax is the largest recent value of a number; at is when the number last reached it.
type recentMax struct {
	value int
	at    clock.Milli
}

// observe records the current value and returns the largest recent one. A largest value that
// isn't reached again for recentMaxWindow is replaced by the current one.
func (m *recentMax) observe(now clock.Milli, value int) int {
	if value >= m.value || now > m.at+recentMaxWindow {
		m.value, m.at = value, now
	}
	return m.value
}

// canClaim reports whether this host may take an aggregator's part: it is an aggregator
// and sees most of its failure domain. It also records the number of hosts that it sees.
func (e *Engine) canClaim(now clock.Milli) bool {
	visible := len(e.peersByDomain[e.Self.Domain]) + 1 // with this host
	recent := e.domainHosts.observe(now, visible)
	return e.aggregator && float64(visible) >= minVisibleShare*float64(recent)
}

// anyUsesAggregators reports whether hosts of any failure domain forward their queries
// to aggregators.
func (e *Engine) anyUsesAggregators() bool {
	for domain := range e.peersByDomain {
		if e.usesAggregators(domain) {
			return true
		}
	}
	return false
}

// usesAggregators reports whether a failure domain has more hosts than aggregators, so
// that the other hosts forward their queries to those.
func (e *Engine) usesAggregators(domain string) bool {
	hosts := len(e.peersByDomain[domain])
	if domain == e.Self.Domain {
		hosts = e.domainHosts.value // counts this host, and those seen recently
	}
	return hosts > e.Policy.Aggregators
}

// leafSharers returns the number of hosts that would share a leaf if each took as large
// a part as this one. Each aggregator takes an equal part of aggregatorsShare, and each
// other host an equal part of the rest.
func (e *Engine) leafSharers(f *leaf) float64 {
	hosts := float64(e.hosts)
	switch {
	case !e.sharded[f.Service] || !e.usesAggregators(f.Domain):
		return hosts
	case e.claimsShare && f.Domain == e.Self.Domain:
		return float64(e.Policy.Aggregators) / aggregatorsShare
	}
	return hosts / (1 - aggregatorsShare)
}

// budgetSharers returns the number of hosts that would share a service's budget
// reserve if each took as large a part as this one.
func (e *Engine) budgetSharers(s *service) float64 {
	hosts := float64(e.hosts)
	domains := map[string]bool{}
	for _, f := range s.leaves {
		if !e.sharded[f.Service] || !e.usesAggregators(f.Domain) {
			// All hosts call this leaf, and take equal parts of the reserve.
			return hosts
		}
		domains[f.Domain] = true
	}
	switch {
	case len(domains) == 0:
		return hosts
	case e.claimsShare && domains[e.Self.Domain]:
		return float64(len(domains)*e.Policy.Aggregators) / aggregatorsShare
	}
	return hosts / (1 - aggregatorsShare)
}

// shardServices returns the services that are shards of a route.
func shardServices(t *route.Table) map[string]bool {
	names := map[string]bool{}
	for i := range t.Routes {
		for _, name := range t.Routes[i].Shards {
			names[name] = true
		}
	}
	return names
}
