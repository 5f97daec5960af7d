package router

import (
	"fmt"
	"math"

	"dandelionstile/share/clock"
)

// Hosts of one failure domain tell each other of leafs whose calls fare worse than
// usual, and when they fare well again. The load pattern: many hosts call a leaf,
// each of them seldom. When it turns slow or loses answers, every one of them
// would find out by a call of its own that comes too late; told by the first, the
// others ask another leaf at once. Only hosts of one failure domain tell each
// other: they have the same way to the leaf, and are cut off from it together.

// LeafNews says how calls to a leaf fare at another host.
type LeafNews struct {
	Leaf string
	// Late is by how much replies take longer than usual.
	Late clock.Milli
	// Failing is the share of calls that fail.
	Failing float64
}

// HeardOfLeafs is what another host has told.
type HeardOfLeafs struct{ List []LeafNews }

// TellOfLeafs passes news on to the hosts of the own failure domain.
type TellOfLeafs struct{ List []LeafNews }

func (HeardOfLeafs) event() {}
func (TellOfLeafs) action() {}

const (
	// newsLeast is the least change of a leaf's expected cost, in ms, that is
	// told: less does not change which leaf is chosen.
	newsLeast = 20.0
	// newsShare is the change that is told as a share of what was told last.
	newsShare = 0.5
	// newsPause is the least time between two tellings of one leaf.
	newsPause clock.Milli = 150
	// ownFresh is how long this host's own calls tell more of a leaf than
	// another host's.
	ownFresh clock.Milli = 100
	// ownDelay is how late a due alarm must be for this host to have stood
	// still, and mistrust for how long it then tells nothing: the calls that
	// waited seem slow through no fault of their leafs.
	ownDelay clock.Milli = 40
	mistrust clock.Milli = 500
)

// told is what this host has said or heard of a leaf last.
type told struct {
	// badness is the leaf's expected cost beyond the usual, in ms.
	badness float64
	at      clock.Milli
}

func badness(n LeafNews) float64 { return float64(n.Late) + n.Failing*failureCost }

// worth tells whether a leaf's changed cost is news.
func (t *told) worth(now clock.Milli, cost float64) bool {
	change := math.Abs(cost - t.badness)
	return change >= max(newsLeast, newsShare*t.badness) && now >= t.at+newsPause
}

// tell passes on what a call has shown of a leaf, if it is news.
func (e *Engine) tell(now clock.Milli, f *leaf) {
	if f.removed || len(e.near[e.Self.Domain]) == 0 || now < e.delayedAt+mistrust {
		return
	}
	usual := e.usual(f)
	late := max(0, f.expected(now, usual)-usual)
	n := LeafNews{Leaf: f.ID, Late: clock.Milli(late), Failing: f.failing(now)}
	if !f.told.worth(now, badness(n)) {
		return
	}
	f.told = told{badness(n), now}
	e.do(TellOfLeafs{List: []LeafNews{n}})
}

// heardOfLeafs takes over what another host has told, where this host knows
// nothing newer itself.
func (e *Engine) heardOfLeafs(now clock.Milli, list []LeafNews) {
	for _, n := range list {
		f := e.leafs[n.Leaf]
		if f == nil {
			continue
		}
		f.told = told{badness(n), now}
		if f.calledAt != 0 && now < f.calledAt+ownFresh {
			continue
		}
		f.lat, f.at = e.usual(f)+float64(n.Late), now
		f.dev = max(f.dev, f.lat/4)
		f.fails, f.judged = n.Failing, now
		e.do(Note{
			Kind: NoteLeafHeard, Leaf: f.ID, Service: f.Service, Took: n.Late,
			Cause: fmt.Sprintf("%.0f of 100 calls fail", 100*n.Failing),
		})
	}
}

// notice sees whether this host has stood still since an alarm was due.
func (e *Engine) notice(now clock.Milli) {
	if len(e.alarms) > 0 && now > e.alarms[0].at+ownDelay {
		e.delayedAt = now
	}
}
