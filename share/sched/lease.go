package sched

import (
	"maps"
	"slices"

	"dandelionstile/share/clock"
)

// Timing of the leases between the two candidates for a server.
const (
	// leaseDuration is how long a grant binds the host that gave it.
	leaseDuration = clock.Second
	// leaseRenewInterval is the time between two claims.
	leaseRenewInterval clock.Milli = 300
	// takeoverDuration is how long after a change of candidates or the end of a lease
	// the other candidate may still have calls at a server. Meanwhile two hosts
	// without a lease share its warm leaves equally and send nothing to cold ones. It
	// is longer than obtaining a lease takes.
	takeoverDuration = 2 * leaseDuration
	// maxLeafAge limits the ages of leaves that are exchanged.
	maxLeafAge = 10 * clock.Minute
)

// LeafAge is the time since the last evidence that a leaf was cold, not since its
// start. Known is false if the sender has no evidence.
type LeafAge struct {
	Leaf  string
	Age   clock.Milli
	Known bool
}

// ServerAges lists the leaves of a server with their ages.
type ServerAges struct {
	Server string
	Leaves []LeafAge
	// Granted is set, in a Grant, if the sender sends no calls to the server's leaves
	// while the lease lasts.
	Granted bool
}

// leases holds, per server, the lease from the other candidate and the lease
// granted to it.
//
// It prevents two hosts from sending full load to a cold leaf when a standby
// takes over from a primary that is only slow or paused. While a host holds a
// lease, the other candidate sends nothing to the server. The holder measures
// the lease from when it sent the claim, the other candidate from when it
// answered, which is later. So the holder's lease always ends first, regardless
// of pauses and delays.
type leases struct {
	servers   map[string]*lease
	claims    map[uint64]clock.Milli // send times by claim id
	lastClaim uint64
	renewedAt clock.Milli // when servers were last claimed; 0 claims them at the next tick
}

// lease is the lease state of one server.
type lease struct {
	peer         string      // the other candidate, or ""
	heldUntil    clock.Milli // end of the lease held by this host
	grantedUntil clock.Milli // end of the lease granted to the peer
	// changedAt is when the candidates last changed, a granted lease last ended early,
	// or this process last continued after a pause.
	changedAt clock.Milli
	// pendingClaim is the claim to answer once this host's calls have ended.
	pendingClaim uint64
	// releasing is set if the server is to be released once they have ended.
	releasing bool
}

// ensure returns the lease of a server, and creates it if there is none. If the
// other candidate has changed, the lease held from the former one ends; a lease granted
// to it stays in force.
func (l *leases) ensure(now clock.Milli, server, peer string) *lease {
	if l.servers == nil {
		l.servers = map[string]*lease{}
		l.claims = map[uint64]clock.Milli{}
	}
	s, ok := l.servers[server]
	if !ok {
		s = &lease{peer: peer, changedAt: now}
		l.servers[server] = s
	}
	if s.peer != peer {
		s.peer, s.heldUntil, s.changedAt = peer, 0, now
	}
	return s
}

// exclusive reports whether this host holds the lease or is the only candidate.
func (l *leases) exclusive(now clock.Milli, server string) bool {
	s, ok := l.servers[server]
	return ok && (s.peer == "" || now < s.heldUntil)
}

// granted reports whether the lease on a server is granted to the peer.
func (l *leases) granted(now clock.Milli, server string) bool {
	s, ok := l.servers[server]
	return ok && now < s.grantedUntil
}

// takeoverComplete reports whether the other candidate has had time to finish the
// calls that it may have had at the leaves before this host took over. The time runs
// from the last change of candidates or the end of the last granted lease.
func (l *leases) takeoverComplete(now clock.Milli, server string) bool {
	s, ok := l.servers[server]
	return ok && now-max(s.changedAt, s.grantedUntil) >= takeoverDuration
}

// restartTakeover treats all servers as if the other candidate had just used them.
func (l *leases) restartTakeover(now clock.Milli) {
	for _, s := range l.servers {
		s.changedAt = now
	}
}

// justStarted reports whether a lease granted by the previous process on this
// host may still be in force.
func (e *Engine) justStarted(now clock.Milli) bool { return now-e.startedAt < leaseDuration }

// PeerUp handles a new link to another aggregator. Claims go out at the next tick
// instead of after leaseRenewInterval.
func (e *Engine) PeerUp() { e.leases.renewedAt = 0 }

// renewClaims claims the servers for which this host is primary from their other
// candidates, every leaseRenewInterval. It skips servers whose lease it has granted. A
// leaving host claims nothing.
func (e *Engine) renewClaims(now clock.Milli) []Action {
	l := &e.leases
	if e.leaving || (l.renewedAt != 0 && now-l.renewedAt < leaseRenewInterval) {
		return nil
	}
	l.renewedAt = now
	for id, sentAt := range l.claims {
		if now-sentAt > leaseDuration {
			delete(l.claims, id)
		}
	}
	byHost := map[string][]ServerAges{}
	for _, f := range e.byName {
		host := l.servers[f.server].peer
		if f.rank != 0 || host == "" || l.granted(now, f.server) {
			continue
		}
		byHost[host] = appendAge(byHost[host], now, f)
	}
	var out []Action
	for _, h := range slices.Sorted(maps.Keys(byHost)) {
		l.lastClaim++
		l.claims[l.lastClaim] = now
		out = append(out, Claim{Host: h, ID: l.lastClaim, Servers: byHost[h]})
	}
	return out
}

// appendAge adds a leaf's age to the list's entry for its server. Leaves are sorted
// by name, so the leaves of a server may not be adjacent.
func appendAge(list []ServerAges, now clock.Milli, f *leaf) []ServerAges {
	for i := range list {
		if list[i].Server == f.server {
			list[i].Leaves = append(list[i].Leaves, f.age(now))
			return list
		}
	}
	return append(list, ServerAges{Server: f.server, Leaves: []LeafAge{f.age(now)}})
}

// age returns the time since the leaf was last known to be cold, at most
// maxLeafAge.
func (f *leaf) age(now clock.Milli) LeafAge {
	// A leaf that has passed its whole ramp on this host is known to be warm.
	known := f.ramp.known || f.ramp.remaining(now, f.warmUp) == 0
	return LeafAge{Leaf: f.Name, Age: min(f.ramp.sinceCold(now), maxLeafAge), Known: known}
}

// serverAges returns, for each leaf of a server, how long ago it was last known to be
// cold, and whether any leaf may still run calls of this host.
func (e *Engine) serverAges(now clock.Milli, server string) (ServerAges, bool) {
	s := ServerAges{Server: server}
	busy := false
	for _, f := range e.byName {
		if f.server == server {
			busy = busy || f.busy+f.lostCount(now) > 0
			s.Leaves = append(s.Leaves, f.age(now))
		}
	}
	return s, busy
}

// ClaimReceived answers another host's claim. A leaving host grants every server.
// Others grant a server unless they are primary for it or its candidates changed
// less than leaseDuration ago: entries learn of new owners at different times, and
// until all know, both hosts send half the load each. While calls of this host still
// run at a server, its grant is withheld, and sent by handOver. The answer always
// includes the known ages, so that a newly started host needn't treat warm leaves as
// cold.
func (e *Engine) ClaimReceived(now clock.Milli, host string, id uint64, servers []ServerAges) []Action {
	e.init(now)
	g := Grant{Host: host, ID: id, Duration: leaseDuration}
	for _, s := range servers {
		e.mergeAges(now, s)
		ages, busy := e.serverAges(now, s.Server)
		l := e.leases.ensure(now, s.Server, host)
		if e.leaving || (e.serverRank(s.Server) != 0 && now-l.changedAt >= leaseDuration) {
			// From here on, this host sends nothing to the server.
			l.grantedUntil, l.heldUntil = now+leaseDuration, 0
			ages.Granted = !busy
			l.pendingClaim = 0
			if busy {
				// Running calls count against the leaf's capacity: the grant is
				// binding now and is sent once they have ended.
				l.pendingClaim = id
			}
		}
		g.Servers = append(g.Servers, ages)
	}
	return []Action{g}
}

// ReleaseReceived ends the leases granted to another host on servers that it no
// longer uses.
func (e *Engine) ReleaseReceived(now clock.Milli, host string, servers []ServerAges) {
	e.init(now)
	for _, s := range servers {
		e.mergeAges(now, s)
		l := e.leases.servers[s.Server]
		if l != nil && l.peer == host && now < l.grantedUntil {
			l.grantedUntil, l.changedAt = now, now
		}
	}
}

// Leave stops admission on this host. Running calls are completed; each server is
// released to its other candidate once it has none left.
func (e *Engine) Leave(now clock.Milli) []Action {
	e.init(now)
	e.leaving = true
	var out []Action
	for _, f := range e.byName {
		l := e.leases.servers[f.server]
		l.heldUntil, l.releasing = 0, l.peer != ""
		out = append(out, e.handOver(now, f.server)...)
	}
	return out
}

// handOver sends the grant or release of a server that was waiting for this host's
// calls there to end. It returns nil while there are any. A grant whose lease has ended
// meanwhile is not sent.
func (e *Engine) handOver(now clock.Milli, server string) []Action {
	l := e.leases.servers[server]
	if l == nil || (l.pendingClaim == 0 && !l.releasing) {
		return nil
	}
	ages, busy := e.serverAges(now, server)
	if busy {
		return nil
	}
	var out []Action
	if l.releasing {
		out = append(out, Release{Host: l.peer, Servers: []ServerAges{ages}})
	}
	if l.pendingClaim != 0 && now < l.grantedUntil {
		ages.Granted = true
		out = append(out, Grant{Host: l.peer, ID: l.pendingClaim, Duration: leaseDuration, Servers: []ServerAges{ages}})
	}
	l.pendingClaim, l.releasing = 0, false
	return out
}

// serverRank returns this host's rank for a server, or -1 if it has none of the
// server's leaves.
func (e *Engine) serverRank(server string) int {
	for _, f := range e.byName {
		if f.server == server {
			return f.rank
		}
	}
	return -1
}

// mergeAges applies the ages of a server's leaves that another candidate reported.
func (e *Engine) mergeAges(now clock.Milli, s ServerAges) {
	for _, a := range s.Leaves {
		if f := e.leaves[a.Leaf]; f != nil && a.Known {
			f.ramp.mergeAge(now, a.Age)
		}
	}
}

// GrantReceived handles the answer to a claim. It starts the leases granted, unless
// this host has meanwhile granted the server itself, and sends queued calls. A lease
// counts from when its claim was sent. The answer to an unknown or expired claim is
// ignored.
func (e *Engine) GrantReceived(now clock.Milli, host string, id uint64, servers []ServerAges, duration clock.Milli) []Action {
	e.init(now)
	sent, ok := e.leases.claims[id]
	if !ok {
		return nil
	}
	for _, s := range servers {
		l := e.leases.servers[s.Server]
		if l == nil || l.peer != host {
			continue
		}
		e.mergeAges(now, s)
		if s.Granted && now >= l.grantedUntil {
			l.heldUntil = sent + min(duration, leaseDuration)
		}
	}
	var out []Action
	for _, f := range e.byName {
		out = append(out, e.dispatch(now, f)...)
	}
	return out
}
