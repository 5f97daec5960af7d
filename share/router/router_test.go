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

// rig drives an engine directly and records its actions.
type rig struct {
	t            *testing.T
	engine       Engine
	now          clock.Milli
	queries      uint64
	sends        []Send
	forwards     []Forward
	cancels      []Cancel
	forgotten    []string
	probes       []Probe
	answers      map[uint64]Answer
	logs         []LogRecord
	crashReports []crash.Report
	// leafReports are the reports sent to the other hosts of the domain.
	leafReports []report.Leaf
}

const (
	nearDomain = "near-1"
	farDomain  = "far-1"
)

// newRig returns a rig without routes, leaves or other hosts. Its clock doesn't start at 0,
// which the engine takes for a time that isn't set.
func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, now: 1000, answers: map[uint64]Answer{}}
	r.engine.Self = HostInfo{Domain: nearDomain, Region: "near"}
	r.engine.Regions = map[string]string{nearDomain: "near", farDomain: "far"}
	return r
}

// handle processes an event and records the resulting actions.
func (r *rig) handle(e Event) {
	for _, a := range r.engine.Handle(r.now, e) {
		switch a := a.(type) {
		case Send:
			r.sends = append(r.sends, a)
		case Forward:
			r.forwards = append(r.forwards, a)
		case Cancel:
			r.cancels = append(r.cancels, a)
		case Forget:
			r.forgotten = append(r.forgotten, a.Leaf)
		case Probe:
			r.probes = append(r.probes, a)
		case Answer:
			_, twice := r.answers[a.Query]
			assert.Assert(r.t, !twice, "query %d was answered twice", a.Query)
			r.answers[a.Query] = a
		case SendCrashReports:
			r.crashReports = append(r.crashReports, a.List...)
		case SendLeafReports:
			r.leafReports = append(r.leafReports, a.List...)
		case LogRecord:
			r.logs = append(r.logs, a)
		}
	}
}

// advance moves the clock forward and handles every tick that falls due.
func (r *rig) advance(span clock.Milli) {
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

// arrive submits a request and returns its number.
func (r *rig) arrive(path string, wait clock.Milli) uint64 {
	r.queries++
	r.handle(Arrival{
		Query: r.queries, Wait: wait,
		Request: r.request(path),
	})
	return r.queries
}

// request returns the request of the query that was numbered last.
func (r *rig) request(path string) *call.Request {
	return &call.Request{ID: fmt.Sprintf("q%d", r.queries), Method: "GET", Target: path, Host: "h"}
}

// last returns the newest call to a leaf.
func (r *rig) last() Send {
	assert.Assert(r.t, len(r.sends) > 0, "no call was made")
	return r.sends[len(r.sends)-1]
}

// reply ends a call with a successful reply of its leaf.
func (r *rig) reply(s Send) {
	r.handle(CallDone{Call: s.Call, Kind: call.Answered, Reply: &call.Reply{Status: 200, Stamp: "stamp-" + s.Leaf}})
}

// fail ends a call without a reply.
func (r *rig) fail(s Send, kind call.Kind) {
	r.handle(CallDone{Call: s.Call, Kind: kind, Cause: "test"})
}

// logged reports whether the engine has logged a record of a kind.
func (r *rig) logged(kind LogKind) bool {
	for _, record := range r.logs {
		if record.Kind == kind {
			return true
		}
	}
	return false
}

// singleRoute returns a route to one leaf of a service.
func singleRoute(idempotent bool) route.Route {
	return route.Route{
		Name: "one", Host: "h", Prefix: "/one/", Idempotent: idempotent, Attempts: 2, Timeout: 4000, Target: 800,
		Services: []route.WeightedService{{Service: "s", Weight: 1}},
	}
}

// shardedRoute returns a route over n shards, s0 and so on.
func shardedRoute(n int) route.Route {
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

// leafOf returns a roster entry of a leaf with two slots.
func leafOf(service, id, domain string) roster.Leaf {
	return roster.Leaf{ID: id, Service: service, Address: id + ":1", Domain: domain, Slots: 2}
}

// leafPairs returns a near leaf and a far one for each of n shards.
func leafPairs(n int) []roster.Leaf {
	var list []roster.Leaf
	for i := range n {
		s := fmt.Sprintf("s%d", i)
		list = append(list, leafOf(s, s+"-near", nearDomain), leafOf(s, s+"-far", farDomain))
	}
	return list
}

// A leaf breaks the connection after it has received a request that may run again. Another
// leaf is called at once, and the caller gets its reply.
func TestBrokenCallIsTriedOnAnotherLeaf(t *testing.T) {
	r := newRig(t)
	r.handle(Topology{Table: table(1, singleRoute(true)), Leaves: []roster.Leaf{leafOf("s", "a", nearDomain), leafOf("s", "b", nearDomain)}})
	q := r.arrive("/one/x", 4000)
	first := r.last()
	r.now += 2
	r.fail(first, call.Broken)
	assert.Equal(t, len(r.sends), 2, "%v", r.logs)
	assert.Assert(t, r.last().Leaf != first.Leaf)
	r.reply(r.last())
	assert.Equal(t, r.answers[q].Reply.Status, 200)
}
