package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/report"
)

// neighbor is another host of the own failure domain.
var neighbor = Peer{Address: "10.0.0.2:1", Domain: nearDomain, Started: 1}

// reportsRig returns a rig with a shard that has a near leaf and a far one, and a neighbor.
func reportsRig(t *testing.T) *rig {
	r := newRig(t)
	r.handle(Topology{Table: table(1, shardedRoute(1)), Leaves: leafPairs(1)})
	r.handle(Peers{List: []Peer{neighbor}})
	return r
}

// A leaf has become slow, and another host of the domain has detected it. This host has not
// called the leaf recently; without the report its next query would be late. It calls the
// far leaf at once, and the near one again after a report that the leaf has recovered.
func TestSlowLeafIsAvoidedAfterReport(t *testing.T) {
	r := reportsRig(t)
	r.handle(LeafReports{List: []report.Leaf{{ID: "s0-near", ExtraLatency: 300}}})
	assert.Assert(t, r.logged(LogLeafReport))
	r.arrive("/all/x", 1500)
	assert.Equal(t, r.last().Leaf, "s0-far")
	r.reply(r.last())
	r.handle(LeafReports{List: []report.Leaf{{ID: "s0-near"}}})
	r.arrive("/all/x", 1500)
	assert.Equal(t, r.last().Leaf, "s0-near")
}

// Another host's calls to a leaf fail. Without the report, this host would find out by a failed
// call of its own; the leaf is avoided like a slow one.
func TestFailingLeafIsAvoidedAfterReport(t *testing.T) {
	r := reportsRig(t)
	r.handle(LeafReports{List: []report.Leaf{{ID: "s0-near", FailureRatio: 0.6}}})
	r.arrive("/all/x", 1500)
	assert.Equal(t, r.last().Leaf, "s0-far")
}

// This host's own call has just been answered quickly. A report that is older, or from a
// host with a worse path to the leaf, does not outweigh that.
func TestOwnCallsOutweighReports(t *testing.T) {
	r := reportsRig(t)
	r.arrive("/all/x", 1500)
	r.advance(10)
	r.reply(r.last())
	r.handle(LeafReports{List: []report.Leaf{{ID: "s0-near", ExtraLatency: 300}}})
	r.arrive("/all/x", 1500)
	assert.Equal(t, r.last().Leaf, "s0-near")
}

// timedCall sends a query whose call is answered after a duration, and returns the leaf
// reports that this host sends meanwhile.
func (r *rig) timedCall(took clock.Milli) []report.Leaf {
	before := len(r.leafReports)
	r.arrive("/all/x", 1500)
	s := r.last()
	r.advance(took)
	r.reply(s)
	return r.leafReports[before:]
}

// A leaf becomes slow. The host reports it with the first slow reply, not again with each
// that is as slow, and once more when the leaf has recovered.
func TestReportIsSentOnce(t *testing.T) {
	r := reportsRig(t)
	for range 20 {
		assert.Equal(t, len(r.timedCall(10)), 0, "a leaf with its usual latency is not reported")
	}
	reports := r.timedCall(150)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].ID, "s0-near")
	// A reply of 150 ms after 10 ms raises the estimate by a quarter of the difference, 35 ms.
	assert.Assert(t, reports[0].ExtraLatency >= 15, "%d", reports[0].ExtraLatency)
	repeated := 0
	for range 20 {
		repeated += len(r.timedCall(150))
	}
	assert.Assert(t, repeated <= 2, "reported %d times more", repeated)
	r.advance(5000)
	repeated = 0
	for range 40 {
		repeated += len(r.timedCall(10))
	}
	assert.Assert(t, repeated >= 1 && r.leafReports[len(r.leafReports)-1].ExtraLatency < 15, "%v", r.leafReports)
}

// A host stalls for two seconds while it waits for a leaf. The reply seems to have taken as
// long, which says nothing about the leaf: with a report, all hosts would avoid healthy
// leaves.
func TestStalledHostSendsNoReports(t *testing.T) {
	r := reportsRig(t)
	for range 5 {
		r.timedCall(10)
	}
	r.arrive("/all/x", 1500)
	s := r.last()
	r.now += 2000
	r.handle(Tick{})
	r.reply(s)
	assert.Equal(t, len(r.leafReports), 0, "%v", r.leafReports)
}
