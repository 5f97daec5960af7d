// Package report holds the load reports on leaves that the hosts of one failure domain
// exchange, and decides which changes are worth a report.
package report

import (
	"math"

	"dandelionstile/share/clock"
)

// Leaf is a host's report on its calls to a leaf.
type Leaf struct {
	ID string
	// ExtraLatency is how much longer replies take than those of a typical leaf.
	ExtraLatency clock.Milli
	// FailureRatio is the share of calls that fail, from 0 to 1.
	FailureRatio float64
}

const (
	// minChange is the smallest reported change of a leaf's expected cost, in ms:
	// a smaller one doesn't change which leaf is chosen.
	minChange = 20.0
	// minRelativeChange is the smallest reported change, relative to the cost in the last
	// report.
	minRelativeChange = 0.5
	// minInterval is the shortest time between two reports on one leaf.
	minInterval clock.Milli = 150
)

// LastReport is the last report on a leaf that a host has sent or received.
type LastReport struct {
	// cost is the leaf's expected additional cost, in ms.
	cost float64
	at   clock.Milli
}

// ShouldSend reports whether a leaf's new cost differs enough from the last report, and the
// last report is old enough, for another one.
func (l *LastReport) ShouldSend(now clock.Milli, cost float64) bool {
	change := math.Abs(cost - l.cost)
	return change >= max(minChange, minRelativeChange*l.cost) && now >= l.at+minInterval
}

// Record stores the cost and time of a report that was sent or received.
func (l *LastReport) Record(now clock.Milli, cost float64) { l.cost, l.at = cost, now }
