package play

import (
	"fmt"
	"strings"
	"time"
)

const (
	// stopWithin is how long after a caller has left leafs may still be sent its
	// request, or work on it. It is well below the time at which a query would
	// be answered anyway, which ends the work as well.
	stopWithin = 250 * time.Millisecond
	// fewSent is how many such requests of a run are forgiven: a host may have
	// had no turn while the machine was busy.
	fewSent = 3
	// workShare is the share of the requests that would have gone on, at which
	// leafs may still work.
	workShare = 0.25
)

// checkGone: once a caller has left, nothing more is done for it.
func (w *world) checkGone(all map[string]*seen) {
	sent, worked, long := 0, 0, 0
	lastSent, lastWork := "", ""
	for _, r := range w.checks.requests {
		s := all[r.id]
		if !r.left || s == nil {
			continue
		}
		due := r.ended.Add(stopWithin)
		for _, a := range s.reached {
			if a.At.After(due) && !w.troubled(a.SourceIP, r.sent, a.At) {
				sent++
				lastSent = fmt.Sprintf("%s, from %s %s later", r.id, a.SourceIP, a.At.Sub(r.ended))
			}
		}
		for _, run := range s.worked {
			// A stalled or frozen leaf would have worked on beyond the bound.
			if strings.HasPrefix(r.path, "/set/") || w.troubled(run.SourceIP, r.sent, due) || !w.lasting(run.At, due) {
				continue
			}
			long++
			if run.Ended.IsZero() || run.Ended.After(due) {
				worked++
				lastWork = fmt.Sprintf("%s, from %s", r.id, run.SourceIP)
			}
		}
	}
	if sent > fewSent {
		w.checks.fault("GONE: %d requests were sent on after their callers had left, the last is %s", sent, lastSent)
	}
	if worked > fewSent && float64(worked) > workShare*float64(long) {
		w.checks.fault("GONE: leafs still worked on %d requests of %d whose callers had left, the last is %s", worked, long, lastWork)
	}
}

// lasting tells whether a run that began at a time may last until another: leafs
// were stalled or frozen then.
func (w *world) lasting(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return overlaps(w.stalls, from, to)
}

// troubled tells whether a fault met the host with an IP in a span of time, or
// shortly before.
func (w *world) troubled(ip string, from, to time.Time) bool {
	for _, h := range w.hosts {
		if h.ip != ip {
			continue
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return overlaps(h.hits, from.Add(-time.Second), to) || overlaps(h.terms, from, to)
	}
	return true // nobody's request: a probe of the soak itself
}
