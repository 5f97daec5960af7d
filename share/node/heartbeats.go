package node

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/mesh"
	"dandelionstile/share/wire"
)

// handleHeartbeat records a peer's heartbeat and sends the stamps of this node if the peer
// has other versions in force. If the peer starts or stops leaving, it reports that to
// the delegate and configures it again. It answers if the peer asks for an answer, and
// completes a pending ConfirmVersions if the heartbeat confirms it.
func (n *Node) handleHeartbeat(now clock.Milli, p *peer, b *wire.Beat) {
	p.lastHeartbeat = now
	p.lastSequence, p.digest, p.echoedSequence = b.GetSequence(), b.GetDigest(), b.GetEcho()
	// The sender adds 1 to the age, so that 0 means that it knows none.
	known := b.GetPlatformAgeMs() > 0
	age := clock.Milli(b.GetPlatformAgeMs()) - 1
	n.perform(now, n.engine.HandleHeartbeat(now, p.name, b.GetDigest(), age, known))
	if b.GetLeaving() != p.leaving {
		p.leaving = b.GetLeaving()
		n.Delegate.PeerLeaving(now, p.link, p.leaving)
		n.configure(now)
	}
	if b.GetAnswer() {
		n.sendHeartbeat(now, p, false /* wantAnswer */)
	}
	n.checkConfirmed(now)
}

// ConfirmVersions asks the peers whether the versions in force here are current. Once
// a peer with the same versions answers, the node calls the delegate's
// VersionsConfirmed. Heartbeats that a peer sent before it received this request do not
// count. Until such an answer arrives, the request stays pending.
func (n *Node) ConfirmVersions(now clock.Milli) {
	n.confirmSequence = n.sequence + 1
	for _, p := range n.sortedPeers() {
		n.sendHeartbeat(now, p, true /* wantAnswer */)
	}
}

// checkConfirmed completes a pending ConfirmVersions if a peer has answered a
// heartbeat sent since and has the same versions in force.
func (n *Node) checkConfirmed(now clock.Milli) {
	if n.confirmSequence == 0 {
		return
	}
	for _, p := range n.peers {
		if p.echoedSequence >= n.confirmSequence && p.digest == n.engine.Digest() {
			n.confirmSequence = 0
			n.Delegate.VersionsConfirmed(now)
			return
		}
	}
}

// sendHeartbeat sends a peer a heartbeat and, if wantAnswer is set, asks for one in
// return.
func (n *Node) sendHeartbeat(now clock.Milli, p *peer, wantAnswer bool) {
	n.sequence++
	b := &wire.Beat{
		Digest: n.engine.Digest(), Leaving: n.leaving, Sequence: n.sequence, Echo: p.lastSequence, Answer: wantAnswer,
	}
	if age, known := n.engine.PlatformAge(now); known {
		b.PlatformAgeMs = uint32(age) + 1
	}
	n.Send(p.link, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: b}})
}

// tick runs the periodic work: it carries out the syncer's pulls and reads that are due,
// sends the heartbeats that are due, and closes the links whose peers have missed more than
// maxMissedHeartbeats.
func (n *Node) tick(now clock.Milli) {
	n.perform(now, n.engine.Tick(now))
	for _, p := range n.sortedPeers() {
		if now < p.nextHeartbeat {
			continue
		}
		interval := n.heartbeatIntervalOf(p)
		p.nextHeartbeat = now + interval
		n.sendHeartbeat(now, p, false /* wantAnswer */)
		if now-p.lastHeartbeat > maxMissedHeartbeats*interval {
			n.Log.Warn().Str("peer", p.name).Msg("peer sends no heartbeats")
			p.link.Fail(mesh.ErrUnresponsive)
		}
	}
}

// heartbeatIntervalOf returns the interval between heartbeats on a link. It is the
// short one within a host and between aggregators. Both ends of a link compute the same
// interval, so each knows how often the other sends, as maxMissedHeartbeats requires.
func (n *Node) heartbeatIntervalOf(p *peer) clock.Milli {
	sameHost := p.link.Peer.GetHost() == n.Settings.Host.Name
	if sameHost || (p.link.Peer.GetProgram() == Aggregator && n.Program == Aggregator) {
		return heartbeatInterval
	}
	return remoteHeartbeatInterval
}

// AnnounceLeaving tells the peers that this process is shutting down, and makes the
// delegate count this host as leaving if the process is an aggregator.
func (n *Node) AnnounceLeaving(now clock.Milli) {
	n.leaving = true
	for _, p := range n.sortedPeers() {
		n.sendHeartbeat(now, p, false /* wantAnswer */)
	}
	n.configure(now)
}
