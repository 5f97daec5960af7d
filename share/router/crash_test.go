package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/crash"
	"dandelionstile/share/roster"
)

// crashRig has a service of many leafs and passes crashes on to a second host.
func crashRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	var leafs []roster.Leaf
	for i := range 8 {
		leafs = append(leafs, leafOf("s", fmt.Sprintf("leaf-%d", i), here))
	}
	one := single(true)
	one.Attempts = 1
	r.handle(Facts{Table: table(1, one), Leaves: leafs})
	return r
}

// down lets the leaf that got a request go down under it: the connection
// breaks, and the next request that goes there finds nobody.
func (r *rig) down(s Send) {
	r.ends(s, call.Broken)
	r.engine.leafDown(r.now, r.engine.leaves[s.Leaf])
	for _, a := range r.engine.actions {
		if tell, ok := a.(SendCrashReports); ok {
			r.told = append(r.told, tell.List...)
		}
	}
	r.engine.leaves[s.Leaf].unhealthy = true
	r.engine.leaves[s.Leaf].probeAt = r.now + 100000
}

// A request brings down each leaf that runs it, and its caller sends it again
// and again. After three leafs it is refused at once, here and on a host that
// has only been told of it; other requests are served.
func TestRequestThatBringsLeafsDownIsRefused(t *testing.T) {
	r := crashRig(t)
	for range crash.BlockThreshold {
		r.arrive("/one/bad", 4000)
		r.down(r.last())
	}
	sent := len(r.sends)
	q := r.arrive("/one/bad", 4000)
	assert.Equal(t, r.answers[q].Refusal, Harmful)
	assert.Equal(t, len(r.sends), sent)
	r.arrive("/one/good", 4000)
	assert.Equal(t, len(r.sends), sent+1)

	other := crashRig(t)
	other.handle(CrashReports{List: r.told})
	q = other.arrive("/one/bad", 4000)
	assert.Equal(t, other.answers[q].Refusal, Harmful)
	assert.Equal(t, len(other.sends), 0)
	other.pass(crash.ReportTTL + 1)
	other.arrive("/one/bad", 4000)
	assert.Equal(t, len(other.sends), 1, "it is forgotten in the end")
}

// Leafs lose answers and live on: connections break, and the next one is
// accepted. No request is blamed, however often it is sent.
func TestLostAnswersBlameNoRequest(t *testing.T) {
	r := crashRig(t)
	for range 20 {
		r.arrive("/one/x", 4000)
		r.ends(r.last(), call.Broken)
		r.pass(2000)
	}
	q := r.arrive("/one/x", 4000)
	_, refused := r.answers[q]
	assert.Assert(t, !refused)
}

// A request brings down each leaf that runs it and is sent once in a while. No
// other request follows to the leafs that went down, which are avoided: a connection check
// finds each of them gone, or the request would never be told from one whose
// answers are lost.
func TestLeafThatWentDownIsFoundGoneByAConnCheck(t *testing.T) {
	r := crashRig(t)
	for range crash.BlockThreshold {
		r.arrive("/one/bad", 4000)
		s := r.last()
		r.ends(s, call.Broken)
		var checks []CheckConn
		for _, a := range r.engine.actions {
			if k, ok := a.(CheckConn); ok {
				checks = append(checks, k)
			}
		}
		assert.DeepEqual(t, checks, []CheckConn{{Leaf: s.Leaf, Address: s.Address}})
		r.handle(ConnRefused{Leaf: s.Leaf})
		r.pass(3000)
	}
	q := r.arrive("/one/bad", 4000)
	assert.Equal(t, r.answers[q].Refusal, Harmful)
}

// Half of all answers are lost for a while. A leaf has a connection check now and then, not
// once for each.
func TestLostAnswersCauseFewConnChecks(t *testing.T) {
	r := crashRig(t)
	checks := 0
	for range 200 {
		r.arrive("/one/x", 4000)
		r.ends(r.last(), call.Broken)
		for _, a := range r.engine.actions {
			if _, ok := a.(CheckConn); ok {
				checks++
			}
		}
		r.pass(10)
	}
	most := 8 * (200*10/int(connCheckPause) + 1)
	assert.Assert(t, checks <= most, "%d checks at 8 leafs in two seconds, at most %d", checks, most)
}

// Many callers send the same request, and leafs answer it well. Then four leafs
// die of something else, each with one of these requests on it, one after the
// other or all at once. The request goes on being served: blamed for the leafs,
// it would be refused for as long as callers go on sending it.
func TestPopularRequestIsNotBlamedForLeafsThatDie(t *testing.T) {
	t.Run("one after the other", func(t *testing.T) {
		r := crashRig(t)
		for range crash.BlockThreshold + 1 {
			r.arrive("/one/popular", 4000)
			r.good(r.last())
			r.arrive("/one/popular", 4000)
			r.down(r.last())
			r.pass(500)
		}
		r.servesPopular()
	})
	t.Run("at once", func(t *testing.T) {
		r := crashRig(t)
		r.arrive("/one/popular", 4000)
		r.good(r.last())
		var sends []Send
		at := map[string]bool{}
		for len(at) <= crash.BlockThreshold {
			r.arrive("/one/popular", 4000)
			sends = append(sends, r.last())
			at[r.last().Leaf] = true
		}
		for _, s := range sends {
			if !r.engine.leaves[s.Leaf].unhealthy {
				r.down(s)
			}
		}
		r.servesPopular()
	})
	t.Run("told by another host", func(t *testing.T) {
		r := crashRig(t)
		r.arrive("/one/popular", 4000)
		r.good(r.last())
		r.handle(CrashReports{List: strikesOf("/one/popular", 5)})
		r.servesPopular()
	})
	t.Run("answered after the blame", func(t *testing.T) {
		r := crashRig(t)
		r.arrive("/one/popular", 4000)
		open := r.last()
		r.handle(CrashReports{List: strikesOf("/one/popular", 5)})
		r.good(open)
		r.servesPopular()
	})
}

// A request was served well until its leafs were replaced by a version that it
// brings down. What it was before protects it only for a while.
func TestRequestThatTurnsHarmfulIsRefused(t *testing.T) {
	r := crashRig(t)
	r.arrive("/one/x", 4000)
	r.good(r.last())
	r.pass(2*crash.ProvenTTL + 1)
	for range crash.BlockThreshold {
		r.arrive("/one/x", 4000)
		r.down(r.last())
	}
	q := r.arrive("/one/x", 4000)
	assert.Equal(t, r.answers[q].Refusal, Harmful)
}

// strikesOf are another host's crashes for a request.
func strikesOf(path string, leafs int) []crash.Report {
	fingerprint := fingerprint(&call.Request{Method: "GET", Host: "h", Target: path})
	var list []crash.Report
	for i := range leafs {
		list = append(list, crash.Report{Fingerprint: fingerprint, Leaf: fmt.Sprintf("elsewhere-%d", i), Age: 100})
	}
	return list
}

// servesPopular checks that the popular request is sent to a leaf.
func (r *rig) servesPopular() {
	r.t.Helper()
	sent := len(r.sends)
	q := r.arrive("/one/popular", 4000)
	assert.Equal(r.t, len(r.sends), sent+1, "refused: %v", r.answers[q].Refusal)
}
