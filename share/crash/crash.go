// Package crash detects requests that crash the leaves that run them.
//
// Some requests crash every leaf that starts to run them, and their callers retry
// them at any host. Without a memory that hosts share, such a request takes down one
// leaf after the other for as long as its caller retries. A host whose leaf goes down
// reports the requests that were running there to the other hosts; a request that was
// running on several leaves as they went down is rejected everywhere for a while. A
// request that leaves have answered successfully in the recent past is not blamed:
// among many callers that send the same request, some have it on any leaf that dies
// of another cause, and once rejected it would be rejected for as long as callers
// keep sending it.
package crash

import "dandelionstile/share/clock"

// Report says that a request was running on a leaf when the leaf went down.
type Report struct {
	Fingerprint uint64
	Leaf        string
	// Age is the time since the leaf went down.
	Age clock.Milli
}

const (
	// suspectWindow is the longest time between a broken call and the detection that
	// the leaf is down for which the request is suspected: a leaf that only lost a
	// reply accepts the next connection.
	suspectWindow clock.Milli = 1500
	// BlockThreshold is the number of leaves that must have gone down with a request
	// for it to be rejected. Two may be chance where leaves die of other causes with
	// many requests on them.
	BlockThreshold = 3
	// ReportTTL is how long reports count, and how long a request is rejected after
	// its last report or retry. The reports on a request expire together, with the newest.
	ReportTTL = 60 * clock.Second
	// maxReports bounds the memory; further reports are dropped.
	maxReports = 4096
	// ProvenTTL is the least time for which a successful answer clears a request; the
	// longest is twice that. It is several times suspectWindow, so that an answer
	// still counts when the leaf is found down, and short, so that a request that new
	// leaves cannot run is not cleared for long.
	ProvenTTL = 10 * clock.Second
	// maxProven bounds the memory for answered requests; with more per ProvenTTL each
	// is cleared for a shorter time.
	maxProven = 4096
	// maxReportsSent is the maximum number of reports sent per leaf that goes down.
	maxReportsSent = 16
)

// Tracker remembers which requests were running on which leaves as they went down.
type Tracker struct {
	// broken holds the recent broken calls by leaf.
	broken map[string][]brokenCall
	// seen holds the time of each report, by fingerprint and leaf; count is the number
	// of reports in it.
	seen  map[uint64]map[string]clock.Milli
	count int
	// proven holds the fingerprints answered successfully since rotatedAt,
	// provenBefore those of the preceding period.
	proven, provenBefore map[uint64]bool
	rotatedAt            clock.Milli
}

// brokenCall is a call that broke while its leaf may have been running the request.
type brokenCall struct {
	fingerprint uint64
	at          clock.Milli
}

// RecordBroken records a broken call; it becomes a report if the leaf is found down within
// suspectWindow.
func (t *Tracker) RecordBroken(now clock.Milli, leaf string, fingerprint uint64) {
	if t.broken == nil {
		t.broken = map[string][]brokenCall{}
	}
	list := t.broken[leaf]
	for len(list) > 0 && now-list[0].at > suspectWindow {
		list = list[1:]
	}
	t.broken[leaf] = append(list, brokenCall{fingerprint, now})
}

// RecordDown records that a leaf is down and returns the resulting reports: one for each
// request whose call to the leaf has broken recently, at most maxReportsSent; further ones
// are stored and not returned. Known reports are not returned again, and requests that leaves
// have recently answered are not reported.
func (t *Tracker) RecordDown(now clock.Milli, leaf string) []Report {
	var list []Report
	for _, b := range t.broken[leaf] {
		if now-b.at <= suspectWindow && !t.Proven(now, b.fingerprint) && t.Add(now, b.fingerprint, leaf) && len(list) < maxReportsSent {
			list = append(list, Report{Fingerprint: b.fingerprint, Leaf: leaf})
		}
	}
	delete(t.broken, leaf)
	return list
}

// RecordAnswer records a successful answer, which removes the reports against the request
// and protects it from new ones for a while; see ProvenTTL.
func (t *Tracker) RecordAnswer(now clock.Milli, fingerprint uint64) {
	t.rotate(now)
	if t.proven == nil {
		t.proven = map[uint64]bool{}
	}
	t.proven[fingerprint] = true
	t.count -= len(t.seen[fingerprint])
	delete(t.seen, fingerprint)
}

// Proven reports whether leaves have answered a request successfully within the last one to
// two ProvenTTL.
func (t *Tracker) Proven(now clock.Milli, fingerprint uint64) bool {
	t.rotate(now)
	return t.proven[fingerprint] || t.provenBefore[fingerprint]
}

// rotate starts a new period of successful answers if the current one is over or full, and
// drops those of the period before the preceding one.
func (t *Tracker) rotate(now clock.Milli) {
	age := now - t.rotatedAt
	if age < ProvenTTL && len(t.proven) < maxProven {
		return
	}
	t.provenBefore, t.proven, t.rotatedAt = t.proven, nil, now
	if age >= 2*ProvenTTL {
		t.provenBefore = nil
	}
}

// Add stores the report that a leaf went down at downAt with a request, and reports whether it
// was new. Nothing is stored beyond maxReports.
func (t *Tracker) Add(downAt clock.Milli, fingerprint uint64, leaf string) bool {
	if t.seen == nil {
		t.seen = map[uint64]map[string]clock.Milli{}
	}
	leaves := t.seen[fingerprint]
	if leaves == nil {
		leaves = map[string]clock.Milli{}
		t.seen[fingerprint] = leaves
	}
	if _, known := leaves[leaf]; known || t.count >= maxReports {
		return false
	}
	t.count++
	leaves[leaf] = downAt
	return true
}

// Blocked reports whether a request is rejected, because BlockThreshold leaves have gone
// down with it. It extends the block, so that the request is rejected for as long as it is
// retried, and drops reports that have expired.
func (t *Tracker) Blocked(now clock.Milli, fingerprint uint64) bool {
	leaves := t.seen[fingerprint]
	newest := clock.Milli(0)
	for _, at := range leaves {
		newest = max(newest, at)
	}
	if len(leaves) > 0 && now-newest > ReportTTL {
		t.count -= len(leaves)
		delete(t.seen, fingerprint)
		return false
	}
	if len(leaves) < BlockThreshold {
		return false
	}
	for leaf := range leaves {
		leaves[leaf] = now
	}
	return true
}
