package router

import (
	"slices"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// peer is the state of another host as a target for forwarding.
type peer struct {
	Peer
	region string
	// roundTrip is the smoothed round trip to it in ms; 0 if unknown.
	roundTrip float64
	inFlight  []*forward
	// rank orders the aggregators of a failure domain, differently on each host.
	rank uint64
	// backoffUntil is when the host may get forwards again after a failure, and
	// backoff the length of that time.
	backoffUntil clock.Milli
	backoff      clock.Milli
}

const (
	// defaultFarRoundTripMs and defaultNearRoundTripMs apply to other regions and
	// to the own region until a round trip is measured.
	defaultFarRoundTripMs  = 45.0
	defaultNearRoundTripMs = 5.0
	roundTripGain          = 1.0 / 8
	// minPeerBackoff and maxPeerBackoff bound the backoff after failed forwards.
	minPeerBackoff = clock.Second
	maxPeerBackoff = 8 * clock.Second
	// forwardGrace is how long past its query's target a forwarded answer may be before
	// its host gets no further requests.
	forwardGrace clock.Milli = 60
	// minForwardShards is the least number of shards that is worth forwarding.
	minForwardShards = 3
	// minForwardTime is the least time, in addition to the round trip, that must be
	// left for forwarding to be of use.
	minForwardTime clock.Milli = 30
)

// setPeers replaces the list of other hosts, and recomputes what depends on it. The state
// of a host is kept unless it has restarted.
func (e *Engine) setPeers(now clock.Milli, list []Peer) {
	known := e.peers
	e.peers = make(map[string]*peer, len(list))
	e.peersByDomain = map[string][]*peer{}
	for _, p := range list {
		entry := known[p.Address]
		if entry == nil || entry.Started != p.Started {
			// Each host has an order of its own, so that together they load all
			// others evenly.
			entry = &peer{rank: rank.Hash(e.Self.Host, " ", p.Address)}
		}
		entry.Peer = p
		entry.region = e.Regions[p.Domain]
		e.peers[p.Address] = entry
		e.peersByDomain[p.Domain] = append(e.peersByDomain[p.Domain], entry)
	}
	e.setAggregators()
	e.preconnect(known)
	hosts := max(e.Policy.MinHosts, len(list)+1)
	// With aggregators, the shares also depend on the number of hosts in each domain.
	if claims := e.canClaim(now); hosts != e.hosts || claims != e.claimsShare || e.anyUsesAggregators() {
		e.hosts, e.claimsShare = hosts, claims
		e.updateShares(now)
	}
	if len(known) != len(list) {
		e.emit(LogRecord{Kind: LogPeers, Count: len(list), Total: hosts})
	}
}

// preconnect opens connections to the hosts that are new and get forwards first.
func (e *Engine) preconnect(known map[string]*peer) {
	for domain, peers := range e.peersByDomain {
		if domain == e.Self.Domain && e.aggregator {
			continue // this host calls the domain's leaves itself
		}
		for _, p := range peers[:min(len(peers), e.Policy.Aggregators)] {
			if known[p.Address] == nil {
				e.emit(Preconnect{Address: p.Address})
			}
		}
	}
}

// splitShards divides a query's shards into those requested from here and those forwarded
// to other hosts. An aggregator requests the shards that have a leaf in its own failure domain.
// The others are grouped by the nearest failure domain with a leaf or, if this host's region has
// none, by region; a group below minForwardShards, or for which no host is available, is
// requested from here.
func (e *Engine) splitShards(now clock.Milli, q *query) (local []*shard, remote []forwardGroup) {
	if !q.route.Sharded() || len(e.peers) == 0 {
		return q.shards, nil
	}
	var far []*shard
	near := map[string][]*shard{}
	for _, s := range q.shards {
		switch domain := e.nearestDomain(s); {
		case domain == e.Self.Domain && e.aggregator:
			local = append(local, s)
		case domain == "":
			far = append(far, s)
		default:
			near[domain] = append(near[domain], s)
		}
	}
	for _, domain := range sortedKeys(near) {
		group := near[domain]
		p := e.selectPeerIn(now, q, domain)
		if p == nil || len(group) < minForwardShards {
			local = append(local, group...)
			continue
		}
		remote = append(remote, forwardGroup{p, group})
	}
	for len(far) >= minForwardShards {
		p, group, other := e.selectFarPeer(now, q, far)
		if p == nil {
			break
		}
		remote = append(remote, e.splitByDomain(now, q, p, group)...)
		far = other
	}
	return append(local, far...), remote
}

// splitByDomain divides shards that have leaves in p's region into groups to forward: one
// to a host in each failure domain that has leaves of at least minForwardShards of them and
// uses aggregators, and the rest to p.
func (e *Engine) splitByDomain(now clock.Milli, q *query, p *peer, group []*shard) []forwardGroup {
	domains := map[string][]*shard{}
	for _, s := range group {
		domain := e.leafDomain(s, p)
		domains[domain] = append(domains[domain], s)
	}
	rest := forwardGroup{peer: p, shards: domains[p.Domain]}
	delete(domains, p.Domain)
	var list []forwardGroup
	for _, domain := range sortedKeys(domains) {
		other := e.selectPeerIn(now, q, domain)
		if other == nil || !e.usesAggregators(domain) || len(domains[domain]) < minForwardShards {
			rest.shards = append(rest.shards, domains[domain]...)
			continue
		}
		list = append(list, forwardGroup{other, domains[domain]})
	}
	if len(rest.shards) > 0 {
		list = append(list, rest)
	}
	return list
}

// leafDomain returns the failure domain of a shard's healthy leaf in a host's region,
// preferably the host's own, which is also returned if there is none.
func (e *Engine) leafDomain(s *shard, p *peer) string {
	found := p.Domain
	for _, f := range e.services[s.service].leaves {
		if f.region != p.region || f.unhealthy || !e.usable(f, s) {
			continue
		}
		if f.Domain == p.Domain {
			return f.Domain
		}
		found = f.Domain
	}
	return found
}

// forwardGroup is the shards forwarded to one host.
type forwardGroup struct {
	peer   *peer
	shards []*shard
}

// sortedKeys returns the failure domains of groups in a fixed order: that of a map's keys varies.
func sortedKeys(groups map[string][]*shard) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// nearestDomain returns the failure domain in this region that has a healthy leaf for
// a shard: preferably this host's own, else the first by name; "" if there is none.
func (e *Engine) nearestDomain(s *shard) string {
	found := ""
	for _, f := range e.services[s.service].leaves {
		if f.region != e.Self.Region || f.unhealthy || !e.usable(f, s) {
			continue
		}
		if f.Domain == e.Self.Domain {
			return f.Domain
		}
		if found == "" || f.Domain < found {
			found = f.Domain
		}
	}
	return found
}

// hasLeafIn reports whether a region has a healthy leaf for a shard.
func (e *Engine) hasLeafIn(s *shard, region string) bool {
	for _, f := range e.services[s.service].leaves {
		if f.region == region && !f.unhealthy && e.usable(f, s) {
			return true
		}
	}
	return false
}

// selectPeerIn chooses the host of a failure domain that shards are forwarded to, by round
// trip and load among the first Policy.Aggregators available ones; nil if no host is available
// that can answer in time.
func (e *Engine) selectPeerIn(now clock.Milli, q *query, domain string) *peer {
	var best *peer
	var cost float64
	candidates := 0
	for _, p := range e.peersByDomain[domain] {
		if p.Suspected || now < p.backoffUntil || e.hasOverdueForward(now, p) || q.target-now < clock.Milli(e.roundTrip(p))+minForwardTime {
			continue
		}
		c := e.roundTrip(p) + float64(len(p.inFlight))*forwardCostMs
		if best == nil || c < cost {
			best, cost = p, c
		}
		if candidates++; candidates == e.Policy.Aggregators {
			break
		}
	}
	return best
}

// selectFarPeer chooses a host in another region for shards that have no leaf in this
// one, and splits them into those that have a leaf in its region and the others. It
// returns no host if no available one has leaves for minForwardShards of them in its region.
func (e *Engine) selectFarPeer(now clock.Milli, q *query, far []*shard) (best *peer, group, other []*shard) {
	var cost float64
	for domain := range e.peersByDomain {
		region := e.Regions[domain]
		if region == e.Self.Region || !q.route.Allows(region) {
			continue
		}
		p := e.selectPeerIn(now, q, domain)
		if p == nil {
			continue
		}
		near := 0
		for _, s := range far {
			if e.hasLeafIn(s, region) {
				near++
			}
		}
		if near < minForwardShards {
			continue
		}
		// Prefers a less loaded, nearer host with more of the shards in its region.
		c := e.roundTrip(p) + float64(len(p.inFlight))*forwardCostMs - float64(near)/float64(len(far))*regionBonusMs
		// Among equals, rank decides: the order of a map's keys varies.
		if best == nil || c < cost || (c == cost && p.rank < best.rank) {
			best, cost = p, c
		}
	}
	if best == nil {
		return nil, nil, far
	}
	for _, s := range far {
		if e.hasLeafIn(s, best.region) {
			group = append(group, s)
		} else {
			other = append(other, s)
		}
	}
	return best, group, other
}

const (
	// forwardCostMs is the cost of each request in flight at a host.
	forwardCostMs = 6.0
	// regionBonusMs is the bonus of a host whose region has a leaf of every shard.
	regionBonusMs = 30.0
)

// roundTrip returns the round trip to a host in ms, or a default until it is measured.
func (e *Engine) roundTrip(p *peer) float64 {
	switch {
	case p.roundTrip > 0:
		return p.roundTrip
	case p.region == e.Self.Region:
		return defaultNearRoundTripMs
	}
	return defaultFarRoundTripMs
}

// hasOverdueForward reports whether a host's oldest forward is past its query's target by
// more than forwardGrace: the host is taken to have stalled or to be unreachable.
func (e *Engine) hasOverdueForward(now clock.Milli, p *peer) bool {
	return len(p.inFlight) > 0 && now > p.inFlight[0].query.target+forwardGrace
}

// recordForward updates a host's round trip and backoff with the outcome of a forward. A
// failure, or a refusal other than for lack of capacity or for a harmful request, starts a
// backoff, which doubles with each in a row.
func (e *Engine) recordForward(now clock.Milli, fwd *forward, d CallDone) {
	p := fwd.peer
	if d.Refusal == NoCapacity || d.Refusal == Harmful {
		p.backoff = 0 // its leaves have no capacity, or crash; the host is healthy
		return
	}
	if d.Kind == call.Answered {
		p.backoff = 0
		roundTrip := float64(now - fwd.sent - d.ProcessingTime)
		if d.ProcessingTime > 0 && roundTrip > 0 {
			if p.roundTrip == 0 {
				p.roundTrip = roundTrip
			}
			p.roundTrip += (roundTrip - p.roundTrip) * roundTripGain
		}
		return
	}
	gaveUp := d.Kind == call.Cancelled || d.Kind == call.Withdrawn
	if gaveUp && now < fwd.query.target+forwardGrace {
		return // the query ended early, such as when its caller disconnected
	}
	p.backoff = min(max(minPeerBackoff, 2*p.backoff), maxPeerBackoff)
	p.backoffUntil = now + p.backoff
	e.emit(LogRecord{Kind: LogPeerUnhealthy, Leaf: p.Address, Cause: d.Kind.String() + ": " + d.Cause, Took: now - fwd.sent})
}
