package member

import (
	"slices"

	"dandelionstile/share/clock"
)

const (
	// probePeriod is the pause between two rounds of probes.
	probePeriod = clock.Second
	// nearProbes and ringProbes are how many hosts are probed a round: the next
	// of the own failure domain and the next of all, in the order of hashes. So
	// each host is probed by as many others, and not all of its own domain.
	nearProbes = 1
	ringProbes = 2
	// probeStep is the time between two tries of a probe. It covers a round trip
	// between regions and a busy host's turn.
	probeStep clock.Milli = 200
	// directTries and proxyTries are how often a host is asked directly, and
	// then through others, before it is suspected; lost packets alone must not
	// raise suspicions, since each is published to all hosts.
	directTries = 3
	proxyTries  = 2
	// proxies is how many others are asked to probe a host.
	proxies = 3
	// proxyWait is how long the last try may take.
	proxyWait clock.Milli = 300
	// suspicionTime is how long a suspected host has to refute.
	suspicionTime = 2 * clock.Second
	// ownStall is how late a tick must be for this host to have stood still.
	ownStall clock.Milli = 400
	// proxiedMost is how long an Ack is passed on.
	proxiedMost = clock.Second
)

// probe is one host's answer that is waited for.
type probe struct {
	target *entry
	tries  int
	at     clock.Milli
}

// proxied is a probe made for another host.
type proxied struct {
	from     string
	sequence uint64
	at       clock.Milli
}

// round starts the probes of a period.
func (l *List) round(now clock.Milli) {
	for _, e := range l.probeTargets() {
		l.sequence++
		l.probes[l.sequence] = &probe{target: e, at: now}
	}
	for sequence, p := range l.proxied {
		if now-p.at > proxiedMost {
			delete(l.proxied, sequence)
		}
	}
}

// probeTargets are the next hosts on the ring, the first of them in the own
// failure domain.
func (l *List) probeTargets() []*entry {
	at, _ := l.position(&l.self)
	var list []*entry
	near, far := nearProbes, ringProbes
	for i := range l.ring {
		e := l.ring[(at+i)%len(l.ring)]
		switch {
		case e.State != Alive:
		case near > 0 && e.Host.Domain == l.Self.Domain:
			near--
			list = append(list, e)
		case far > 0:
			far--
			list = append(list, e)
		}
		if far == 0 && (near == 0 || len(l.near) == 0) {
			break
		}
	}
	return list
}

// runProbes sends what is due of probes under way.
func (l *List) runProbes(now clock.Milli) []Packet {
	var packets []Packet
	for _, sequence := range l.sequences() {
		p := l.probes[sequence]
		if now < p.at {
			continue
		}
		switch {
		case !p.target.up():
			delete(l.probes, sequence)
		case p.tries < directTries:
			packets = append(packets, l.packet(p.target.Host.GossipAddress, Packet{Kind: Ping, Sequence: sequence}))
		case p.tries < directTries+proxyTries:
			for _, e := range l.sample(l.ring, proxies, p.target) {
				packets = append(packets, l.packet(e.Host.GossipAddress, Packet{Kind: PingReq, Sequence: sequence, Target: p.target.Host.GossipAddress}))
			}
		default:
			delete(l.probes, sequence)
			packets = append(packets, l.suspect(now, p.target)...)
		}
		p.tries++
		p.at = now + probeStep
		if p.tries == directTries+proxyTries {
			p.at = now + proxyWait
		}
	}
	return packets
}

// sequences lists the probes under way, oldest first.
func (l *List) sequences() []uint64 {
	list := make([]uint64, 0, len(l.probes))
	for sequence := range l.probes {
		list = append(list, sequence)
	}
	slices.Sort(list)
	return list
}

// suspect publishes that a host does not answer, and tells the host itself, which
// can refute it soonest.
func (l *List) suspect(now clock.Milli, e *entry) []Packet {
	if e.State != Alive {
		return nil
	}
	u := e.Update
	u.State = Suspect
	l.set(now, e, u)
	l.publish(e)
	return []Packet{l.packet(e.Host.GossipAddress, Packet{Kind: Publish, Updates: []Update{u}})}
}

// suspectFrom starts the time in which a suspected host may refute.
func (l *List) suspectFrom(now clock.Milli, e *entry) {
	if e.State != Suspect {
		return
	}
	e.suspectedAt = now
	l.suspects = append(l.suspects, e)
}

// expire drops suspected hosts that have not refuted.
func (l *List) expire(now clock.Milli) {
	rest := l.suspects[:0]
	for _, e := range l.suspects {
		switch {
		case e.State != Suspect:
		case now-e.suspectedAt < suspicionTime:
			rest = append(rest, e)
		default:
			u := e.Update
			u.State = Dead
			l.set(now, e, u)
			l.publish(e)
		}
	}
	l.suspects = rest
}

// stalled makes up for a time in which this host stood still: answers to its
// probes may have come and gone, and refutations wait unread.
func (l *List) stalled(late clock.Milli) {
	clear(l.probes)
	for _, e := range l.suspects {
		e.suspectedAt += late
	}
}

// refute raises the own incarnation above what others believe of it.
func (l *List) refute(u Update) {
	switch own := l.self.Update; {
	case u.Host.Started > own.Host.Started:
		// A former process at this address, by a clock that was ahead.
		l.self.Host.Started = u.Host.Started + 1
	case u.Host.Started == own.Host.Started && (u.State > own.State && u.Host.Incarnation == own.Host.Incarnation || u.Host.Incarnation > own.Host.Incarnation):
		l.self.Host.Incarnation = u.Host.Incarnation + 1
	default:
		return
	}
	l.Self = l.self.Host
	l.publishSelf()
}
