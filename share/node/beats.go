package node

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/mesh"
	"dandelionstile/share/wire"
)

func (n *Node) beaten(now clock.Milli, p *peer, b *wire.Beat) {
	p.heard = now
	p.echo, p.digest, p.echoed = b.GetSequence(), b.GetDigest(), b.GetEcho()
	heard := b.GetPlatformAgeMs() > 0
	age := clock.Milli(b.GetPlatformAgeMs()) - 1
	n.act(now, n.engine.HandleHeartbeat(now, p.name, b.GetDigest(), age, heard))
	if b.GetLeaving() != p.leaving {
		p.leaving = b.GetLeaving()
		n.Delegate.PeerLeaving(now, p.link, p.leaving)
		n.configure(now)
	}
	if b.GetAnswer() {
		n.beat(now, p, false)
	}
	n.checkConfirmed(now)
}

// ConfirmVersions asks the peers whether the versions in force here are current. The
// program is told by Confirmed. Heartbeats that were on their way before the
// call do not count.
func (n *Node) ConfirmVersions(now clock.Milli) {
	n.confirm = n.sequence + 1
	for _, p := range n.sorted() {
		n.beat(now, p, true)
	}
}

func (n *Node) checkConfirmed(now clock.Milli) {
	if n.confirm == 0 {
		return
	}
	for _, p := range n.peers {
		if p.echoed >= n.confirm && p.digest == n.engine.Digest() {
			n.confirm = 0
			n.Delegate.VersionsConfirmed(now)
			return
		}
	}
}

func (n *Node) beat(now clock.Milli, p *peer, answer bool) {
	n.sequence++
	b := &wire.Beat{
		Digest: n.engine.Digest(), Leaving: n.leaving, Sequence: n.sequence, Echo: p.echo, Answer: answer,
	}
	if age, heard := n.engine.PlatformAge(now); heard {
		b.PlatformAgeMs = uint32(age) + 1
	}
	n.Send(p.link, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: b}})
}

func (n *Node) tick(now clock.Milli) {
	n.act(now, n.engine.Tick(now))
	for _, p := range n.sorted() {
		if now < p.nextBeat {
			continue
		}
		every := n.pace(p)
		p.nextBeat = now + every
		n.beat(now, p, false)
		if now-p.heard > peerQuiet*every {
			n.Log.Warn().Str("peer", p.name).Msg("peer sends no heartbeats")
			p.link.Fail(mesh.ErrUnresponsive)
		}
	}
}

// pace is the pause between heartbeats on a link.
func (n *Node) pace(p *peer) clock.Milli {
	same := p.link.Peer.GetHost() == n.Settings.Host.Name
	if same || (p.link.Peer.GetProgram() == Aggregator && n.Program == Aggregator) {
		return beatEvery
	}
	return beatRarely
}

// AnnounceLeaving tells the peers that this process is on its way out.
func (n *Node) AnnounceLeaving(now clock.Milli) {
	n.leaving = true
	for _, p := range n.sorted() {
		n.beat(now, p, false)
	}
	n.configure(now)
}
