package gate

import (
	"sort"

	"dandelionstile/share/clock"
)

// Timing of the leases between the two candidates of a server.
const (
	// leaseSpan is how long a grant binds the host that gave it.
	leaseSpan = 2 * clock.Second
	// leaseRenew is the pause between two claims.
	leaseRenew = 500 * clock.Milli(1)
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
	other   map[string]string      // server -> other candidate
	held    map[string]clock.Milli // server -> until when it is exclusively ours
	given   map[string]clock.Milli // server -> until when we promised to keep off
	claims  map[uint64]clock.Milli // claim id -> when it was sent
	last    uint64
	renewed clock.Milli
}

func (l *leases) place(server, host string) {
	if l.other == nil {
		l.other = map[string]string{}
		l.held = map[string]clock.Milli{}
		l.given = map[string]clock.Milli{}
		l.claims = map[uint64]clock.Milli{}
	}
	l.other[server] = host
}

// exclusive tells whether the other candidate has promised to keep off, or
// there is none.
func (l *leases) exclusive(now clock.Milli, server string) bool {
	host, ok := l.other[server]
	if !ok {
		return false
	}
	return host == "" || now < l.held[server]
}

// promised tells whether this host has promised to keep off a server.
func (l *leases) promised(now clock.Milli, server string) bool { return now < l.given[server] }

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
		host := l.other[f.server]
		if f.rank != 0 || host == "" || l.promised(now, f.server) {
			continue
		}
		byHost[host] = appendAge(byHost[host], now, f)
	}
	hosts := make([]string, 0, len(byHost))
	for h := range byHost {
		hosts = append(hosts, h)
	}
	sort.Strings(hosts)
	out := make([]Action, 0, len(hosts))
	for _, h := range hosts {
		l.last++
		l.claims[l.last] = now
		out = append(out, Claim{Host: h, ID: l.last, Servers: byHost[h]})
	}
	return out
}

// appendAge adds a leaf's age under its server. Leafs come in order of name,
// so a server's leafs may be apart.
func appendAge(list []ServerAges, now clock.Milli, f *leaf) []ServerAges {
	age := LeafAge{Leaf: f.Name, Age: min(f.ramp.age(now), maxAge), Known: f.ramp.known}
	for i := range list {
		if list[i].Server == f.server {
			list[i].Leafs = append(list[i].Leafs, age)
			return list
		}
	}
	return append(list, ServerAges{Server: f.server, Leafs: []LeafAge{age}})
}

// Claimed answers another host's claim. A server is granted unless this host
// believes itself primary for it or still has work at it.
func (e *Engine) Claimed(now clock.Milli, host string, id uint64, servers []ServerAges) []Action {
	e.init(now)
	g := Grant{Host: host, ID: id, Span: leaseSpan}
	var out []Action
	for _, s := range servers {
		e.learn(now, s)
		if e.rank(s.Server) == 0 && !e.leaving {
			continue
		}
		e.leases.place(s.Server, host)
		e.leases.given[s.Server] = now + leaseSpan
		delete(e.leases.held, s.Server)
		mine := ServerAges{Server: s.Server}
		busy := false
		for _, f := range e.order {
			if f.server != s.Server {
				continue
			}
			busy = busy || f.busy > 0
			mine.Leafs = append(mine.Leafs, LeafAge{Leaf: f.Name, Age: min(f.ramp.age(now), maxAge), Known: f.ramp.known})
		}
		// Work of ours still at the leaf counts against what it bears, so the
		// promise is given but not yet told.
		if !busy {
			g.Servers = append(g.Servers, mine)
		}
	}
	if len(g.Servers) == 0 {
		return out
	}
	return append(out, g)
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

// Granted takes the answer to a claim.
func (e *Engine) Granted(now clock.Milli, host string, id uint64, servers []ServerAges, span clock.Milli) []Action {
	e.init(now)
	sent, ok := e.leases.claims[id]
	if !ok {
		return nil
	}
	var out []Action
	for _, s := range servers {
		if e.leases.other[s.Server] != host || e.leases.promised(now, s.Server) {
			continue
		}
		e.leases.held[s.Server] = sent + min(span, leaseSpan)
		e.learn(now, s)
	}
	for _, f := range e.order {
		out = append(out, e.dispatch(now, f)...)
	}
	return out
}
