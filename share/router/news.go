package router

import (
	"fmt"

	"dandelionstile/share/clock"
	"dandelionstile/share/report"
)

// Hosts of one failure domain tell each other of leafs whose calls fare worse than
// usual, and when they fare well again. The load pattern: many hosts call a leaf,
// each of them seldom. When it turns slow or loses answers, every one of them
// would find out by a call of its own that comes too late; told by the first, the
// others ask another leaf at once. Only hosts of one failure domain tell each
// other: they have the same way to the leaf, and are cut off from it together.

// LeafReports is what another host has told.
type LeafReports struct{ List []report.Leaf }

// SendLeafReports passes news on to the hosts of the own failure domain.
type SendLeafReports struct{ List []report.Leaf }

func (LeafReports) event()      {}
func (SendLeafReports) action() {}

const (
	// ownFresh is how long this host's own calls tell more of a leaf than
	// another host's.
	ownFresh clock.Milli = 100
	// ownDelay is how late a due alarm must be for this host to have stood
	// still, and mistrust for how long it then tells nothing: the calls that
	// waited seem slow through no fault of their leafs.
	ownDelay clock.Milli = 40
	mistrust clock.Milli = 500
)

// extraCost is a leaf's expected cost beyond the usual, in ms.
func extraCost(n report.Leaf) float64 { return float64(n.ExtraLatency) + n.FailureRatio*failureCost }

// tell passes on what a call has shown of a leaf, if it is news.
func (e *Engine) tell(now clock.Milli, f *leaf) {
	if f.removed || len(e.near[e.Self.Domain]) == 0 || now < e.delayedAt+mistrust || e.sharded[f.Service] && e.tieredIn(f.Domain) {
		return
	}
	usual := e.usual(f)
	late := max(0, f.expected(now, usual)-usual)
	n := report.Leaf{ID: f.ID, ExtraLatency: clock.Milli(late), FailureRatio: f.failing(now)}
	cost := extraCost(n)
	if !f.told.ShouldSend(now, cost) {
		return
	}
	f.told.Record(now, cost)
	e.do(SendLeafReports{List: []report.Leaf{n}})
}

// heardOfLeafs takes over what another host has told, where this host knows
// nothing newer itself.
func (e *Engine) heardOfLeafs(now clock.Milli, list []report.Leaf) {
	for _, n := range list {
		f := e.leafs[n.ID]
		if f == nil {
			continue
		}
		f.told.Record(now, extraCost(n))
		if f.calledAt != 0 && now < f.calledAt+ownFresh {
			continue
		}
		f.lat, f.at = e.usual(f)+float64(n.ExtraLatency), now
		f.dev = max(f.dev, f.lat/4)
		f.fails, f.judged = n.FailureRatio, now
		e.do(Note{
			Kind: NoteLeafReport, Leaf: f.ID, Service: f.Service, Took: n.ExtraLatency,
			Cause: fmt.Sprintf("%.0f of 100 calls fail", 100*n.FailureRatio),
		})
	}
}

// notice sees whether this host has stood still since an alarm was due.
func (e *Engine) notice(now clock.Milli) {
	if len(e.alarms) > 0 && now > e.alarms[0].at+ownDelay {
		e.delayedAt = now
	}
}
