package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// ids returns the IDs of the known leaves.
func ids(d *Directory) []string {
	var list []string
	for _, l := range d.Leaves() {
		list = append(list, l.ID)
	}
	return list
}

// The store fails and loses all its entries. The leaves still run and rewrite
// their entries after it is back: none must be removed. A leaf whose entry does not
// return is removed.
func TestEntriesLostInAnOutageGetAGracePeriod(t *testing.T) {
	var d Directory
	d.Put(Leaf{ID: "a", Started: 1})
	d.Put(Leaf{ID: "b", Started: 1})
	d.StoreLost()
	d.Remove(1000, "a")
	d.StoreRecovered(5000)
	d.Remove(5010, "b")
	assert.DeepEqual(t, ids(&d), []string{"a", "b"})
	assert.Assert(t, d.Pending())
	d.Put(Leaf{ID: "a", Started: 1})
	assert.Equal(t, len(d.Expire(5000+RemovalGrace-1)), 0)
	assert.DeepEqual(t, d.Expire(5010+RemovalGrace), []string{"b"})
	assert.DeepEqual(t, ids(&d), []string{"a"})
}

// An entry disappears a while after the store's return. Its leaf must be gone when the others
// that have not returned are: a grace period of its own would send requests to a leaf that may
// have ended.
func TestGracePeriodCountsFromTheStoresReturn(t *testing.T) {
	var d Directory
	d.Put(Leaf{ID: "a"})
	d.StoreLost()
	d.StoreRecovered(5000)
	assert.Assert(t, !d.Remove(5000+RemovalGrace-100, "a"))
	assert.Equal(t, len(d.Expire(5000+RemovalGrace-1)), 0)
	assert.DeepEqual(t, d.Expire(5000+RemovalGrace), []string{"a"})
}

// A host could not reach the store, and learns that others could all the while. Entries that have
// disappeared count at once, unless the grace period of an earlier outage goes on.
func TestSteadyStoreGivesNoGrace(t *testing.T) {
	var d Directory
	d.Put(Leaf{ID: "a"})
	d.Put(Leaf{ID: "b"})
	d.StoreLost()
	d.Remove(1000, "a")
	d.StoreSteady()
	assert.DeepEqual(t, d.Expire(1000), []string{"a"})
	d.StoreLost()
	d.StoreRecovered(2000)
	d.StoreLost()
	d.Remove(2500, "b")
	d.StoreSteady()
	assert.Equal(t, len(d.Expire(2000+RemovalGrace-1)), 0)
	assert.DeepEqual(t, d.Expire(2000+RemovalGrace), []string{"b"})
}

// An entry disappears while the store is reachable: the leaf has ended, and a grace
// period would send requests to it.
func TestEntryThatDisappearsIsRemoved(t *testing.T) {
	var d Directory
	d.Put(Leaf{ID: "a"})
	assert.Assert(t, d.Remove(clock.Minute, "a"))
	assert.Equal(t, len(d.Leaves()), 0)
	assert.Assert(t, !d.Remove(clock.Minute, "a"))
}

// A leaf restarts under its ID. A late entry of its former incarnation must not
// replace the new one.
func TestFormerIncarnationIsIgnored(t *testing.T) {
	var d Directory
	assert.Assert(t, d.Put(Leaf{ID: "a", Started: 200, Address: "new"}))
	assert.Assert(t, !d.Put(Leaf{ID: "a", Started: 100, Address: "old", Draining: true}))
	assert.Equal(t, d.Leaves()[0].Address, "new")
	assert.Assert(t, !d.Put(Leaf{ID: "a", Started: 200, Address: "new"}), "nothing changed")
}

// A full listing stands in for the changes that this host has missed. A leaf that it lacks
// has ended and must be removed.
func TestLeavesThatAreNotListedAreRemoved(t *testing.T) {
	var d Directory
	d.Put(Leaf{ID: "a"})
	d.Put(Leaf{ID: "b"})
	assert.Assert(t, d.Retain(clock.Minute, func(id string) bool { return id == "b" }))
	assert.DeepEqual(t, ids(&d), []string{"b"})
	assert.Assert(t, !d.Retain(clock.Minute, func(id string) bool { return id == "b" }))
}
