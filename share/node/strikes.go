package node

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/wire"
)

// sharing is a strike on its way to the peers.
type sharing struct {
	waiting map[uint64]bool // by link
	done    func(now clock.Milli)
}

// ShareStrike tells all peers of a strike and calls done once they have it.
func (n *Node) ShareStrike(now clock.Milli, s deny.Strike, done func(now clock.Milli)) {
	n.lastID++
	sh := &sharing{waiting: map[uint64]bool{}, done: done}
	for _, p := range n.sorted() {
		if n.Send(p.link, strikeTo(n.lastID, s)) {
			sh.waiting[p.link.ID] = true
		}
	}
	n.strikes[n.lastID] = sh
	n.acked(now, n.lastID, 0)
}

func (n *Node) acked(now clock.Milli, id, link uint64) {
	sh := n.strikes[id]
	if sh == nil {
		return
	}
	delete(sh.waiting, link)
	if len(sh.waiting) > 0 {
		return
	}
	delete(n.strikes, id)
	if sh.done != nil {
		sh.done(now)
	}
}

// struck takes a peer's strike and passes news on. It answers at once; what is
// not news stops here, so a strike goes round once.
func (n *Node) struck(now clock.Milli, p *peer, w *wire.Strike) {
	s := strikeFrom(w)
	if n.Delegate.MergeStrike(now, s) {
		n.Log.Warn().Uint64("fingerprint", s.Fingerprint).Int("count", s.Count).Str("from", p.name).
			Msg("request crashed a backend server and is refused")
		for _, other := range n.sorted() {
			if other != p {
				n.Send(other.link, strikeTo(0, s))
			}
		}
	}
	if w.GetId() != 0 {
		n.Send(p.link, &wire.Envelope{Body: &wire.Envelope_StrikeAck{StrikeAck: &wire.StrikeAck{Id: w.GetId()}}})
	}
}
