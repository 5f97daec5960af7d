// Package roster keeps the entries that leaves write about themselves to the
// platform's store, which this system only reads. A restarted leaf is a new
// incarnation, and a removed entry is a removed leaf, except while the store itself
// is unreachable or has just recovered.
package roster

import (
	"sort"

	"dandelionstile/share/clock"
)

// Leaf is the entry of one leaf.
type Leaf struct {
	ID      string
	Service string
	// Address is the IP and port. It may be reused by another leaf later.
	Address string
	Domain  string // failure domain
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

// RemovalGrace is how long an entry that disappeared while the store was
// unreachable is kept after the store is back. Live leaves rewrite their entries
// within about 2 s of its return. Without the grace period, a store that lost all
// entries in an outage would leave every route without a leaf at once.
const RemovalGrace clock.Milli = 2300

// Directory holds the entries known to this host. The zero value is empty.
type Directory struct {
	leaves map[string]Leaf
	// removals holds entries that disappeared during or just after an outage of the
	// store, and when each is removed.
	removals    map[string]clock.Milli
	unreachable bool        // the store is unreachable
	graceUntil  clock.Milli // end of the grace period after an outage
}

// Put records an entry and reports whether it is new or changed. It cancels a removal of
// the entry, and ignores late entries of an earlier incarnation than the known one. An entry
// without a start time counts as the newest.
func (d *Directory) Put(l Leaf) bool {
	if d.leaves == nil {
		d.leaves = map[string]Leaf{}
		d.removals = map[string]clock.Milli{}
	}
	old, known := d.leaves[l.ID]
	if known && l.Started != 0 && l.Started < old.Started {
		return false
	}
	delete(d.removals, l.ID)
	d.leaves[l.ID] = l
	return !known || old != l
}

// Remove records that an entry disappeared and reports whether the leaf is removed now.
// While the store is unreachable and in the grace period after that, the entry is
// kept until Expire.
func (d *Directory) Remove(now clock.Milli, id string) bool {
	if _, ok := d.leaves[id]; !ok {
		return false
	}
	if d.unreachable || now < d.graceUntil {
		if _, ok := d.removals[id]; !ok {
			d.removals[id] = d.graceUntil
		}
		return false
	}
	delete(d.leaves, id)
	return true
}

// Retain removes the entries that a full listing lacks and reports whether any leaf
// is removed now.
func (d *Directory) Retain(now clock.Milli, listed func(id string) bool) bool {
	removed := false
	for id := range d.leaves {
		if !listed(id) {
			removed = d.Remove(now, id) || removed
		}
	}
	return removed
}

// StoreLost records that the store is unreachable; no entry is removed until it is
// reachable again.
func (d *Directory) StoreLost() { d.unreachable = true }

// StoreRecovered records that the store is reachable again and starts the grace
// period, at whose end the entries are removed that have disappeared. It does nothing
// unless the store was unreachable.
func (d *Directory) StoreRecovered(now clock.Milli) {
	if !d.unreachable {
		return
	}
	d.unreachable = false
	d.graceUntil = now + RemovalGrace
	for id := range d.removals {
		d.removals[id] = d.graceUntil
	}
}

// StoreSteady records that the store has been reachable for others all the while: the
// entries that have disappeared are removed, unless an earlier grace period goes on.
func (d *Directory) StoreSteady() {
	d.unreachable = false
	for id := range d.removals {
		d.removals[id] = d.graceUntil
	}
}

// Expire removes entries whose grace period is over and returns their IDs in order. While
// the store is unreachable, it removes none.
func (d *Directory) Expire(now clock.Milli) []string {
	if d.unreachable {
		return nil
	}
	var removed []string
	for id, removeAt := range d.removals {
		if now >= removeAt {
			removed = append(removed, id)
			delete(d.removals, id)
			delete(d.leaves, id)
		}
	}
	sort.Strings(removed)
	return removed
}

// Leaves lists the known leaves in order of ID.
func (d *Directory) Leaves() []Leaf {
	list := make([]Leaf, 0, len(d.leaves))
	for _, l := range d.leaves {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Pending reports whether any entry awaits removal.
func (d *Directory) Pending() bool { return len(d.removals) > 0 }
