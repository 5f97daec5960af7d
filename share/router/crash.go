package router

import (
	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/poison"
)

// Some requests bring down every leaf that begins to run them, and their
// callers send them again, at any host. Without a memory that hosts share, such
// a request takes down one leaf after the other for as long as its caller has
// patience. A host that sees a leaf go down under requests tells the others
// which ones they were; a request that was at several leafs as they went down
// is refused everywhere for a while. A request that leafs have answered well of
// late is not blamed: where many callers send the same, some are at each leaf
// that dies of something else, and once refused, such a request would be refused
// for as long as callers go on sending it.

// Crash says that a request was at a leaf when it went down.
type Crash struct {
	Fingerprint uint64
	Leaf        string
	// Age is how long ago it was seen.
	Age clock.Milli
}

// Crashes are what other hosts have seen.
type Crashes struct{ List []Crash }

// TellCrashes passes crashes on to other hosts.
type TellCrashes struct{ List []Crash }

func (Crashes) event()      {}
func (TellCrashes) action() {}

const (
	// crashSpan is within how long after a broken call the leaf must turn out
	// to be gone, for the request to be suspected: a leaf that only lost an
	// answer accepts the next connection.
	crashSpan clock.Milli = 1500
	// crashLeafs is at how many leafs that went down a request must have been
	// to be refused. Two may be chance where leafs die of other causes with
	// many requests on them.
	crashLeafs = 3
	// connCheckPause is the least time between two connection checks of one
	// leaf: where many answers are lost, one new connection tells as much as
	// many.
	connCheckPause clock.Milli = 500
	// crashMemory is how long crashes count, and a request is refused after
	// the last.
	crashMemory = 60 * clock.Second
	// mostCrashes bounds the memory; beyond it new crashes are not kept.
	mostCrashes = 4096
	// provenMemory is how long an answer at least speaks for a request, and at most
	// twice as long. It is several times crashSpan, so that what was answered
	// before a leaf is found down still counts; and short, for a request that new
	// leafs cannot bear any more.
	provenMemory = 10 * clock.Second
	// mostProven bounds the memory for answered requests; with more in provenMemory
	// each speaks for a shorter time.
	mostProven = 4096
	// mostTold is how many crashes one event passes on.
	mostTold = 16
)

// crashes remembers which requests were at which leafs as they went down.
type crashes struct {
	// broken are calls that broke of late, by leaf.
	broken map[string][]brokenCall
	// seen are the crashes by fingerprint and leaf, with when they were seen.
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

func fingerprint(r *call.Request) uint64 {
	return poison.Fingerprint(r.Method+" "+r.Host+r.Target, string(r.Body))
}

// broke notes a call that broke; it is a crash once the leaf is known gone.
func (c *crashes) broke(now clock.Milli, leaf string, fingerprint uint64) {
	if c.broken == nil {
		c.broken = map[string][]brokenCall{}
	}
	list := c.broken[leaf]
	for len(list) > 0 && now-list[0].at > crashSpan {
		list = list[1:]
	}
	c.broken[leaf] = append(list, brokenCall{fingerprint, now})
}

// down takes a leaf as gone and returns the crashes that follow from it.
func (c *crashes) down(now clock.Milli, leaf string) []Crash {
	var list []Crash
	for _, b := range c.broken[leaf] {
		if now-b.at <= crashSpan && !c.proven(now, b.fingerprint) && c.add(now, b.fingerprint, leaf) && len(list) < mostTold {
			list = append(list, Crash{Fingerprint: b.fingerprint, Leaf: leaf})
		}
	}
	delete(c.broken, leaf)
	return list
}

// answered records that a leaf has answered a request well, which takes back
// what it was blamed for.
func (c *crashes) answered(now clock.Milli, fingerprint uint64) {
	c.turn(now)
	if c.well == nil {
		c.well = map[uint64]bool{}
	}
	c.well[fingerprint] = true
	c.count -= len(c.seen[fingerprint])
	delete(c.seen, fingerprint)
}

// proven tells whether leafs have answered a request well of late.
func (c *crashes) proven(now clock.Milli, fingerprint uint64) bool {
	c.turn(now)
	return c.well[fingerprint] || c.provenBefore[fingerprint]
}

// turn forgets what was answered long ago.
func (c *crashes) turn(now clock.Milli) {
	age := now - c.turned
	if age < provenMemory && len(c.well) < mostProven {
		return
	}
	c.provenBefore, c.well, c.turned = c.well, nil, now
	if age >= 2*provenMemory {
		c.provenBefore = nil
	}
}

// add keeps a crash and tells whether it was new.
func (c *crashes) add(at clock.Milli, fingerprint uint64, leaf string) bool {
	if c.seen == nil {
		c.seen = map[uint64]map[string]clock.Milli{}
	}
	leafs := c.seen[fingerprint]
	if leafs == nil {
		leafs = map[string]clock.Milli{}
		c.seen[fingerprint] = leafs
	}
	if _, known := leafs[leaf]; known || c.count >= mostCrashes {
		return false
	}
	c.count++
	leafs[leaf] = at
	return true
}

// blocked tells whether a request is refused. One that comes again while it is
// refused is refused for longer.
func (c *crashes) blocked(now clock.Milli, fingerprint uint64) bool {
	leafs := c.seen[fingerprint]
	newest := clock.Milli(0)
	for _, at := range leafs {
		newest = max(newest, at)
	}
	if len(leafs) > 0 && now-newest > crashMemory {
		c.count -= len(leafs)
		delete(c.seen, fingerprint)
		return false
	}
	if len(leafs) < crashLeafs {
		return false
	}
	for leaf := range leafs {
		leafs[leaf] = now
	}
	return true
}

// crashes takes what other hosts have seen, and passes on what is new here.
func (e *Engine) heardOfCrashes(now clock.Milli, s Crashes) {
	var news []Crash
	for _, one := range s.List {
		if one.Age < crashMemory && !e.crashes.proven(now, one.Fingerprint) && e.crashes.add(now-one.Age, one.Fingerprint, one.Leaf) {
			news = append(news, one)
		}
	}
	if len(news) > 0 {
		e.do(TellCrashes{List: news})
	}
}

// checkConn finds out whether a leaf went down with the call that just broke. The
// next request to it would show so, but a leaf that failed is avoided, and a
// request that is sent once in a while would bring down many leafs before three
// of them were seen to be gone in time.
func (e *Engine) checkConn(now clock.Milli, f *leaf) {
	if f.removed || now < f.connCheckAt {
		return
	}
	f.connCheckAt = now + connCheckPause
	e.do(CheckConn{Leaf: f.ID, Address: f.Address})
}

// absent takes word that nobody listens at a leaf's address.
func (e *Engine) absent(now clock.Milli, a Absent) {
	f := e.leafs[a.Leaf]
	if f == nil {
		return
	}
	e.leafDown(now, f)
	e.callFailed(now, f, 1, "nobody listens", 0)
}

// leafDown is called when nobody listens at a leaf's address any more.
func (e *Engine) leafDown(now clock.Milli, f *leaf) {
	list := e.crashes.down(now, f.ID)
	if len(list) == 0 {
		return
	}
	e.do(Note{Kind: NoteCrash, Leaf: f.ID, Service: f.Service, Of: len(list), Cause: "it went down with requests on it"})
	e.do(TellCrashes{List: list})
}
