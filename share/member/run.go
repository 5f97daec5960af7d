package member

import (
	"dandelionstile/share/clock"
)

// Tick performs the due work and returns the packets to send.
func (l *List) Tick(now clock.Milli) []Packet {
	l.start(now)
	// nextTickAt is 0 until the first tick has ended.
	if l.nextTickAt != 0 && now > l.nextTickAt+stallThreshold {
		l.compensateStall(now - l.nextTickAt)
	}
	l.pruneRemoved(now)
	l.expire(now)
	var packets []Packet
	if now >= l.probeAt {
		l.probeAt = now + probeInterval
		l.startProbes(now)
		packets = append(packets, l.reconnect()...)
	}
	packets = append(packets, l.runProbes(now)...)
	if now >= l.syncAt {
		packets = append(packets, l.sync(now)...)
	}
	if len(l.queue) > 0 && now >= l.gossipAt {
		l.gossipAt = now + gossipInterval
		packets = append(packets, l.Gossip(now)...)
	}
	l.nextTickAt = l.Next()
	return packets
}

// Next returns when Tick is due.
func (l *List) Next() clock.Milli {
	next := min(l.probeAt, l.syncAt)
	for _, p := range l.probes {
		next = min(next, p.nextAt)
	}
	for _, e := range l.suspects {
		next = min(next, e.suspectedAt+suspicionTimeout)
	}
	if len(l.queue) > 0 {
		next = min(next, l.gossipAt)
	}
	return next
}

// Receive processes a packet and returns the replies to it. It ignores packets without a
// sender or from this host itself.
func (l *List) Receive(now clock.Milli, p Packet) []Packet {
	l.start(now)
	if p.Sender.Host.GossipAddress == "" || p.Sender.Host.GossipAddress == l.Self.GossipAddress {
		return nil
	}
	l.applyAndPublish(now, p.Sender)
	for _, u := range p.Updates {
		if p.Kind == Diff {
			// The update is new only to this host, so it is not published.
			if l.apply(now, u) {
				l.learned++
			}
			continue
		}
		l.applyAndPublish(now, u)
	}
	return l.reply(now, p)
}

// reply returns the replies to a packet whose updates have been applied.
func (l *List) reply(now clock.Milli, p Packet) []Packet {
	from := p.Sender.Host.GossipAddress
	// A removed host that sends a packet learns its recorded state from any receiver
	// and can refute it.
	var corrections []Update
	if e := l.known[from]; e != nil && e.supersedes(p.Sender) {
		corrections = []Update{e.Update}
	}
	switch p.Kind {
	case Ping:
		return []Packet{l.fillPacket(from, Packet{Kind: Ack, Sequence: p.Sequence, Checksum: l.checksum(), Updates: corrections})}
	case Ack:
		return l.onAck(now, p)
	case PingReq:
		l.sequence++
		l.proxiedProbes[l.sequence] = proxiedProbe{requester: from, sequence: p.Sequence, requestedAt: now}
		return []Packet{l.fillPacket(p.Target, Packet{Kind: Ping, Sequence: l.sequence})}
	case Sync:
		list := l.diffPackets(now, from, p.Digest)
		if len(corrections) > 0 {
			list = append(list, l.fillPacket(from, Packet{Kind: Publish, Updates: corrections}))
		}
		return list
	}
	if len(corrections) > 0 {
		return []Packet{l.fillPacket(from, Packet{Kind: Publish, Updates: corrections})}
	}
	return nil
}

// onAck ends a probe, or forwards the Ack to the host that requested the probe. If the
// checksum differs and no updates are queued, the next sync goes to the sender.
func (l *List) onAck(now clock.Milli, p Packet) []Packet {
	delete(l.probes, p.Sequence)
	if p.Checksum != l.checksum() && len(l.queue) == 0 {
		// Queued updates alone may explain a difference.
		l.SyncWith(now, p.Sender.Host.GossipAddress)
	}
	request, ok := l.proxiedProbes[p.Sequence]
	if !ok {
		return nil
	}
	delete(l.proxiedProbes, p.Sequence)
	return []Packet{l.fillPacket(request.requester, Packet{Kind: Ack, Sequence: request.sequence, Checksum: p.Checksum})}
}

// SyncWith schedules the next comparison with a host whose state differs, at least
// syncSoonInterval after the last one.
func (l *List) SyncWith(now clock.Milli, gossipAddress string) {
	l.scheduleSync(now, syncSoonInterval, gossipAddress)
}

// SyncAgain schedules the next comparison with a host whose last answer was not exhaustive, at
// least syncFastInterval after the last one.
func (l *List) SyncAgain(now clock.Milli, gossipAddress string) {
	l.scheduleSync(now, syncFastInterval, gossipAddress)
}

// scheduleSync schedules the next comparison, at least an interval after the last one.
func (l *List) scheduleSync(now, interval clock.Milli, gossipAddress string) {
	l.syncWith = gossipAddress
	l.syncAt = min(l.syncAt, max(now, l.syncedAt+interval))
}

// reconnect returns a ping for a random removed host, or nil if there is none or the host
// has left. It rejoins partitions of the system that have removed each other: the ping shows
// the host that it counts as dead.
func (l *List) reconnect() []Packet {
	if len(l.removed) == 0 {
		return nil
	}
	e := l.removed[l.rand.IntN(len(l.removed))]
	if e.State != Dead {
		return nil
	}
	l.sequence++
	return []Packet{l.fillPacket(e.Host.GossipAddress, Packet{Kind: Ping, Sequence: l.sequence, Updates: []Update{e.Update}})}
}

// Leave marks this host as leaving: it no longer accepts forwarded requests. The packets
// notify up to leaveFanout hosts, which publish it.
func (l *List) Leave(now clock.Milli) []Packet {
	l.start(now)
	l.self.State = Left
	l.self.Host.Incarnation++
	l.Self = l.self.Host
	l.publishSelf()
	var packets []Packet
	for _, e := range l.sample(l.ring, leaveFanout, nil) {
		packets = append(packets, l.emptyPacket(e.Host.GossipAddress, Publish))
	}
	return packets
}

// DomainPackets returns a packet without updates for each host of the own failure domain,
// up to a limit, to which the caller adds Crashes or Leaves. If there are more hosts, each
// call draws random ones.
func (l *List) DomainPackets(now clock.Milli, limit int) []Packet {
	l.start(now)
	l.rand.Shuffle(len(l.sameDomain), func(i, j int) { l.sameDomain[i], l.sameDomain[j] = l.sameDomain[j], l.sameDomain[i] })
	list := l.sameDomain[:min(len(l.sameDomain), limit)]
	packets := make([]Packet, len(list))
	for i, e := range list {
		packets[i] = l.emptyPacket(e.Host.GossipAddress, Publish)
	}
	return packets
}

// AnswerPackets returns empty packets for the answer to a host's Sync, to which the caller adds
// Crashes.
func (l *List) AnswerPackets(now clock.Milli, to string, count int) []Packet {
	l.start(now)
	packets := make([]Packet, count)
	for i := range packets {
		packets[i] = l.emptyPacket(to, Diff)
	}
	return packets
}

// emptyPacket returns a packet without updates.
func (l *List) emptyPacket(to string, kind Kind) Packet {
	return Packet{To: to, Kind: kind, Sender: l.self.Update}
}
