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

// The directory is away and loses all its entries meanwhile. The leafs still
// live, and write them again just after it is back: no leaf is given up. One
// that does not come back is taken as gone.
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

// In calm times an entry that disappears is a leaf that leaves, and gets no
// more work from that moment.
func TestEntryThatDisappearsIsGone(t *testing.T) {
	var b Directory
	b.Put(Leaf{ID: "a"})
	assert.Assert(t, b.Remove(clock.Minute, "a"))
	assert.Equal(t, len(b.Leaves()), 0)
	assert.Assert(t, !b.Remove(clock.Minute, "a"))
}

// A leaf starts again under its id. What its former incarnation wrote arrives
// late and must not undo that.
func TestFormerIncarnationIsIgnored(t *testing.T) {
	var b Directory
	assert.Assert(t, b.Put(Leaf{ID: "a", Started: 200, Address: "new"}))
	assert.Assert(t, !b.Put(Leaf{ID: "a", Started: 100, Address: "old", Draining: true}))
	assert.Equal(t, b.Leaves()[0].Address, "new")
	assert.Assert(t, !b.Put(Leaf{ID: "a", Started: 200, Address: "new"}), "nothing changed")
}

// A whole listing no longer holds a leaf: it is gone.
func TestLeafsThatAreNotListedAreGone(t *testing.T) {
	var b Directory
	b.Put(Leaf{ID: "a"})
	b.Put(Leaf{ID: "b"})
	assert.Assert(t, b.Retain(clock.Minute, func(id string) bool { return id == "b" }))
	assert.DeepEqual(t, ids(&b), []string{"b"})
	assert.Assert(t, !b.Retain(clock.Minute, func(id string) bool { return id == "b" }))
}
