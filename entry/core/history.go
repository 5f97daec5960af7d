package core

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/query"
)

// maxHistory is how many answered queries are kept for Explain.
const maxHistory = 2000

// HistoryEntry records an answered query.
type HistoryEntry struct {
	ID       string
	Service  string
	Arrived  clock.Milli
	Answered clock.Milli
	Answer   query.Answer
	Steps    []fanout.Step
}

// queryHistory keeps the last answered queries without their rows.
type queryHistory struct {
	ring []HistoryEntry
	next int // index of the oldest query once the ring is full
}

// add keeps a query, in place of the oldest one if there are maxHistory.
func (h *queryHistory) add(e HistoryEntry) {
	e.Answer.Rows = nil
	if len(h.ring) < maxHistory {
		h.ring = append(h.ring, e)
		return
	}
	h.ring[h.next] = e
	h.next = (h.next + 1) % maxHistory
}

// find returns the query with an ID, and false if there is none.
func (h *queryHistory) find(id string) (HistoryEntry, bool) {
	for i := range h.ring {
		if h.ring[i].ID == id {
			return h.ring[i], true
		}
	}
	return HistoryEntry{}, false
}
