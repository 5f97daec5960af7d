package member

import (
	"slices"

	"dandelionstile/share/clock"
)

const (
	// probePeriod is the interval between rounds of probes.
	probePeriod = clock.Second
	// sameDomainProbes and ringProbes are how many hosts are probed each round: the
	// next ones of the own failure domain and of all, in order of hashes. Each host
	// is thus probed by the same number of others, not all in its own domain.
	sameDomainProbes = 1
	ringProbes       = 2
	// probeRetryInterval is the interval between attempts of a probe. It covers a
	// cross-region round trip and the scheduling delay of a busy host.
	probeRetryInterval clock.Milli = 200
	// directAttempts and proxyAttempts are how often a host is probed directly and
	// then through others before it is suspected. Packet loss alone must not cause
	// suspicions, since each one is published to all hosts.
	directAttempts = 3
	proxyAttempts  = 2
	// proxyFanout is how many other hosts are asked to probe a host.
	proxyFanout = 3
	// proxyTimeout bounds the last attempt.
	proxyTimeout clock.Milli = 300
	// suspicionTimeout is how long a suspected host has to refute.
	suspicionTimeout = 2 * clock.Second
	// stallThreshold is the delay of a tick from which this host counts as stalled.
	stallThreshold clock.Milli = 400
	// proxyAckTTL is how long an Ack is forwarded to the host that requested it.
	proxyAckTTL = clock.Second
)

// probe is a probe in progress.
type probe struct {
	target   *entry
	attempts int
	nextAt   clock.Milli
}

// proxiedProbe is a probe on behalf of another host.
type proxiedProbe struct {
	from     string
	sequence uint64
	at       clock.Milli
}

// startProbes starts the probes of a round.
func (l *List) startProbes(now clock.Milli) {
	for _, e := range l.probeTargets() {
		l.sequence++
		l.probes[l.sequence] = &probe{target: e, nextAt: now}
	}
	for sequence, p := range l.proxiedProbes {
		if now-p.at > proxyAckTTL {
			delete(l.proxiedProbes, sequence)
		}
	}
}

// probeTargets returns the next hosts on the ring, including one of the own failure
// domain.
func (l *List) probeTargets() []*entry {
	at, _ := l.position(&l.self)
	var list []*entry
	near, far := sameDomainProbes, ringProbes
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
		if far == 0 && (near == 0 || len(l.sameDomain) == 0) {
			break
		}
	}
	return list
}

// runProbes sends the packets due for probes in progress.
func (l *List) runProbes(now clock.Milli) []Packet {
	var packets []Packet
	for _, sequence := range l.probeSequences() {
		p := l.probes[sequence]
		if now < p.nextAt {
			continue
		}
		switch {
		case !p.target.up():
			delete(l.probes, sequence)
		case p.attempts < directAttempts:
			packets = append(packets, l.packet(p.target.Host.GossipAddress, Packet{Kind: Ping, Sequence: sequence}))
		case p.attempts < directAttempts+proxyAttempts:
			for _, e := range l.sample(l.ring, proxyFanout, p.target) {
				packets = append(packets, l.packet(e.Host.GossipAddress, Packet{Kind: PingReq, Sequence: sequence, Target: p.target.Host.GossipAddress}))
			}
		default:
			delete(l.probes, sequence)
			packets = append(packets, l.suspect(now, p.target)...)
		}
		p.attempts++
		p.nextAt = now + probeRetryInterval
		if p.attempts == directAttempts+proxyAttempts {
			p.nextAt = now + proxyTimeout
		}
	}
	return packets
}

// probeSequences lists the probes in progress, oldest first.
func (l *List) probeSequences() []uint64 {
	list := make([]uint64, 0, len(l.probes))
	for sequence := range l.probes {
		list = append(list, sequence)
	}
	slices.Sort(list)
	return list
}

// suspect publishes that a host does not reply. It also notifies that host, which
// can refute it fastest.
func (l *List) suspect(now clock.Milli, e *entry) []Packet {
	if e.State != Alive {
		return nil
	}
	u := e.Update
	u.State = Suspect
	l.replace(now, e, u)
	l.publish(e)
	return []Packet{l.packet(e.Host.GossipAddress, Packet{Kind: Publish, Updates: []Update{u}})}
}

// startSuspicion starts the time within which a suspected host may refute.
func (l *List) startSuspicion(now clock.Milli, e *entry) {
	if e.State != Suspect {
		return
	}
	e.suspectedAt = now
	l.suspects = append(l.suspects, e)
}

// expire removes suspected hosts that have not refuted in time.
func (l *List) expire(now clock.Milli) {
	rest := l.suspects[:0]
	for _, e := range l.suspects {
		switch {
		case e.State != Suspect:
		case now-e.suspectedAt < suspicionTimeout:
			rest = append(rest, e)
		default:
			u := e.Update
			u.State = Dead
			l.replace(now, e, u)
			l.publish(e)
		}
	}
	l.suspects = rest
}

// compensateStall compensates for a stall of this host. Replies to its probes may
// have been lost meanwhile, and refutations may be unread.
func (l *List) compensateStall(late clock.Milli) {
	clear(l.probes)
	for _, e := range l.suspects {
		e.suspectedAt += late
	}
}

// refute raises the own incarnation above that of an update about this host.
func (l *List) refute(u Update) {
	switch own := l.self.Update; {
	case u.Host.Started > own.Host.Started:
		// An earlier process at this address whose clock was ahead.
		l.self.Host.Started = u.Host.Started + 1
	case u.Host.Started == own.Host.Started && (u.State > own.State && u.Host.Incarnation == own.Host.Incarnation || u.Host.Incarnation > own.Host.Incarnation):
		l.self.Host.Incarnation = u.Host.Incarnation + 1
	default:
		return
	}
	l.Self = l.self.Host
	l.publishSelf()
}
