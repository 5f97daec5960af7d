package node

import (
	"dandelionstile/share/admin"
	"dandelionstile/share/clock"
	"dandelionstile/share/syncer"
)

// refusedKept is how many refused versions are shown.
const refusedKept = 8

func (n *Node) noteRefused(a syncer.Refuse) {
	n.refused = append(n.refused, admin.Refused{Key: a.Key, Version: a.Stamp.Version, Reason: a.Err.Error()})
	if len(n.refused) > refusedKept {
		n.refused = n.refused[1:]
	}
}

// Status returns the node's state.
func (n *Node) Status(now clock.Milli) admin.Node {
	s := admin.Node{
		Host: n.Settings.Host.Name, Domain: n.Settings.Host.Domain, Program: n.Program,
		Incarnation: n.Incarnation, Ready: n.Ready(), Leaving: n.leaving,
		Watching: n.engine.Watching(now), PlatformAge: -1,
		Refused: append([]admin.Refused{}, n.refused...),
	}
	if age, heard := n.engine.PlatformAge(now); heard {
		s.PlatformAge = int64(age)
	}
	for _, key := range n.engine.HeldKeys() {
		st := n.engine.Stamp(key)
		s.Versions = append(s.Versions, admin.Version{Key: key, Version: st.Version, Digest: st.Digest})
	}
	for _, p := range n.sorted() {
		s.Peers = append(s.Peers, admin.Peer{Name: p.name, Leaving: p.leaving})
	}
	return s
}
