package sched

import (
	"maps"
	"slices"

	"dandelionstile/share/clock"
)

// Timing of the leases between the two candidates of a server.
const (
	// leaseSpan is how long a grant binds the host that gave it.
	leaseSpan = clock.Second
	// leaseRenew is the pause between two claims.
	leaseRenew clock.Milli = 300
	// settleSpan is how long two hosts share a server's leafs half and half
	// when neither has the other's promise. It is longer than it takes until a
	// promise can be had.
	settleSpan = 2 * leaseSpan
	// maxAge caps the ages that are exchanged.
	maxAge = 10 * clock.Minute
)

// LeafAge tells how long ago a leaf was last known to be cold. Known is false
// when the sender has no evidence.
type LeafAge struct {
	Leaf  string
	Age   clock.Milli
	Known bool
}

// ServerAges lists the leafs of one server with their ages.
type ServerAges struct {
	Server string
	Leafs  []LeafAge
	// Granted: the sender keeps off the server's leafs.
	Granted bool
}

// leases keeps, per server, the promise that the other candidate gave and the
// one that this host gave.
//
// The failure: a standby takes over while the primary is only slow or paused,
// both admit, and a cold leaf gets twice what it bears. A host that holds a
// grant knows that the other candidate admits nothing until the grant ends. It
// counts the grant from the moment it sent the claim, and the other counts
// from the moment it answered, which is later; so the holder always lets go
// first, whatever is paused or delayed.
type leases struct {
	servers map[string]*lease
	claims  map[uint64]clock.Milli // claim id -> when it was sent
	last    uint64
	renewed clock.Milli
}

// lease is where one server stands.
type lease struct {
	other string      // the other candidate, or ""
	held  clock.Milli // until when the other keeps off
	given clock.Milli // until when we keep off
	// moved is when the candidates last changed, or a promise last bound us.
	moved clock.Milli
	// owed is the claim to answer once our work at the leafs is done.
	owed uint64
	// releasing: the server is to be given up then.
	releasing bool
}

func (l *leases) place(now clock.Milli, server, host string) *lease {
	if l.servers == nil {
		l.servers = map[string]*lease{}
		l.claims = map[uint64]clock.Milli{}
	}
	s, ok := l.servers[server]
	if !ok {
		s = &lease{other: host, moved: now}
		l.servers[server] = s
	}
	if s.other != host {
		s.other, s.held, s.moved = host, 0, now
	}
	return s
}

// exclusive tells whether the other candidate has promised to keep off, or
// there is none.
func (l *leases) exclusive(now clock.Milli, server string) bool {
	s, ok := l.servers[server]
	return ok && (s.other == "" || now < s.held)
}

// promised tells whether this host has promised to keep off a server.
func (l *leases) promised(now clock.Milli, server string) bool {
	s, ok := l.servers[server]
	return ok && now < s.given
}

// settled tells whether the other candidate has had time to finish what it may
// have had at the leafs before this host took over.
func (l *leases) settled(now clock.Milli, server string) bool {
	s, ok := l.servers[server]
	return ok && now-max(s.moved, s.given) >= settleSpan
}

// unsettle treats all servers as if another host had just had them.
func (l *leases) unsettle(now clock.Milli) {
	for _, s := range l.servers {
		s.moved = now
	}
}

// fresh tells whether this process started so recently that a promise of its
// predecessor on this host may still be relied on.
func (e *Engine) fresh(now clock.Milli) bool { return now-e.born < leaseSpan }

// PeerUp says that another aggregator is linked: claims on the servers shared
// with it go out at the next tick instead of when the old ones run out.
func (e *Engine) PeerUp() { e.leases.renewed = 0 }

// claim renews the claims on the servers that this host is primary for.
func (e *Engine) claim(now clock.Milli) []Action {
	l := &e.leases
	if e.leaving || (l.renewed != 0 && now-l.renewed < leaseRenew) {
		return nil
	}
	l.renewed = now
	for id, at := range l.claims {
		if now-at > leaseSpan {
			delete(l.claims, id)
		}
	}
	byHost := map[string][]ServerAges{}
	for _, f := range e.order {
		host := l.servers[f.server].other
		if f.rank != 0 || host == "" || l.promised(now, f.server) {
			continue
		}
		byHost[host] = appendAge(byHost[host], now, f)
	}
	var out []Action
	for _, h := range slices.Sorted(maps.Keys(byHost)) {
		l.last++
		l.claims[l.last] = now
		out = append(out, Claim{Host: h, ID: l.last, Servers: byHost[h]})
	}
	return out
}

// appendAge adds a leaf's age under its server. Leafs come in order of name,
// so a server's leafs may be apart.
func appendAge(list []ServerAges, now clock.Milli, f *leaf) []ServerAges {
	for i := range list {
		if list[i].Server == f.server {
			list[i].Leafs = append(list[i].Leafs, f.age(now))
			return list
		}
	}
	return append(list, ServerAges{Server: f.server, Leafs: []LeafAge{f.age(now)}})
}

func (f *leaf) age(now clock.Milli) LeafAge {
	// A leaf that has passed its whole ramp here is known to be warm.
	known := f.ramp.known || f.ramp.left(now, f.warm) == 0
	return LeafAge{Leaf: f.Name, Age: min(f.ramp.age(now), maxAge), Known: known}
}

// ages lists a server's leafs and tells whether work of ours is at one.
func (e *Engine) ages(now clock.Milli, server string) (ServerAges, bool) {
	s := ServerAges{Server: server}
	busy := false
	for _, f := range e.order {
		if f.server == server {
			busy = busy || f.busy+f.ghosts(now) > 0
			s.Leafs = append(s.Leafs, f.age(now))
		}
	}
	return s, busy
}

// ClaimReceived answers another host's claim. A server is granted unless this host
// believes itself primary for it, or has just ceased to be a candidate beside
// another: entries learn of new owners at different moments, and until all have,
// both hosts serve, each its half. The answer always carries what is known of
// the leafs, so that a fresh host need not take warm leafs for cold.
func (e *Engine) ClaimReceived(now clock.Milli, host string, id uint64, servers []ServerAges) []Action {
	e.init(now)
	g := Grant{Host: host, ID: id, Duration: leaseSpan}
	for _, s := range servers {
		e.learn(now, s)
		mine, busy := e.ages(now, s.Server)
		l := e.leases.place(now, s.Server, host)
		if e.leaving || (e.rank(s.Server) != 0 && now-l.moved >= leaseSpan) {
			l.given, l.held = now+leaseSpan, 0
			mine.Granted = !busy
			l.owed = 0
			if busy {
				// Work of ours still at the leafs counts against what they
				// bear: the promise binds, and is told when the work is done.
				l.owed = id
			}
		}
		g.Servers = append(g.Servers, mine)
	}
	return []Action{g}
}

// ReleaseReceived takes another host's word that it no longer needs servers: the
// promises to it end.
func (e *Engine) ReleaseReceived(now clock.Milli, host string, servers []ServerAges) {
	e.init(now)
	for _, s := range servers {
		e.learn(now, s)
		l := e.leases.servers[s.Server]
		if l != nil && l.other == host && now < l.given {
			l.given, l.moved = now, now
		}
	}
}

// Leave stops the host from taking anything new: it answers what it has, and
// lets the other candidates know that they may serve.
func (e *Engine) Leave(now clock.Milli) []Action {
	e.init(now)
	e.leaving = true
	var out []Action
	for _, f := range e.order {
		l := e.leases.servers[f.server]
		l.held, l.releasing = 0, l.other != ""
		out = append(out, e.handOver(now, f.server)...)
	}
	return out
}

// handOver tells the other candidate what waited for this host's work at a
// server to end: a promise, or that the server is given up.
func (e *Engine) handOver(now clock.Milli, server string) []Action {
	l := e.leases.servers[server]
	if l == nil || (l.owed == 0 && !l.releasing) {
		return nil
	}
	mine, busy := e.ages(now, server)
	if busy {
		return nil
	}
	var out []Action
	if l.releasing {
		out = append(out, Release{Host: l.other, Servers: []ServerAges{mine}})
	}
	if l.owed != 0 && now < l.given {
		mine.Granted = true
		out = append(out, Grant{Host: l.other, ID: l.owed, Duration: leaseSpan, Servers: []ServerAges{mine}})
	}
	l.owed, l.releasing = 0, false
	return out
}

func (e *Engine) rank(server string) int {
	for _, f := range e.order {
		if f.server == server {
			return f.rank
		}
	}
	return -1
}

func (e *Engine) learn(now clock.Milli, s ServerAges) {
	for _, a := range s.Leafs {
		if f := e.leafs[a.Leaf]; f != nil && a.Known {
			f.ramp.learn(now, a.Age)
		}
	}
}

// GrantReceived takes the answer to a claim.
func (e *Engine) GrantReceived(now clock.Milli, host string, id uint64, servers []ServerAges, span clock.Milli) []Action {
	e.init(now)
	sent, ok := e.leases.claims[id]
	if !ok {
		return nil
	}
	for _, s := range servers {
		l := e.leases.servers[s.Server]
		if l == nil || l.other != host {
			continue
		}
		e.learn(now, s)
		if s.Granted && now >= l.given {
			l.held = sent + min(span, leaseSpan)
		}
	}
	var out []Action
	for _, f := range e.order {
		out = append(out, e.dispatch(now, f)...)
	}
	return out
}
