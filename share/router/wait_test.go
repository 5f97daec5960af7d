package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/roster"
	"dandelionstile/share/route"
)

// A leaf is too slow for its queue: when it has capacity, the first query in the queue has
// too little time left for a reply, and so would all others have when it is their turn. The
// capacity goes to the first query that can still be in time; the other one gets the
// shard's reply late, once no other query needs the capacity.
func TestCapacityGoesToQueriesInTime(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(2)), Leaves: []roster.Leaf{leafOf("s0", "busy", nearDomain), leafOf("s1", "idle", nearDomain)}})
	var busy []Send
	ask := func(path string) uint64 {
		sent := len(r.sends)
		q := r.arrive(path, 1500)
		for _, s := range r.sends[sent:] {
			if s.Leaf == "idle" {
				r.reply(s)
				continue
			}
			busy = append(busy, s)
		}
		return q
	}
	const callLimit = 3 // of a leaf with two slots
	for range callLimit {
		ask("/all/x")
	}
	old := ask("/all/old")
	r.advance(200)
	young := ask("/all/young")
	assert.Equal(t, len(busy), callLimit)
	r.reply(busy[0])
	assert.Equal(t, r.last().Request.Target, "/all/young")
	r.reply(r.last())
	assert.Assert(t, r.answers[young].Merged != nil)
	assert.Equal(t, r.last().Request.Target, "/all/old", "capacity that no other query needs was left unused")
	r.reply(r.last())
	assert.Assert(t, r.answers[old].Merged != nil)
}

// Leaves with one slot and leaves with two allow as many connections. A second call at a
// leaf with one slot would wait there behind the calls of all other hosts; it is queued
// here, from where it can go to another leaf or be dropped.
func TestCallsAtALeafFollowItsSlots(t *testing.T) {
	// One call per slot and one more for each two slots, at most maxConnections.
	for slots, want := range map[int]int{1: 1, 2: 3, 3: maxConnections, 6: maxConnections} {
		r := newRig(t)
		only := leafOf("s0", "only", nearDomain)
		only.Slots = slots
		config := table(1, shardedRoute(1))
		config.Services["s0"] = route.Service{Name: "s0", Connections: 30}
		r.handle(Topology{Table: config, Leaves: []roster.Leaf{only}})
		for range 6 {
			r.arrive("/all/x", 1500)
		}
		assert.Equal(t, len(r.sends), want, "%d slots", slots)
	}
}
