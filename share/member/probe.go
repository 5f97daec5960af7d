package member

import (
	"slices"

	"dandelionstile/share/clock"
)

const (
	// probeInterval is the interval between rounds of probes.
	probeInterval = clock.Second
	// sameDomainProbes and ringProbes are how many hosts are probed each round: the
	// next ones on the ring of the own failure domain, and of any domain. Each host is
	// thus probed by the same number of others, not all in its own domain.
	sameDomainProbes = 1
	ringProbes       = 2
	// probeRetryInterval is the interval between attempts of a probe. It covers a
	// cross-region round trip and the scheduling delay of a busy host.
	probeRetryInterval clock.Milli = 200
	// directAttempts is how often a host is probed directly, and proxyAttempts how
	// often it is then probed through other hosts before it is suspected. Packet loss
	// alone must not cause suspicions, since each one is published to all hosts.
	directAttempts = 3
	proxyAttempts  = 2
	// proxyFanout is how many other hosts are asked to probe a host.
	proxyFanout = 3
	// proxyTimeout is how long the last attempt waits for an Ack.
	proxyTimeout clock.Milli = 300
	// suspicionTimeout is how long a suspected host has to refute before it is removed.
	suspicionTimeout = 2 * clock.Second
	// stallThreshold is the delay of a tick from which this host counts as stalled.
	stallThreshold clock.Milli = 400
	// proxyAckTTL is how long after its request an Ack is still forwarded to the host
	// that requested the probe.
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
	// requester is the address of that host, and sequence the number of its own probe.
	requester   string
	sequence    uint64
	requestedAt clock.Milli
}

// startProbes starts the probes of a round and deletes expired proxied probes.
func (l *List) startProbes(now clock.Milli) {
	for _, e := range l.probeTargets() {
		l.sequence++
		l.probes[l.sequence] = &probe{target: e, nextAt: now}
	}
	for sequence, p := range l.proxiedProbes {
		if now-p.requestedAt > proxyAckTTL {
			delete(l.proxiedProbes, sequence)
		}
	}
}

// probeTargets returns the hosts to probe in a round: of the alive hosts that follow this
// host on the ring, the first sameDomainProbes of its own failure domain, and the first
// ringProbes of the rest, of any domain.
func (l *List) probeTargets() []*entry {
	start, _ := l.position(&l.self)
	var list []*entry
	sameDomainLeft, ringLeft := sameDomainProbes, ringProbes
	for i := range l.ring {
		e := l.ring[(start+i)%len(l.ring)]
		switch {
		case e.State != Alive: // a suspected host is not probed again
		case sameDomainLeft > 0 && e.Host.Domain == l.Self.Domain:
			sameDomainLeft--
			list = append(list, e)
		case ringLeft > 0:
			ringLeft--
			list = append(list, e)
		}
		if ringLeft == 0 && (sameDomainLeft == 0 || len(l.sameDomain) == 0) {
			break
		}
	}
	return list
}

// runProbes returns the packets that are due for probes in progress, and suspects the
// hosts that have not replied to the last attempt.
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
			packets = append(packets, l.fillPacket(p.target.Host.GossipAddress, Packet{Kind: Ping, Sequence: sequence}))
		case p.attempts < directAttempts+proxyAttempts:
			for _, e := range l.sample(l.ring, proxyFanout, p.target) {
				packets = append(packets, l.fillPacket(e.Host.GossipAddress, Packet{Kind: PingReq, Sequence: sequence, Target: p.target.Host.GossipAddress}))
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

// suspect marks a host as suspected and publishes this. It returns a packet that notifies
// the host itself, which can refute it fastest, or nil if the host is not Alive.
func (l *List) suspect(now clock.Milli, e *entry) []Packet {
	if e.State != Alive {
		return nil
	}
	u := e.Update
	u.State = Suspect
	l.replace(now, e, u)
	l.publish(e)
	return []Packet{l.fillPacket(e.Host.GossipAddress, Packet{Kind: Publish, Updates: []Update{u}})}
}

// startSuspicion starts the suspicionTimeout of a host if it is suspected.
func (l *List) startSuspicion(now clock.Milli, e *entry) {
	if e.State != Suspect {
		return
	}
	e.suspectedAt = now
	l.suspects = append(l.suspects, e)
}

// expire marks suspected hosts as dead that have not refuted in time, and publishes this.
func (l *List) expire(now clock.Milli) {
	rest := l.suspects[:0]
	for _, e := range l.suspects {
		switch {
		case e.State != Suspect: // refuted, removed or left
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

// compensateStall deletes the probes in progress and extends the time to refute by the
// delay of this host's tick: replies to its probes may have been lost meanwhile, and
// refutations may be unread.
func (l *List) compensateStall(delay clock.Milli) {
	clear(l.probes)
	for _, e := range l.suspects {
		e.suspectedAt += delay
	}
}

// refute supersedes an update about this host that would supersede its own state, by a
// higher incarnation or a later start time, and publishes it.
func (l *List) refute(u Update) {
	switch own := l.self.Update; {
	case u.Host.Started > own.Host.Started:
		// The update is of an earlier process at this address, whose clock was ahead.
		l.self.Host.Started = u.Host.Started + 1
	case u.Host.Started == own.Host.Started && (u.State > own.State && u.Host.Incarnation == own.Host.Incarnation || u.Host.Incarnation > own.Host.Incarnation):
		l.self.Host.Incarnation = u.Host.Incarnation + 1
	default:
		return
	}
	l.Self = l.self.Host
	l.publishSelf()
}
