package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/roster"
	"dandelionstile/share/route"
)

// A leaf is slower than its queue: the first in line has too little time left
// for a reply when room comes free, and so would all others have by the time it is
// their turn. The room goes to the first that can still be in time; the other's
// answer leaves at its target without the shard.
func TestRoomGoesToThoseThatCanBeInTime(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(2)), Leaves: []roster.Leaf{leafOf("s0", "busy", here), leafOf("s1", "idle", here)}})
	var busy []Send
	ask := func(path string) uint64 {
		sent := len(r.sends)
		q := r.arrive(path, 1500)
		for _, s := range r.sends[sent:] {
			if s.Leaf == "idle" {
				r.good(s)
				continue
			}
			busy = append(busy, s)
		}
		return q
	}
	const room = 3 // of a leaf with two slots
	for range room {
		ask("/all/x")
	}
	old := ask("/all/old")
	r.pass(200)
	young := ask("/all/young")
	assert.Equal(t, len(busy), room)
	r.good(busy[0])
	assert.Equal(t, r.last().Request.Target, "/all/young")
	r.good(r.last())
	assert.Assert(t, r.answers[young].Merged != nil)
	assert.Equal(t, r.last().Request.Target, "/all/old", "room that nobody else needs was left unused")
	r.good(r.last())
	assert.Assert(t, r.answers[old].Merged != nil)
}

// Leafs with one slot and leafs with two have as many connections to give. A
// second call at a leaf with one slot would wait there behind those of all other
// hosts; it waits here, and goes elsewhere or is dropped if that is better.
func TestCallsAtALeafFollowItsSlots(t *testing.T) {
	for slots, most := range map[int]int{1: 1, 2: 3, 3: maxConnections, 6: maxConnections} {
		r := newRig(t)
		only := leafOf("s0", "only", here)
		only.Slots = slots
		facts := table(1, merged(1))
		facts.Services["s0"] = route.Service{Name: "s0", Connections: 30}
		r.handle(Facts{Table: facts, Leaves: []roster.Leaf{only}})
		for range 6 {
			r.arrive("/all/x", 1500)
		}
		assert.Equal(t, len(r.sends), most, "%d slots", slots)
	}
}
