package router

import (
	"slices"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// peer is another host and how forwarded requests fared there.
type peer struct {
	Peer
	region string
	// way is the round trip to it in ms, smoothed; 0 is not known.
	way float64
	out []*forward
	// rank orders the aggregators of a failure domain, differently on each host.
	rank uint64
	// until is the end of a pause after a failure, and pause its length.
	until clock.Milli
	pause clock.Milli
}

const (
	// unknownFarWay and unknownNearWay are the round trips in ms to other
	// regions, and within the own, that are taken until one is known.
	unknownFarWay  = 45.0
	unknownNearWay = 5.0
	wayGain        = 1.0 / 8
	// peerPauseLeast and peerPauseMost bound the pause after forwarded shards failed.
	peerPauseLeast = clock.Second
	peerPauseMost  = 8 * clock.Second
	// forwardGrace is how long past its target a forwarded answer may take before
	// its host is avoided by further requests.
	forwardGrace clock.Milli = 60
	// forwardShards is the least number of shards that is worth forwarding.
	forwardShards = 3
	// forwardLeast is the least time that must be left for forwarding to be of use,
	// beside the way.
	forwardLeast clock.Milli = 30
)

// setPeers takes over the list of other hosts.
func (e *Engine) setPeers(now clock.Milli, list []Peer) {
	known := e.peers
	e.peers = make(map[string]*peer, len(list))
	e.near = map[string][]*peer{}
	for _, p := range list {
		one := known[p.Address]
		if one == nil || one.Started != p.Started {
			// Each host has an order of its own, so that all together use all
			// others alike.
			one = &peer{rank: rank.Hash(e.Self.Host, " ", p.Address)}
		}
		one.Peer = p
		one.region = e.Regions[p.Domain]
		e.peers[p.Address] = one
		e.near[p.Domain] = append(e.near[p.Domain], one)
	}
	e.setAggregators()
	e.warm(known)
	hosts := max(e.Policy.MinHosts, len(list)+1)
	if claims := e.mayClaim(now); hosts != e.hosts || claims != e.claims || e.tiered() {
		e.hosts, e.claims = hosts, claims
		e.share(now)
	}
	if len(known) != len(list) {
		e.do(Note{Kind: NotePeers, Count: len(list), Total: hosts})
	}
}

// warm opens connections ahead to the hosts that are used first.
func (e *Engine) warm(known map[string]*peer) {
	for domain, peers := range e.near {
		if domain == e.Self.Domain && e.aggregator {
			continue
		}
		for _, p := range peers[:min(len(peers), e.Policy.Aggregators)] {
			if known[p.Address] == nil {
				e.do(Preconnect{Address: p.Address})
			}
		}
	}
}

// split tells which shards of a query are asked for from here, and which are
// handed to whom.
func (e *Engine) split(now clock.Milli, q *query) (here []*shard, away []handover) {
	if !q.route.Merged() || len(e.peers) == 0 {
		return q.shards, nil
	}
	var far []*shard
	near := map[string][]*shard{}
	for _, s := range q.shards {
		switch domain := e.nearest(s); {
		case domain == e.Self.Domain && e.aggregator:
			here = append(here, s)
		case domain == "":
			far = append(far, s)
		default:
			near[domain] = append(near[domain], s)
		}
	}
	for _, domain := range sorted(near) {
		group := near[domain]
		p := e.helperIn(now, q, domain)
		if p == nil || len(group) < forwardShards {
			here = append(here, group...)
			continue
		}
		away = append(away, handover{p, group})
	}
	for len(far) >= forwardShards {
		p, group, other := e.helper(now, q, far)
		if p == nil {
			break
		}
		away = append(away, e.byDomain(now, q, p, group)...)
		far = other
	}
	return append(here, far...), away
}

// byDomain hands shards for a region to a host of each failure domain in which they
// have a leaf, where others than a domain's aggregators do not ask its leaves; the
// rest goes to one host.
func (e *Engine) byDomain(now clock.Milli, q *query, p *peer, group []*shard) []handover {
	domains := map[string][]*shard{}
	for _, s := range group {
		domain := e.domainIn(s, p)
		domains[domain] = append(domains[domain], s)
	}
	rest := handover{peer: p, shards: domains[p.Domain]}
	delete(domains, p.Domain)
	var list []handover
	for _, domain := range sorted(domains) {
		other := e.helperIn(now, q, domain)
		if other == nil || !e.tieredIn(domain) || len(domains[domain]) < forwardShards {
			rest.shards = append(rest.shards, domains[domain]...)
			continue
		}
		list = append(list, handover{other, domains[domain]})
	}
	if len(rest.shards) > 0 {
		list = append(list, rest)
	}
	return list
}

// domainIn is the failure domain of a shard's trusted leaf in a host's region, the
// host's own one first.
func (e *Engine) domainIn(s *shard, p *peer) string {
	found := p.Domain
	for _, f := range e.services[s.service].leafs {
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

// handover is shards for another host.
type handover struct {
	peer   *peer
	shards []*shard
}

func sorted(groups map[string][]*shard) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// nearest is the failure domain of this region that has a trusted leaf for a
// shard, the own one first; empty if there is none.
func (e *Engine) nearest(s *shard) string {
	found := ""
	for _, f := range e.services[s.service].leafs {
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

// leafIn tells whether a region has a trusted leaf for a shard.
func (e *Engine) leafIn(s *shard, region string) bool {
	for _, f := range e.services[s.service].leafs {
		if f.region == region && !f.unhealthy && e.usable(f, s) {
			return true
		}
	}
	return false
}

// helperIn is the host of a failure domain that shards are forwarded to.
func (e *Engine) helperIn(now clock.Milli, q *query, domain string) *peer {
	var best *peer
	var cost float64
	seen := 0
	for _, p := range e.near[domain] {
		if p.Suspected || now < p.until || e.overdueForward(now, p) || q.target-now < clock.Milli(e.trip(p))+forwardLeast {
			continue
		}
		c := e.trip(p) + float64(len(p.out))*forwardLoad
		if best == nil || c < cost {
			best, cost = p, c
		}
		if seen++; seen == e.Policy.Aggregators {
			break
		}
	}
	return best
}

// helper chooses a host in another region for shards that have no leaf in this
// one, and splits them into those that have one in its region and the others.
func (e *Engine) helper(now clock.Milli, q *query, far []*shard) (best *peer, group, other []*shard) {
	var cost float64
	for domain := range e.near {
		region := e.Regions[domain]
		if region == e.Self.Region || !q.route.Allows(region) {
			continue
		}
		p := e.helperIn(now, q, domain)
		if p == nil {
			continue
		}
		near := 0
		for _, s := range far {
			if e.leafIn(s, region) {
				near++
			}
		}
		if near < forwardShards {
			continue
		}
		// A host with less to do, nearer, and with more of the shards beside it.
		c := e.trip(p) + float64(len(p.out))*forwardLoad - float64(near)/float64(len(far))*regionGain
		if best == nil || c < cost || (c == cost && p.rank < best.rank) {
			best, cost = p, c
		}
	}
	if best == nil {
		return nil, nil, far
	}
	for _, s := range far {
		if e.leafIn(s, best.region) {
			group = append(group, s)
		} else {
			other = append(other, s)
		}
	}
	return best, group, other
}

const (
	// forwardLoad is what a request under way at a host counts for, in ms.
	forwardLoad = 6.0
	// regionGain is what it counts for, in ms, that a host's region holds a
	// leaf of every shard.
	regionGain = 30.0
)

// trip is the round trip to a host in ms.
func (e *Engine) trip(p *peer) float64 {
	switch {
	case p.way > 0:
		return p.way
	case p.region == e.Self.Region:
		return unknownNearWay
	}
	return unknownFarWay
}

// overdueForward tells whether a host owes an answer that should have come: it
// stands still or is cut off.
func (e *Engine) overdueForward(now clock.Milli, p *peer) bool {
	return len(p.out) > 0 && now > p.out[0].query.target+forwardGrace
}

// judge learns from the end of forwarded shards.
func (e *Engine) judge(now clock.Milli, r *forward, d Done) {
	p := r.peer
	if d.Refusal == NoRoom {
		p.pause = 0 // its leaves have no room; the host is well
		return
	}
	if d.Kind == call.Answered {
		p.pause = 0
		way := float64(now - r.sent - d.ProcessingTime)
		if d.ProcessingTime > 0 && way > 0 {
			if p.way == 0 {
				p.way = way
			}
			p.way += (way - p.way) * wayGain
		}
		return
	}
	gaveUp := d.Kind == call.Cancelled || d.Kind == call.Withdrawn
	if gaveUp && now < r.query.target+forwardGrace {
		return // the caller left
	}
	p.pause = min(max(peerPauseLeast, 2*p.pause), peerPauseMost)
	p.until = now + p.pause
	e.do(Note{Kind: NotePeerUnhealthy, Leaf: p.Address, Cause: d.Kind.String() + ": " + d.Cause, Took: now - r.sent})
}
