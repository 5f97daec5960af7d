package node

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/mesh"
	"dandelionstile/share/wire"
)

func (n *Node) handleHeartbeat(now clock.Milli, p *peer, b *wire.Beat) {
	p.lastHeartbeat = now
	p.lastSequence, p.digest, p.echoedSequence = b.GetSequence(), b.GetDigest(), b.GetEcho()
	known := b.GetPlatformAgeMs() > 0
	age := clock.Milli(b.GetPlatformAgeMs()) - 1
	n.act(now, n.engine.HandleHeartbeat(now, p.name, b.GetDigest(), age, known))
	if b.GetLeaving() != p.leaving {
		p.leaving = b.GetLeaving()
		n.Delegate.PeerLeaving(now, p.link, p.leaving)
		n.configure(now)
	}
	if b.GetAnswer() {
		n.sendHeartbeat(now, p, false)
	}
	n.checkConfirmed(now)
}

// ConfirmVersions asks the peers whether the versions in force here are current.
// The delegate learns of it by VersionsConfirmed. Heartbeats that a peer sent
// before it received this request do not count.
func (n *Node) ConfirmVersions(now clock.Milli) {
	n.confirmSequence = n.sequence + 1
	for _, p := range n.sortedPeers() {
		n.sendHeartbeat(now, p, true)
	}
}

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

func (n *Node) sendHeartbeat(now clock.Milli, p *peer, answer bool) {
	n.sequence++
	b := &wire.Beat{
		Digest: n.engine.Digest(), Leaving: n.leaving, Sequence: n.sequence, Echo: p.lastSequence, Answer: answer,
	}
	if age, known := n.engine.PlatformAge(now); known {
		b.PlatformAgeMs = uint32(age) + 1
	}
	n.Send(p.link, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: b}})
}

func (n *Node) tick(now clock.Milli) {
	n.act(now, n.engine.Tick(now))
	for _, p := range n.sortedPeers() {
		if now < p.nextHeartbeat {
			continue
		}
		interval := n.heartbeatIntervalOf(p)
		p.nextHeartbeat = now + interval
		n.sendHeartbeat(now, p, false)
		if now-p.lastHeartbeat > maxMissedHeartbeats*interval {
			n.Log.Warn().Str("peer", p.name).Msg("peer sends no heartbeats")
			p.link.Fail(mesh.ErrUnresponsive)
		}
	}
}

// heartbeatIntervalOf returns the interval between heartbeats on a link.
func (n *Node) heartbeatIntervalOf(p *peer) clock.Milli {
	sameHost := p.link.Peer.GetHost() == n.Settings.Host.Name
	if sameHost || (p.link.Peer.GetProgram() == Aggregator && n.Program == Aggregator) {
		return heartbeatInterval
	}
	return remoteHeartbeatInterval
}

// AnnounceLeaving tells the peers that this process is shutting down.
func (n *Node) AnnounceLeaving(now clock.Milli) {
	n.leaving = true
	for _, p := range n.sortedPeers() {
		n.sendHeartbeat(now, p, false)
	}
	n.configure(now)
}
