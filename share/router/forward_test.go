package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/roster"
)

const helperAddress = "10.0.0.9:7001"

// farRig has four shards beside it and four that only the far region has, and
// knows a host there.
func farRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	leafs := pairs(4)
	for i := 4; i < 8; i++ {
		s := fmt.Sprintf("s%d", i)
		leafs = append(leafs, leafOf(s, s+"-far", there), leafOf(s, s+"-far2", there))
	}
	r.handle(Facts{Table: table(7, merged(8)), Leaves: leafs})
	r.handle(Peers{List: []Peer{{Address: helperAddress, Domain: there, Started: 1}}})
	return r
}

// Half of a query's shards have leafs in another region only. They cross the
// long way as one request to a host there, which is told which shards, by which
// configuration and until when; its answer is merged with the near replies.
func TestFarShardsAreForwardedTogether(t *testing.T) {
	r := farRig(t)
	q := r.arrive("/all/x", 1500)
	assert.Equal(t, len(r.sends), 4)
	assert.Equal(t, len(r.forwards), 1)
	forward := r.forwards[0]
	assert.DeepEqual(t, forward.Shards, []string{"s4", "s5", "s6", "s7"})
	assert.Equal(t, forward.Version, uint64(7))
	assert.Assert(t, forward.Target < 250-defaultMargin)
	for _, s := range r.sends {
		r.good(s)
	}
	r.handle(Done{Call: forward.Call, Kind: call.Answered, ProcessingTime: 20, Reply: &call.Reply{
		Status: 200, Stamp: "a, b, c", Missing: []string{"s6"},
	}})
	m := r.answers[q].Merged
	assert.Equal(t, len(m.Parts), 5)
	assert.DeepEqual(t, m.Missing, []string{"s6"})
}

// The other host refuses because it has not begun: it knows an older
// configuration, or is leaving. Its shards are asked for from here.
func TestForwardThatWasRefusedIsServedFromHere(t *testing.T) {
	r := farRig(t)
	q := r.arrive("/all/x", 1500)
	r.handle(Done{Call: r.forwards[0].Call, Kind: call.Shed, Cause: "stale"})
	assert.Equal(t, len(r.sends), 8)
	for _, s := range r.sends {
		r.good(s)
	}
	assert.Equal(t, len(r.answers[q].Merged.Parts), 8)
}

// The other host dies long after it was asked. It may have asked two leafs for
// a shard by then, as many as the route allows: none is asked again, and the
// next query avoids the host.
func TestForwardThatBrokeLateIsNotRepeated(t *testing.T) {
	r := farRig(t)
	q := r.arrive("/all/x", 1500)
	for _, s := range r.sends {
		r.good(s)
	}
	r.pass(120)
	sent := len(r.sends)
	r.handle(Done{Call: r.forwards[0].Call, Kind: call.Broken, Cause: "reset"})
	assert.Equal(t, len(r.sends), sent)
	assert.Equal(t, r.answers[q].Refusal, Failed)
	assert.Assert(t, r.noted(NotePeerUnhealthy))
	r.arrive("/all/x", 1500)
	assert.Equal(t, len(r.forwards), 1)
	assert.Equal(t, len(r.sends), sent+8)
}

// A host stands still with a forwarded part. Its caller gets the shards that are
// in when they are enough, and further queries go round it.
func TestHostThatStandsStillIsAvoided(t *testing.T) {
	r := farRig(t)
	r.arrive("/all/x", 1500)
	r.pass(250 + forwardGrace + 60)
	r.arrive("/all/x", 1500)
	assert.Equal(t, len(r.forwards), 1)
}

// A forwarded part names a configuration that this host does not know yet. It is
// refused as not run: answering by the older one would undo the newer.
func TestOlderHostRefusesAForward(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(6, merged(2)), Leaves: pairs(2)})
	ask := func(version uint64, shards ...string) Answer {
		r.queries++
		r.handle(Arrival{
			Query: r.queries, Wait: 1000, Forwarded: true, Version: version, Shards: shards, Target: 100,
			Request: &call.Request{ID: "q", Target: "/all/x", Host: "h"},
		})
		return r.answers[r.queries]
	}
	assert.Equal(t, ask(7, "s0").Refusal, Stale)
	assert.Equal(t, ask(6, "s9").Refusal, Stale)
	assert.Equal(t, len(r.sends), 0)
	ask(6, "s0", "s1")
	assert.Equal(t, len(r.sends), 2)
}

// A forwarded part is answered with whatever is in when its time has come: any
// shard is of use to the host that has the caller.
func TestForwardedPartIsAnsweredInTime(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(6, merged(4)), Leaves: pairs(4)})
	r.queries++
	r.handle(Arrival{
		Query: 1, Wait: 1000, Forwarded: true, Version: 6, Shards: []string{"s0", "s1", "s2"}, Target: 100,
		Request: &call.Request{ID: "q", Target: "/all/x", Host: "h"},
	})
	r.good(r.sends[0])
	r.pass(101)
	m := r.answers[1].Merged
	assert.Equal(t, len(m.Parts), 1)
	assert.DeepEqual(t, m.Missing, []string{"s1", "s2"})
}

// A route may be served in this region only. Its shards are not handed to a
// host elsewhere, nor asked for there.
func TestRegionsOfARouteAreKept(t *testing.T) {
	r := newRig(t)
	bound := merged(2)
	bound.Regions = []string{"near"}
	bound.MinShare = 0.5
	r.handle(Facts{Table: table(1, bound), Leaves: []roster.Leaf{
		leafOf("s0", "a", here), leafOf("s1", "b", there),
	}})
	r.handle(Peers{List: []Peer{{Address: helperAddress, Domain: there, Started: 1}}})
	r.arrive("/all/x", 1500)
	assert.Equal(t, len(r.sends), 1)
	assert.Equal(t, r.sends[0].Leaf, "a")
	assert.Equal(t, len(r.forwards), 0)
}

// A forwarded part finds all leafs busy. It waits for room until its time, and is
// then answered with what there is: a refusal would only have the host that
// sent it ask the same leafs.
func TestForwardedPartWaitsForRoom(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(6, merged(1)), Leaves: pairs(1)})
	for _, f := range r.engine.leaves {
		f.limit = 0
	}
	r.handle(Arrival{
		Query: 1, Wait: 1000, Forwarded: true, Version: 6, Shards: []string{"s0"}, Target: 150,
		Request: &call.Request{ID: "q", Target: "/all/x", Host: "h"},
	})
	r.pass(140)
	_, answered := r.answers[1]
	assert.Assert(t, !answered)
	r.pass(15)
	assert.DeepEqual(t, r.answers[1].Merged.Missing, []string{"s0"})
}

// Another host answers at the target and lacks parts that the query cannot do
// without. They are asked for from here, as second calls; the caller gets an
// answer and need not ask for all shards once more.
func TestPartsThatAnotherHostLacksAreAskedForFromHere(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(4)), Leaves: farLeaves(4)})
	r.handle(Peers{List: []Peer{{Address: helperAddress, Domain: there, Started: 1}}})
	q := r.arrive("/all/x", 1500)
	assert.Equal(t, len(r.forwards), 1)
	r.pass(200)
	r.handle(Done{Call: r.forwards[0].Call, Kind: call.Answered, Reply: &call.Reply{
		Status: 200, Stamp: "a, b", Missing: []string{"s2", "s3"},
	}})
	assert.Equal(t, len(r.sends), 1, "three of four shards are needed: %v", r.notes)
	r.good(r.last())
	r.pass(1500)
	assert.Assert(t, r.answers[q].Merged != nil, "%v", r.answers[q])
	assert.Equal(t, len(r.answers[q].Merged.Missing), 1)
}

// Guards against shards that are handed to a host which has stopped answering: each
// of many hosts would find out by a query of its own that is late.
func TestSuspectedHostGetsNoShards(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(4)), Leaves: farLeaves(4)})
	other := "10.0.2.8:1"
	r.handle(Peers{List: []Peer{{Address: helperAddress, Domain: there, Started: 1, Suspected: true}, {Address: other, Domain: there, Started: 1}}})
	for range 3 {
		r.arrive("/all/x", 1500)
	}
	for _, f := range r.forwards {
		assert.Equal(t, f.Address, other)
	}
	assert.Equal(t, len(r.forwards), 3)
}

// farLeaves are a leaf for each of some shards, all in another failure domain.
func farLeaves(shards int) []roster.Leaf {
	list := make([]roster.Leaf, shards)
	for i := range list {
		service := fmt.Sprintf("s%d", i)
		list[i] = leafOf(service, service+"-far", there)
	}
	return list
}
