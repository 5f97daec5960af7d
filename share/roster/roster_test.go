package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

func ids(b *Directory) []string {
	var list []string
	for _, l := range b.Leaves() {
		list = append(list, l.ID)
	}
	return list
}

// The directory fails and loses all its entries. The leaves still run and rewrite
// their entries after it is back: none must be removed. A leaf whose entry does not
// return is removed.
func TestEntriesLostInAnOutageGetAReprieve(t *testing.T) {
	var b Directory
	b.Put(Leaf{ID: "a", Started: 1})
	b.Put(Leaf{ID: "b", Started: 1})
	b.StoreLost()
	b.Remove(1000, "a")
	b.StoreRecovered(5000)
	b.Remove(5010, "b")
	assert.DeepEqual(t, ids(&b), []string{"a", "b"})
	assert.Assert(t, b.Pending())
	b.Put(Leaf{ID: "a", Started: 1})
	assert.Equal(t, len(b.Expire(5000+RemovalGrace-1)), 0)
	assert.DeepEqual(t, b.Expire(5010+RemovalGrace), []string{"b"})
	assert.DeepEqual(t, ids(&b), []string{"a"})
}

// Guards against requests to a leaf whose entry disappears while the directory is
// reachable.
func TestEntryThatDisappearsIsGone(t *testing.T) {
	var b Directory
	b.Put(Leaf{ID: "a"})
	assert.Assert(t, b.Remove(clock.Minute, "a"))
	assert.Equal(t, len(b.Leaves()), 0)
	assert.Assert(t, !b.Remove(clock.Minute, "a"))
}

// A leaf restarts under its ID. A late entry of its former incarnation must not
// replace the new one.
func TestFormerIncarnationIsIgnored(t *testing.T) {
	var b Directory
	assert.Assert(t, b.Put(Leaf{ID: "a", Started: 200, Address: "new"}))
	assert.Assert(t, !b.Put(Leaf{ID: "a", Started: 100, Address: "old", Draining: true}))
	assert.Equal(t, b.Leaves()[0].Address, "new")
	assert.Assert(t, !b.Put(Leaf{ID: "a", Started: 200, Address: "new"}), "nothing changed")
}

// A full listing lacks a known leaf, which must be removed.
func TestLeafsThatAreNotListedAreGone(t *testing.T) {
	var b Directory
	b.Put(Leaf{ID: "a"})
	b.Put(Leaf{ID: "b"})
	assert.Assert(t, b.Retain(clock.Minute, func(id string) bool { return id == "b" }))
	assert.DeepEqual(t, ids(&b), []string{"b"})
	assert.Assert(t, !b.Retain(clock.Minute, func(id string) bool { return id == "b" }))
}
