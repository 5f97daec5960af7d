package node

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/mesh"
	"dandelionstile/share/wire"
)

// strikeBroadcast is a strike that some peers have not yet acknowledged.
type strikeBroadcast struct {
	pendingLinks map[uint64]bool       // by link ID
	done         func(now clock.Milli) // may be nil
}

// ShareStrike sends a strike to all peers and calls done once all of them have
// acknowledged it. It does not wait for a peer whose link closes or is too busy to queue
// the strike.
func (n *Node) ShareStrike(now clock.Milli, s deny.Strike, done func(now clock.Milli)) {
	n.lastStrikeID++
	broadcast := &strikeBroadcast{pendingLinks: map[uint64]bool{}, done: done}
	for _, p := range n.sortedPeers() {
		if n.Send(p.link, encodeStrike(n.lastStrikeID, s)) {
			broadcast.pendingLinks[p.link.ID] = true
		}
	}
	n.strikeBroadcasts[n.lastStrikeID] = broadcast
	n.strikeAcked(now, n.lastStrikeID, 0) // no link has ID 0: done is called here if no peer was reached
}

// sendStrikes sends the strikes of all requests that are rejected now to the peer of a new
// link, as many as the link queues.
func (n *Node) sendStrikes(now clock.Milli, l *mesh.Link) {
	list := n.Delegate.Strikes(now)
	for i, s := range list {
		if !n.Send(l, encodeStrike(0, s)) {
			n.Log.Warn().Str("peer", n.peers[l.ID].name).Int("sent", i).Int("of", len(list)).Msg("strikes not sent")
			return
		}
	}
}

// strikeAcked records that the peer on a link has acknowledged a strike or that its
// link has closed, and calls done after the last such peer.
func (n *Node) strikeAcked(now clock.Milli, id, linkID uint64) {
	broadcast := n.strikeBroadcasts[id]
	if broadcast == nil {
		return
	}
	delete(broadcast.pendingLinks, linkID)
	if len(broadcast.pendingLinks) > 0 {
		return
	}
	delete(n.strikeBroadcasts, id)
	if broadcast.done != nil {
		broadcast.done(now)
	}
}

// handleStrike merges a peer's strike, forwards it to the other peers if it was new,
// and acknowledges it. Known strikes are not forwarded, so each host forwards a strike
// once. Forwarded strikes have ID 0 and are not acknowledged.
func (n *Node) handleStrike(now clock.Milli, p *peer, w *wire.Strike) {
	s := decodeStrike(w)
	if n.Delegate.MergeStrike(now, s) {
		n.Log.Warn().Uint64("fingerprint", s.Fingerprint).Int("count", s.Count).Str("from", p.name).
			Msg("request crashed a backend server and is rejected")
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
