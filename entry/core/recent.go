package core

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/query"
)

// recentKept is how many answered queries can be explained.
const recentKept = 2000

// Explained is what is kept of an answered query.
type Explained struct {
	ID       string
	Service  string
	Arrived  clock.Milli
	Answered clock.Milli
	Answer   query.Answer
	Trail    []fanout.Step
}

// recent keeps the last answered queries. The rows are dropped.
type recent struct {
	ring []Explained
	next int
}

func (r *recent) add(e Explained) {
	e.Answer.Rows = nil
	if len(r.ring) < recentKept {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % recentKept
}

func (r *recent) find(id string) (Explained, bool) {
	for i := range r.ring {
		if r.ring[i].ID == id {
			return r.ring[i], true
		}
	}
	return Explained{}, false
}
