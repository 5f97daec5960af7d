// Package roster keeps the entries that leaves write about themselves to a
// directory that this system only reads. A restarted leaf is a new incarnation,
// and a removed entry is a removed leaf, except while the directory itself is
// unreachable or has just recovered.
package roster

import (
	"sort"

	"dandelionstile/share/clock"
)

// Leaf is one entry of the directory.
type Leaf struct {
	ID      string
	Service string
	// Address is the IP and port. It may be reused by another leaf later.
	Address string
	Domain  string
	// Slots is how many requests the leaf runs concurrently.
	Slots int
	// Draining leaves receive no new requests.
	Draining bool
	// Started is when the leaf started, in Unix ms by its own clock. It
	// distinguishes incarnations with the same ID; 0 if unknown.
	Started int64
	// WarmupLeft is how much longer the leaf can take only part of its load.
	WarmupLeft clock.Milli
}

// RemovalGrace is how long an entry that disappeared while the directory was
// unreachable is kept after the directory is back. Live leaves rewrite their
// entries within about 2 s of its return. Without the grace period, a directory
// that lost all entries in an outage would leave every route without a leaf at
// once.
const RemovalGrace clock.Milli = 2300

// Directory holds the entries known to this host. The zero value is empty.
type Directory struct {
	leaves map[string]Leaf
	// removals holds entries that disappeared during or just after an outage, and
	// when each is removed.
	removals    map[string]clock.Milli
	unreachable bool
	graceUntil  clock.Milli // end of the grace period after an outage
}

// Put records an entry and reports whether it changed anything. It ignores late
// entries of an earlier incarnation than the known one.
func (b *Directory) Put(l Leaf) bool {
	if b.leaves == nil {
		b.leaves = map[string]Leaf{}
		b.removals = map[string]clock.Milli{}
	}
	old, known := b.leaves[l.ID]
	if known && l.Started != 0 && l.Started < old.Started {
		return false
	}
	delete(b.removals, l.ID)
	b.leaves[l.ID] = l
	return !known || old != l
}

// Remove records that an entry disappeared and reports whether the leaf is removed
// now.
func (b *Directory) Remove(now clock.Milli, id string) bool {
	if _, ok := b.leaves[id]; !ok {
		return false
	}
	if b.unreachable || now < b.graceUntil {
		if _, ok := b.removals[id]; !ok {
			b.removals[id] = max(b.graceUntil, now+RemovalGrace)
		}
		return false
	}
	delete(b.leaves, id)
	return true
}

// Retain removes the entries that a full listing lacks and reports whether any leaf
// is removed now.
func (b *Directory) Retain(now clock.Milli, listed func(id string) bool) bool {
	removed := false
	for id := range b.leaves {
		if !listed(id) {
			removed = b.Remove(now, id) || removed
		}
	}
	return removed
}

// StoreLost records that the directory is unreachable.
func (b *Directory) StoreLost() { b.unreachable = true }

// StoreRecovered records that the directory is reachable again.
func (b *Directory) StoreRecovered(now clock.Milli) {
	if !b.unreachable {
		return
	}
	b.unreachable = false
	b.graceUntil = now + RemovalGrace
	for id := range b.removals {
		b.removals[id] = b.graceUntil
	}
}

// Expire removes entries whose grace period is over and returns their IDs in
// order.
func (b *Directory) Expire(now clock.Milli) []string {
	if b.unreachable {
		return nil
	}
	var removed []string
	for id, at := range b.removals {
		if now >= at {
			removed = append(removed, id)
			delete(b.removals, id)
			delete(b.leaves, id)
		}
	}
	sort.Strings(removed)
	return removed
}

// Leaves lists the known leaves in order of ID.
func (b *Directory) Leaves() []Leaf {
	list := make([]Leaf, 0, len(b.leaves))
	for _, l := range b.leaves {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Pending reports whether any entry awaits removal.
func (b *Directory) Pending() bool { return len(b.removals) > 0 }
