package node

import (
	"dandelionstile/share/admin"
	"dandelionstile/share/clock"
	"dandelionstile/share/syncer"
)

// maxRejected is how many rejected versions, the last ones, the status lists.
const maxRejected = 8

// recordRejected keeps a rejected version for the status, in place of the oldest one if
// there are maxRejected.
func (n *Node) recordRejected(a syncer.Reject) {
	n.rejected = append(n.rejected, admin.RejectedVersion{Key: a.Key, Version: a.Stamp.Version, Reason: a.Err.Error()})
	if len(n.rejected) > maxRejected {
		n.rejected = n.rejected[1:]
	}
}

// Status returns the node's state for the admin endpoint. PlatformAge is -1 if
// neither this host nor a peer has reached the platform.
func (n *Node) Status(now clock.Milli) admin.Node {
	s := admin.Node{
		Host: n.Settings.Host.Name, Domain: n.Settings.Host.Domain, Program: n.Program,
		Incarnation: n.Incarnation, Ready: n.Ready(), Leaving: n.leaving,
		Watching: n.engine.Watching(now), PlatformAge: -1,
		Rejected: append([]admin.RejectedVersion{}, n.rejected...),
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
