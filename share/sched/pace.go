package sched

import (
	"math"

	"dandelionstile/share/clock"
)

// pace is how long a leaf's recent calls took, for the entries to choose by.
// The aggregator sees the calls of all entries, so one entry's slow call warns
// the others.
type pace struct {
	ms     float64
	learnt clock.Milli
}

const (
	paceWeight = 0.25
	// paceHalf is how long it takes until half of a bad pace is forgotten. A
	// slow leaf is avoided, so little new is learnt of it.
	paceHalf = 2 * clock.Second
)

func (p *pace) learn(now, took clock.Milli) {
	p.learnt = now
	if p.ms == 0 {
		p.ms = float64(took)
	}
	p.ms += (float64(took) - p.ms) * paceWeight
}

// at is the pace as of now, drawn towards what is usual as it grows old.
func (p *pace) at(now clock.Milli, usual float64) float64 {
	if p.ms <= usual {
		return p.ms
	}
	return usual + (p.ms-usual)*math.Exp2(-float64(now-p.learnt)/float64(paceHalf))
}

// overtaken learns from a call that was given up on: it took at least as long
// as it ran.
func (f *leaf) overtaken(now clock.Milli, k *call) {
	c := f.conns[k.conn]
	if c == nil {
		return
	}
	if ran := now - c.since; float64(ran) > f.health.pace.ms {
		f.health.pace.learn(now, ran)
	}
}
