package member

import (
	"dandelionstile/share/clock"
)

// Tick does what is due and returns the packets to send.
func (l *List) Tick(now clock.Milli) []Packet {
	l.start(now)
	if l.dueAt != 0 && now > l.dueAt+ownStall {
		l.stalled(now - l.dueAt)
	}
	l.forget(now)
	l.expire(now)
	var packets []Packet
	if now >= l.probeAt {
		l.probeAt = now + probePeriod
		l.round(now)
		packets = append(packets, l.reconnect()...)
	}
	packets = append(packets, l.runProbes(now)...)
	if now >= l.syncAt {
		packets = append(packets, l.sync(now)...)
	}
	if len(l.queue) > 0 && now >= l.gossipAt {
		l.gossipAt = now + gossipPeriod
		packets = append(packets, l.Gossip(now)...)
	}
	l.dueAt = l.Next()
	return packets
}

// Next is when Tick is due.
func (l *List) Next() clock.Milli {
	next := min(l.probeAt, l.syncAt)
	for _, p := range l.probes {
		next = min(next, p.at)
	}
	for _, e := range l.suspects {
		next = min(next, e.suspectedAt+suspicionTime)
	}
	if len(l.queue) > 0 {
		next = min(next, l.gossipAt)
	}
	return next
}

// Receive takes a packet and returns the answers to it.
func (l *List) Receive(now clock.Milli, p Packet) []Packet {
	l.start(now)
	if p.Sender.Host.GossipAddress == "" || p.Sender.Host.GossipAddress == l.Self.GossipAddress {
		return nil
	}
	l.spread(now, p.Sender)
	for _, u := range p.Updates {
		if p.Kind == Diff {
			// It is new to this host only.
			if l.apply(now, u) {
				l.learned++
			}
			continue
		}
		l.spread(now, u)
	}
	return l.answer(now, p)
}

func (l *List) answer(now clock.Milli, p Packet) []Packet {
	from := p.Sender.Host.GossipAddress
	// A host that others believe to be gone learns so from any host that it
	// speaks to, and refutes it.
	var beliefs []Update
	if e := l.known[from]; e != nil && e.supersedes(p.Sender) {
		beliefs = []Update{e.Update}
	}
	switch p.Kind {
	case Ping:
		return []Packet{l.packet(from, Packet{Kind: Ack, Sequence: p.Sequence, Checksum: l.sum(), Updates: beliefs})}
	case Ack:
		return l.acked(now, p)
	case PingReq:
		l.sequence++
		l.proxied[l.sequence] = proxied{from: from, sequence: p.Sequence, at: now}
		return []Packet{l.packet(p.Target, Packet{Kind: Ping, Sequence: l.sequence})}
	case Sync:
		list := l.differing(now, from, p.Digest)
		if len(beliefs) > 0 {
			list = append(list, l.packet(from, Packet{Kind: Publish, Updates: beliefs}))
		}
		return list
	}
	if len(beliefs) > 0 {
		return []Packet{l.packet(from, Packet{Kind: Publish, Updates: beliefs})}
	}
	return nil
}

// acked ends a probe, or passes the answer on to the host that it was made for.
func (l *List) acked(now clock.Milli, p Packet) []Packet {
	delete(l.probes, p.Sequence)
	if p.Checksum != l.sum() && len(l.queue) == 0 {
		// What is being published would have mended it.
		l.syncWith = p.Sender.Host.GossipAddress
		l.syncAt = min(l.syncAt, max(now, l.syncedAt+syncAgain))
	}
	one, ok := l.proxied[p.Sequence]
	if !ok {
		return nil
	}
	delete(l.proxied, p.Sequence)
	return []Packet{l.packet(one.from, Packet{Kind: Ack, Sequence: one.sequence, Checksum: p.Checksum})}
}

// reconnect speaks to a host that is gone, now and then, so that parts of the
// system that have lost each other are joined again.
func (l *List) reconnect() []Packet {
	if len(l.gone) == 0 {
		return nil
	}
	e := l.gone[l.rand.IntN(len(l.gone))]
	if e.State != Dead {
		return nil
	}
	l.sequence++
	return []Packet{l.packet(e.Host.GossipAddress, Packet{Kind: Ping, Sequence: l.sequence, Updates: []Update{e.Update}})}
}

// Leave says that this host takes no more forwarded requests. The hosts told
// publish it further.
func (l *List) Leave(now clock.Milli) []Packet {
	l.start(now)
	l.self.State = Left
	l.self.Host.Incarnation++
	l.Self = l.self.Host
	l.publishSelf()
	var packets []Packet
	for _, e := range l.sample(l.ring, leaveTold, nil) {
		packets = append(packets, Packet{To: e.Host.GossipAddress, Kind: Publish, Sender: l.self.Update})
	}
	return packets
}

// DomainPackets is a packet for each host of the own failure domain; if there are more
// than a number of them, for others each time.
func (l *List) DomainPackets(now clock.Milli, limit int) []Packet {
	l.start(now)
	l.rand.Shuffle(len(l.near), func(i, j int) { l.near[i], l.near[j] = l.near[j], l.near[i] })
	list := l.near[:min(len(l.near), limit)]
	packets := make([]Packet, len(list))
	for i, e := range list {
		packets[i] = Packet{To: e.Host.GossipAddress, Kind: Publish, Sender: l.self.Update}
	}
	return packets
}
