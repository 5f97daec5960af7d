// Package crash tells which requests bring down the leafs that run them.
//
// Some requests bring down every leaf that begins to run them, and their
// callers send them again, at any host. Without a memory that hosts share, such
// a request takes down one leaf after the other for as long as its caller has
// patience. A host that sees a leaf go down under requests tells the others
// which ones they were; a request that was at several leafs as they went down
// is refused everywhere for a while. A request that leafs have answered well of
// late is not blamed: where many callers send the same, some are at each leaf
// that dies of something else, and once refused, such a request would be refused
// for as long as callers go on sending it.
package crash

import "dandelionstile/share/clock"

// Report says that a request was at a leaf when it went down.
type Report struct {
	Fingerprint uint64
	Leaf        string
	// Age is how long ago it was seen.
	Age clock.Milli
}

const (
	// span is within how long after a broken call the leaf must turn out
	// to be gone, for the request to be suspected: a leaf that only lost an
	// answer accepts the next connection.
	span clock.Milli = 1500
	// BlockThreshold is at how many leafs that went down a request must have been
	// to be refused. Two may be chance where leafs die of other causes with
	// many requests on them.
	BlockThreshold = 3
	// ReportTTL is how long reports count, and a request is refused after
	// the last.
	ReportTTL = 60 * clock.Second
	// mostReports bounds the memory; beyond it new reports are not kept.
	mostReports = 4096
	// ProvenTTL is how long an answer at least speaks for a request, and at most
	// twice as long. It is several times span, so that what was answered
	// before a leaf is found down still counts; and short, for a request that new
	// leafs cannot bear any more.
	ProvenTTL = 10 * clock.Second
	// mostProven bounds the memory for answered requests; with more in ProvenFor
	// each speaks for a shorter time.
	mostProven = 4096
	// mostTold is how many reports one event passes on.
	mostTold = 16
)

// Tracker remembers which requests were at which leafs as they went down.
type Tracker struct {
	// broken are calls that broke of late, by leaf.
	broken map[string][]brokenCall
	// seen are the reports by fingerprint and leaf, with when they were seen.
	seen  map[uint64]map[string]clock.Milli
	count int
	// well are the fingerprints that were answered well since turned, and
	// provenBefore those of the time before.
	well, provenBefore map[uint64]bool
	turned             clock.Milli
}

type brokenCall struct {
	fingerprint uint64
	at          clock.Milli
}

// RecordBroken notes a call that broke; it becomes a report once the leaf is known gone.
func (c *Tracker) RecordBroken(now clock.Milli, leaf string, fingerprint uint64) {
	if c.broken == nil {
		c.broken = map[string][]brokenCall{}
	}
	list := c.broken[leaf]
	for len(list) > 0 && now-list[0].at > span {
		list = list[1:]
	}
	c.broken[leaf] = append(list, brokenCall{fingerprint, now})
}

// LeafDown takes a leaf as gone and returns the reports that follow from it.
func (c *Tracker) LeafDown(now clock.Milli, leaf string) []Report {
	var list []Report
	for _, b := range c.broken[leaf] {
		if now-b.at <= span && !c.Proven(now, b.fingerprint) && c.Add(now, b.fingerprint, leaf) && len(list) < mostTold {
			list = append(list, Report{Fingerprint: b.fingerprint, Leaf: leaf})
		}
	}
	delete(c.broken, leaf)
	return list
}

// RecordAnswer records that a leaf has answered a request well, which takes back
// what it was blamed for.
func (c *Tracker) RecordAnswer(now clock.Milli, fingerprint uint64) {
	c.turn(now)
	if c.well == nil {
		c.well = map[uint64]bool{}
	}
	c.well[fingerprint] = true
	c.count -= len(c.seen[fingerprint])
	delete(c.seen, fingerprint)
}

// Proven tells whether leafs have answered a request well of late.
func (c *Tracker) Proven(now clock.Milli, fingerprint uint64) bool {
	c.turn(now)
	return c.well[fingerprint] || c.provenBefore[fingerprint]
}

// turn forgets what was answered long ago.
func (c *Tracker) turn(now clock.Milli) {
	age := now - c.turned
	if age < ProvenTTL && len(c.well) < mostProven {
		return
	}
	c.provenBefore, c.well, c.turned = c.well, nil, now
	if age >= 2*ProvenTTL {
		c.provenBefore = nil
	}
}

// Add keeps a report and tells whether it was new.
func (c *Tracker) Add(at clock.Milli, fingerprint uint64, leaf string) bool {
	if c.seen == nil {
		c.seen = map[uint64]map[string]clock.Milli{}
	}
	leafs := c.seen[fingerprint]
	if leafs == nil {
		leafs = map[string]clock.Milli{}
		c.seen[fingerprint] = leafs
	}
	if _, known := leafs[leaf]; known || c.count >= mostReports {
		return false
	}
	c.count++
	leafs[leaf] = at
	return true
}

// Blocked tells whether a request is refused. One that comes again while it is
// refused is refused for longer.
func (c *Tracker) Blocked(now clock.Milli, fingerprint uint64) bool {
	leafs := c.seen[fingerprint]
	newest := clock.Milli(0)
	for _, at := range leafs {
		newest = max(newest, at)
	}
	if len(leafs) > 0 && now-newest > ReportTTL {
		c.count -= len(leafs)
		delete(c.seen, fingerprint)
		return false
	}
	if len(leafs) < BlockThreshold {
		return false
	}
	for leaf := range leafs {
		leafs[leaf] = now
	}
	return true
}
