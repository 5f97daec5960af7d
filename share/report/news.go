// Package news holds what hosts of one failure domain tell each other of leafs,
// and decides what is worth telling.
package report

import (
	"math"

	"dandelionstile/share/clock"
)

// Leaf says how calls to a leaf fare at a host.
type Leaf struct {
	ID string
	// ExtraLatency is by how much replies take longer than usual.
	ExtraLatency clock.Milli
	// FailureRatio is the share of calls that fail.
	FailureRatio float64
}

const (
	// leastChange is the least change of a leaf's expected cost, in ms, that is
	// told: less does not change which leaf is chosen.
	leastChange = 20.0
	// shareChange is the change that is told as a share of what was told last.
	shareChange = 0.5
	// pause is the least time between two tellings of one leaf.
	pause clock.Milli = 150
)

// LastReport is what a host has said or heard of a leaf last.
type LastReport struct {
	// cost is the leaf's expected cost beyond the usual, in ms.
	cost float64
	at   clock.Milli
}

// ShouldSend tells whether a leaf's changed cost is news.
func (t *LastReport) ShouldSend(now clock.Milli, cost float64) bool {
	change := math.Abs(cost - t.cost)
	return change >= max(leastChange, shareChange*t.cost) && now >= t.at+pause
}

// Record records what was said or heard.
func (t *LastReport) Record(now clock.Milli, cost float64) { t.cost, t.at = cost, now }
