package node

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/spread"
)

// Shown is a node's state as operators see it.
type Shown struct {
	Host        string         `json:"host"`
	Domain      string         `json:"failure-domain"`
	Program     string         `json:"program"`
	Incarnation uint64         `json:"incarnation"`
	Ready       bool           `json:"ready"`
	Leaving     bool           `json:"leaving"`
	Watching    bool           `json:"watching"`
	PlatformAge int64          `json:"platform-age-ms"`
	Versions    []ShownVersion `json:"versions"`
	Refused     []ShownRefused `json:"refused"`
	Peers       []ShownPeer    `json:"peers"`
}

// ShownVersion is a version in force.
type ShownVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

// ShownRefused is a version that was found invalid.
type ShownRefused struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Why     string `json:"why"`
}

// ShownPeer is a link.
type ShownPeer struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// refusedKept is how many refused versions are shown.
const refusedKept = 8

func (s *Shown) refused(a spread.Refuse) {
	s.Refused = append(s.Refused, ShownRefused{Key: a.Key, Version: a.Stamp.Version, Why: a.Err.Error()})
	if len(s.Refused) > refusedKept {
		s.Refused = s.Refused[1:]
	}
}

// Show returns the node's state.
func (n *Node) Show(now clock.Milli) Shown {
	s := Shown{
		Host: n.Settings.Host.Name, Domain: n.Settings.Host.Domain, Program: n.Program,
		Incarnation: n.Incarnation, Ready: n.Ready(), Leaving: n.leaving,
		Watching: n.engine.Watching(now), PlatformAge: -1,
		Refused: append([]ShownRefused{}, n.shown.Refused...),
	}
	if age, heard := n.engine.PlatformAge(now); heard {
		s.PlatformAge = int64(age)
	}
	for _, key := range n.engine.HeldKeys() {
		st := n.engine.Stamp(key)
		s.Versions = append(s.Versions, ShownVersion{Key: key, Version: st.Version, Digest: st.Digest})
	}
	for _, p := range n.sorted() {
		s.Peers = append(s.Peers, ShownPeer{Name: p.name, Leaving: p.leaving})
	}
	return s
}
