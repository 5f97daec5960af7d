package node

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/wire"
)

// strikeBroadcast is a strike that some peers have not yet acknowledged.
type strikeBroadcast struct {
	pendingLinks map[uint64]bool // by link ID
	done         func(now clock.Milli)
}

// ShareStrike sends a strike to all peers and calls done once all of them have
// acknowledged it. A peer whose link closes counts as if it had.
func (n *Node) ShareStrike(now clock.Milli, s deny.Strike, done func(now clock.Milli)) {
	n.lastID++
	sh := &strikeBroadcast{pendingLinks: map[uint64]bool{}, done: done}
	for _, p := range n.sortedPeers() {
		if n.Send(p.link, encodeStrike(n.lastID, s)) {
			sh.pendingLinks[p.link.ID] = true
		}
	}
	n.strikes[n.lastID] = sh
	n.strikeAcked(now, n.lastID, 0)
}

func (n *Node) strikeAcked(now clock.Milli, id, link uint64) {
	sh := n.strikes[id]
	if sh == nil {
		return
	}
	delete(sh.pendingLinks, link)
	if len(sh.pendingLinks) > 0 {
		return
	}
	delete(n.strikes, id)
	if sh.done != nil {
		sh.done(now)
	}
}

// handleStrike merges a peer's strike, acknowledges it, and forwards it if it was
// new. Known strikes are not forwarded, so each host forwards a strike once.
func (n *Node) handleStrike(now clock.Milli, p *peer, w *wire.Strike) {
	s := decodeStrike(w)
	if n.Delegate.MergeStrike(now, s) {
		n.Log.Warn().Uint64("fingerprint", s.Fingerprint).Int("count", s.Count).Str("from", p.name).
			Msg("request crashed a backend server and is refused")
		for _, other := range n.sortedPeers() {
			if other != p {
				n.Send(other.link, encodeStrike(0, s))
			}
		}
	}
	if w.GetId() != 0 {
		n.Send(p.link, &wire.Envelope{Body: &wire.Envelope_StrikeAck{StrikeAck: &wire.StrikeAck{Id: w.GetId()}}})
	}
}
