// Package syncer distributes accepted configurations and host lists from the
// platform, the operators' configuration store, to every host. A few watchers per
// failure domain read the platform; all other hosts exchange deltas with their peers.
// It is a state machine without I/O: events go in with the time, actions come out.
package syncer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrDeltaMismatch means that a delta does not apply to the version at hand.
var ErrDeltaMismatch = errors.New("delta does not produce the version that it names")

// Stamp orders the versions of one key. Operators number versions; if two operators
// publish the same number at the same time, the digest decides, so that all hosts
// converge on the same version.
type Stamp struct {
	Version uint64
	Digest  uint64
}

// Less reports whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	if s.Version != o.Version {
		return s.Version < o.Version
	}
	return s.Digest < o.Digest
}

// Item is a named part of a set: a file of the configuration, or a host of the
// host list.
type Item struct {
	Name string
	Body []byte
}

// Set is one version of a key: named items. Sets are immutable once built.
type Set struct {
	Version uint64
	Items   map[string][]byte

	stamp Stamp // cached because computing it hashes every item
}

// NewSet builds a set from items; if two items have the same name, the last one wins.
func NewSet(version uint64, items []Item) *Set {
	s := &Set{Version: version, Items: make(map[string][]byte, len(items))}
	for _, it := range items {
		s.Items[it.Name] = it.Body
	}
	return s.computeStamp()
}

// computeStamp sets the stamp of a set whose items are complete, and returns the set. The
// digest is a sum of the items' hashes, so it does not depend on their order.
func (s *Set) computeStamp() *Set {
	var sum uint64
	for name, body := range s.Items {
		sum += itemHash(name, body)
	}
	s.stamp = Stamp{Version: s.Version, Digest: sum}
	return s
}

// Stamp returns the version and a digest over all items, independent of their order.
func (s *Set) Stamp() Stamp { return s.stamp }

// itemHash hashes a name and a body. A zero byte separates them, so that moving a byte
// from one to the other changes the hash.
func itemHash(name string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Sorted returns the items by name.
func (s *Set) Sorted() []Item {
	items := make([]Item, 0, len(s.Items))
	for name, body := range s.Items {
		items = append(items, Item{Name: name, Body: body})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items
}

// Delta turns one version of a key into a newer one. From.Version 0 stands for the
// empty set.
type Delta struct {
	Key     string
	From    Stamp
	To      Stamp
	Changed []Item
	Removed []string
}

// Size returns the approximate size of the delta on a link, in bytes: names and bodies,
// plus an allowance for their encoding and the stamps.
func (d Delta) Size() int {
	n := len(d.Key) + 40
	for _, it := range d.Changed {
		n += len(it.Name) + len(it.Body) + 8
	}
	for _, name := range d.Removed {
		n += len(name) + 2
	}
	return n
}

// diff returns the delta that turns old into s. If old is nil, the delta contains all
// items.
func (s *Set) diff(key string, old *Set) Delta {
	d := Delta{Key: key, To: s.Stamp()}
	if old == nil {
		old = &Set{}
	} else {
		d.From = old.Stamp()
	}
	for _, it := range s.Sorted() {
		before, ok := old.Items[it.Name]
		if !ok || string(before) != string(it.Body) {
			d.Changed = append(d.Changed, it)
		}
	}
	for _, it := range old.Sorted() {
		if _, ok := s.Items[it.Name]; !ok {
			d.Removed = append(d.Removed, it.Name)
		}
	}
	return d
}

// apply returns the set that a delta produces from s, which may be nil. It returns
// ErrDeltaMismatch if the result has another stamp than the delta names, as for a
// truncated delta or one for another version.
func (s *Set) apply(d Delta) (*Set, error) {
	next := &Set{Version: d.To.Version, Items: map[string][]byte{}}
	if s != nil && d.From.Version != 0 {
		for name, body := range s.Items {
			next.Items[name] = body
		}
	}
	for _, it := range d.Changed {
		next.Items[it.Name] = it.Body
	}
	for _, name := range d.Removed {
		delete(next.Items, name)
	}
	if next.computeStamp().Stamp() != d.To {
		return nil, ErrDeltaMismatch
	}
	return next, nil
}
