// Package roster keeps what leafs say of themselves in a directory that this
// system only reads. A leaf that starts again is a new incarnation, an entry
// that disappears is a leaf that is gone, and neither is believed blindly while
// the directory itself is in trouble.
package roster

import (
	"sort"

	"dandelionstile/share/clock"
)

// Leaf is one entry.
type Leaf struct {
	ID      string
	Service string
	// Address is the IP and port. Another leaf may get it later.
	Address string
	Domain  string
	// Slots is how many requests the leaf works on at once.
	Slots int
	// Draining leafs get no new work.
	Draining bool
	// Started is when the leaf started, in Unix milliseconds by its own clock; it
	// tells two incarnations with one ID apart. 0 is not told.
	Started int64
	// WarmupLeft is how much longer the leaf bears only a part of its load.
	WarmupLeft clock.Milli
}

// RemovalGrace is how long an entry that disappeared while the directory was out
// of reach is still believed after the directory is back. Leafs that live
// write their entries again within about two seconds of its return; without
// the reprieve, a directory that lost all entries in an outage would leave
// every route without a leaf at once.
const RemovalGrace clock.Milli = 2300

// Directory is the directory as this host knows it. The zero value is empty.
type Directory struct {
	leafs map[string]Leaf
	// leaving holds entries that disappeared during or just after an outage,
	// and when each is taken as gone.
	leaving map[string]clock.Milli
	lost    bool
	until   clock.Milli // end of the reprieve after an outage
}

// Put records an entry and tells whether it changed anything. An entry of an
// earlier incarnation than the known one arrived late and is ignored.
func (b *Directory) Put(l Leaf) bool {
	if b.leafs == nil {
		b.leafs = map[string]Leaf{}
		b.leaving = map[string]clock.Milli{}
	}
	old, known := b.leafs[l.ID]
	if known && l.Started != 0 && l.Started < old.Started {
		return false
	}
	delete(b.leaving, l.ID)
	b.leafs[l.ID] = l
	return !known || old != l
}

// Remove records that an entry disappeared and tells whether the leaf is taken
// as gone now.
func (b *Directory) Remove(now clock.Milli, id string) bool {
	if _, ok := b.leafs[id]; !ok {
		return false
	}
	if b.lost || now < b.until {
		if _, ok := b.leaving[id]; !ok {
			b.leaving[id] = max(b.until, now+RemovalGrace)
		}
		return false
	}
	delete(b.leafs, id)
	return true
}

// Retain takes entries that a whole listing does not hold as disappeared, and
// tells whether any leaf is taken as gone now.
func (b *Directory) Retain(now clock.Milli, listed func(id string) bool) bool {
	gone := false
	for id := range b.leafs {
		if !listed(id) {
			gone = b.Remove(now, id) || gone
		}
	}
	return gone
}

// StoreLost says that the directory is out of reach.
func (b *Directory) StoreLost() { b.lost = true }

// StoreRecovered says that the directory answers again.
func (b *Directory) StoreRecovered(now clock.Milli) {
	if !b.lost {
		return
	}
	b.lost = false
	b.until = now + RemovalGrace
	for id := range b.leaving {
		b.leaving[id] = b.until
	}
}

// Expire takes entries as gone whose reprieve is over and returns their ids in
// order.
func (b *Directory) Expire(now clock.Milli) []string {
	if b.lost {
		return nil
	}
	var gone []string
	for id, at := range b.leaving {
		if now >= at {
			gone = append(gone, id)
			delete(b.leaving, id)
			delete(b.leafs, id)
		}
	}
	sort.Strings(gone)
	return gone
}

// Leaves lists the known leafs, ordered by id.
func (b *Directory) Leaves() []Leaf {
	list := make([]Leaf, 0, len(b.leafs))
	for _, l := range b.leafs {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Pending tells whether entries are about to be taken as gone.
func (b *Directory) Pending() bool { return len(b.leaving) > 0 }
