package router

import (
	"fmt"

	"dandelionstile/share/clock"
	"dandelionstile/share/report"
)

// Hosts of one failure domain send each other reports on leaves whose calls are slower
// or fail more often than usual, and on their recovery. The load pattern: many hosts
// call a leaf, each of them rarely. When the leaf becomes slow or loses replies, every
// host would find out by a call of its own that is late; with a report from the first,
// the others call another leaf at once. Reports stay within a failure domain, since
// its hosts have the same network path to the leaf, and lose it together.

// LeafReports are reports received from another host.
type LeafReports struct{ List []report.Leaf }

// SendLeafReports sends reports to the other hosts of the own failure domain.
type SendLeafReports struct{ List []report.Leaf }

func (LeafReports) event()      {}
func (SendLeafReports) action() {}

const (
	// ownCallFresh is how long this host's own calls outweigh another host's
	// report on a leaf.
	ownCallFresh clock.Milli = 100
	// stallThreshold is how late a due timer must be for this host to count as
	// stalled, and reportHoldoff how long it then sends no reports: calls that waited
	// here seem slow through no fault of their leaves.
	stallThreshold clock.Milli = 40
	reportHoldoff  clock.Milli = 500
)

// extraCost returns a leaf's expected cost beyond that of a healthy leaf, in ms.
func extraCost(r report.Leaf) float64 { return float64(r.ExtraLatency) + r.FailureRatio*failureCostMs }

// reportLeaf reports a leaf to the other hosts of this host's failure domain if its cost
// has changed notably. Leaves that only aggregators call are not reported, nor any leaf
// within reportHoldoff of a stall of this host.
func (e *Engine) reportLeaf(now clock.Milli, f *leaf) {
	if f.removed || len(e.peersByDomain[e.Self.Domain]) == 0 || now < e.stalledAt+reportHoldoff || e.sharded[f.Service] && e.usesAggregators(f.Domain) {
		return
	}
	typical := e.typicalLatency(f)
	extra := max(0, f.expected(now, typical)-typical)
	r := report.Leaf{ID: f.ID, ExtraLatency: clock.Milli(extra), FailureRatio: f.currentFailureRatio(now)}
	cost := extraCost(r)
	if !f.lastReport.ShouldSend(now, cost) {
		return
	}
	f.lastReport.Record(now, cost)
	e.emit(SendLeafReports{List: []report.Leaf{r}})
}

// applyLeafReports applies another host's reports, except on leaves for which a call of this
// host has ended within ownCallFresh. It records every one as the last report on its leaf, so
// that this host doesn't repeat it.
func (e *Engine) applyLeafReports(now clock.Milli, list []report.Leaf) {
	for _, r := range list {
		f := e.leaves[r.ID]
		if f == nil {
			continue
		}
		f.lastReport.Record(now, extraCost(r))
		if f.calledAt != 0 && now < f.calledAt+ownCallFresh {
			continue
		}
		f.latency, f.latencyAt = e.typicalLatency(f)+float64(r.ExtraLatency), now
		f.deviation = max(f.deviation, f.latency/4)
		f.failureRatio, f.failureRatioAt = r.FailureRatio, now
		e.emit(LogRecord{
			Kind: LogLeafReport, Leaf: f.ID, Service: f.Service, Took: r.ExtraLatency,
			Cause: fmt.Sprintf("%.0f of 100 calls fail", 100*r.FailureRatio),
		})
	}
}

// detectStall records that this host has stalled if a timer is long overdue.
func (e *Engine) detectStall(now clock.Milli) {
	if len(e.timers) > 0 && now > e.timers[0].at+stallThreshold {
		e.stalledAt = now
	}
}
