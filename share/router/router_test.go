package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/report"
	"dandelionstile/share/roster"
	"dandelionstile/share/route"
)

// rig drives an engine by hand and keeps what it asked for.
type rig struct {
	t        *testing.T
	engine   Engine
	now      clock.Milli
	queries  uint64
	sends    []Send
	forwards []Forward
	cancels  []Cancel
	probes   []Probe
	answers  map[uint64]Answer
	notes    []Note
	told     []crash.Report
	// leafNews is what was told to the other hosts of the domain.
	leafNews []report.Leaf
}

const (
	here  = "near-1"
	there = "far-1"
)

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, now: 1000, answers: map[uint64]Answer{}}
	r.engine.Self = HostInfo{Domain: here, Region: "near"}
	r.engine.Regions = map[string]string{here: "near", there: "far"}
	return r
}

func (r *rig) handle(e Event) {
	for _, a := range r.engine.Handle(r.now, e) {
		switch a := a.(type) {
		case Send:
			r.sends = append(r.sends, a)
		case Forward:
			r.forwards = append(r.forwards, a)
		case Cancel:
			r.cancels = append(r.cancels, a)
		case Probe:
			r.probes = append(r.probes, a)
		case Answer:
			_, twice := r.answers[a.Query]
			assert.Assert(r.t, !twice, "query %d was answered twice", a.Query)
			r.answers[a.Query] = a
		case SendCrashReports:
			r.told = append(r.told, a.List...)
		case SendLeafReports:
			r.leafNews = append(r.leafNews, a.List...)
		case Note:
			r.notes = append(r.notes, a)
		}
	}
}

// pass lets time go by, with every tick that falls due.
func (r *rig) pass(span clock.Milli) {
	end := r.now + span
	for {
		next := r.engine.NextTick()
		if next == 0 || next > end {
			break
		}
		r.now = max(r.now, next)
		r.handle(Tick{})
	}
	r.now = end
}

// arrive sends a request in and returns its number.
func (r *rig) arrive(path string, wait clock.Milli) uint64 {
	r.queries++
	r.handle(Arrival{
		Query: r.queries, Wait: wait,
		Request: r.request(path),
	})
	return r.queries
}

// last is the newest call to a leaf.
// request is the one that a caller or host sends next.
func (r *rig) request(path string) *call.Request {
	return &call.Request{ID: fmt.Sprintf("q%d", r.queries), Method: "GET", Target: path, Host: "h"}
}

func (r *rig) last() Send {
	assert.Assert(r.t, len(r.sends) > 0, "no call was made")
	return r.sends[len(r.sends)-1]
}

func (r *rig) good(s Send) {
	r.handle(Done{Call: s.Call, Kind: call.Answered, Reply: &call.Reply{Status: 200, Stamp: "stamp-" + s.Leaf}})
}

func (r *rig) ends(s Send, kind call.Kind) { r.handle(Done{Call: s.Call, Kind: kind, Cause: "test"}) }

// noted tells whether a decision of a kind was noted.
func (r *rig) noted(kind NoteKind) bool {
	for _, n := range r.notes {
		if n.Kind == kind {
			return true
		}
	}
	return false
}

func single(idempotent bool) route.Route {
	return route.Route{
		Name: "one", Host: "h", Prefix: "/one/", Idempotent: idempotent, Attempts: 2, Timeout: 4000, Target: 800,
		Services: []route.WeightedService{{Service: "s", Weight: 1}},
	}
}

// merged is a route over n shards, s0 and so on.
func merged(n int) route.Route {
	r := route.Route{
		Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Attempts: 2, Timeout: 1500, Target: 250,
		TopK: 5, MinShare: 0.75,
	}
	for i := range n {
		r.Shards = append(r.Shards, fmt.Sprintf("s%d", i))
	}
	return r
}

func table(version uint64, routes ...route.Route) *route.Table {
	return &route.Table{Version: version, Routes: routes, Services: map[string]route.Service{}}
}

// leafOf makes an entry of a leaf.
func leafOf(service, id, domain string) roster.Leaf {
	return roster.Leaf{ID: id, Service: service, Address: id + ":1", Domain: domain, Slots: 2}
}

// pairs gives each of n shards a near leaf and a far one.
func pairs(n int) []roster.Leaf {
	var list []roster.Leaf
	for i := range n {
		s := fmt.Sprintf("s%d", i)
		list = append(list, leafOf(s, s+"-near", here), leafOf(s, s+"-far", there))
	}
	return list
}

// A caller asks for a record; the leaf breaks the connection after it has the
// request. The request may run again, so another leaf is asked at once and the
// caller gets its record.
func TestBrokenCallIsTriedOnAnotherLeaf(t *testing.T) {
	r := newRig(t)
	r.handle(Facts{Table: table(1, single(true)), Leaves: []roster.Leaf{leafOf("s", "a", here), leafOf("s", "b", here)}})
	q := r.arrive("/one/x", 4000)
	first := r.last()
	r.now += 2
	r.ends(first, call.Broken)
	assert.Equal(t, len(r.sends), 2, "%v", r.notes)
	assert.Assert(t, r.last().Leaf != first.Leaf)
	r.good(r.last())
	assert.Equal(t, r.answers[q].Reply.Status, 200)
}
