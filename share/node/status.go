package node

import (
	"dandelionstile/share/admin"
	"dandelionstile/share/clock"
	"dandelionstile/share/syncer"
)

// maxRefused is how many refused versions the status lists.
const maxRefused = 8

func (n *Node) recordRefused(a syncer.Reject) {
	n.refused = append(n.refused, admin.Refused{Key: a.Key, Version: a.Stamp.Version, Reason: a.Err.Error()})
	if len(n.refused) > maxRefused {
		n.refused = n.refused[1:]
	}
}

// Status returns the node's state for the admin endpoint.
func (n *Node) Status(now clock.Milli) admin.Node {
	s := admin.Node{
		Host: n.Settings.Host.Name, Domain: n.Settings.Host.Domain, Program: n.Program,
		Incarnation: n.Incarnation, Ready: n.Ready(), Leaving: n.leaving,
		Watching: n.engine.Watching(now), PlatformAge: -1,
		Refused: append([]admin.Refused{}, n.refused...),
	}
	if age, known := n.engine.PlatformAge(now); known {
		s.PlatformAge = int64(age)
	}
	for _, key := range n.engine.HeldKeys() {
		st := n.engine.Stamp(key)
		s.Versions = append(s.Versions, admin.Version{Key: key, Version: st.Version, Digest: st.Digest})
	}
	for _, p := range n.sortedPeers() {
		s.Peers = append(s.Peers, admin.Peer{Name: p.name, Leaving: p.leaving})
	}
	return s
}
