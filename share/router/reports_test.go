package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/report"
)

// neighbor is another host of the own failure domain.
var neighbor = Peer{Address: "10.0.0.2:1", Domain: here, Started: 1}

// newsRig has two shards, each with a near leaf and a far one, and a neighbor.
func newsRig(t *testing.T) *rig {
	r := newRig(t)
	r.handle(Facts{Table: table(1, merged(1)), Leaves: pairs(1)})
	r.handle(Peers{List: []Peer{neighbor}})
	return r
}

// A leaf has turned slow, and another host of the domain has found out. This
// one has not called the leaf of late; without the news its next query would be
// late. It asks the far leaf at once, and the near one again once it is told that
// the leaf is well.
func TestSlowLeafIsAvoidedOnAnotherHostsWord(t *testing.T) {
	r := newsRig(t)
	r.handle(LeafReports{List: []report.Leaf{{ID: "s0-near", ExtraLatency: 300}}})
	assert.Assert(t, r.noted(NoteLeafReport))
	r.arrive("/all/x", 1500)
	assert.Equal(t, r.last().Leaf, "s0-far")
	r.good(r.last())
	r.handle(LeafReports{List: []report.Leaf{{ID: "s0-near"}}})
	r.arrive("/all/x", 1500)
	assert.Equal(t, r.last().Leaf, "s0-near")
}

// Another host's calls to a leaf fail; the same as for slow ones holds.
func TestFailingLeafIsAvoidedOnAnotherHostsWord(t *testing.T) {
	r := newsRig(t)
	r.handle(LeafReports{List: []report.Leaf{{ID: "s0-near", FailureRatio: 0.6}}})
	r.arrive("/all/x", 1500)
	assert.Equal(t, r.last().Leaf, "s0-far")
}

// This host's own call has just been answered quickly: what another host saw
// some time ago, or sees from a worse place, does not count against that.
func TestOwnCallsTellMoreThanNews(t *testing.T) {
	r := newsRig(t)
	r.arrive("/all/x", 1500)
	r.pass(10)
	r.good(r.last())
	r.handle(LeafReports{List: []report.Leaf{{ID: "s0-near", ExtraLatency: 300}}})
	r.arrive("/all/x", 1500)
	assert.Equal(t, r.last().Leaf, "s0-near")
}

// call has a query answered after a time and returns what was told of its leaf.
func (r *rig) call(took clock.Milli) []report.Leaf {
	before := len(r.leafNews)
	r.arrive("/all/x", 1500)
	s := r.last()
	r.pass(took)
	r.good(s)
	return r.leafNews[before:]
}

// A leaf turns slow. The host tells of it with the first slow reply, not again
// with each that is as slow, and once more when the leaf is well.
func TestNewsIsToldOnce(t *testing.T) {
	r := newsRig(t)
	for range 20 {
		assert.Equal(t, len(r.call(10)), 0, "a leaf as usual is no news")
	}
	told := r.call(150)
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].ID, "s0-near")
	assert.Assert(t, told[0].ExtraLatency >= 15, "%d", told[0].ExtraLatency)
	again := 0
	for range 20 {
		again += len(r.call(150))
	}
	assert.Assert(t, again <= 2, "told %d times more", again)
	r.pass(5000)
	again = 0
	for range 40 {
		again += len(r.call(10))
	}
	assert.Assert(t, again >= 1 && r.leafNews[len(r.leafNews)-1].ExtraLatency < 15, "%v", r.leafNews)
}

// A host is frozen for two seconds while it waits for a leaf. The reply seems to
// have taken as long, but that says nothing of the leaf: if the host told the
// others, all would avoid leafs that are well.
func TestHostThatStoodStillTellsNothing(t *testing.T) {
	r := newsRig(t)
	for range 5 {
		r.call(10)
	}
	r.arrive("/all/x", 1500)
	s := r.last()
	r.now += 2000
	r.handle(Tick{})
	r.good(s)
	assert.Equal(t, len(r.leafNews), 0, "%v", r.leafNews)
}
