package gate

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/invent"
	"dandelionstile/share/query"
)

var errDown = errors.New("connection refused")

// testConfig has one backend server with one leaf of four slots.
func testConfig() *invent.Config {
	return &invent.Config{Version: 1, Inventory: invent.Inventory{
		Domains:  []invent.Domain{{Name: "a", Region: "r"}},
		Services: []invent.Service{{Name: "search", Layouts: []invent.Layout{{ID: 1, Shards: 1}}, Warm: 1000}},
		Servers: []invent.Server{{
			Name: "s", Service: "search", Domain: "a", Address: "127.0.0.1:1",
			Leafs: []invent.Leaf{{Name: "l", Slots: 4, Connections: 16, Holds: []invent.Hold{{Layout: 1, Shard: 0}}}},
		}},
	}}
}

// alone is a host list with this host only, so that it is primary for all.
var alone = []invent.Host{{Name: "host-a", Domain: "a"}}

// start returns an engine whose leaf is warm, with probes answered.
func start(t *testing.T) (*Engine, clock.Milli) {
	t.Helper()
	e := &Engine{Self: "host-a", Domain: "a"}
	e.Configure(0, testConfig(), alone)
	now := clock.Milli(0)
	for now = 10; now < 2000; now += 50 {
		probeAll(e, now, tick(e, now), Sign{Incarnation: 1})
	}
	assert.Equal(t, e.limit(now, e.leafs["l"]), 4)
	return e, now
}

func tick(e *Engine, now clock.Milli) []Action {
	out, _ := e.Tick(now)
	return out
}

// probeAll answers all probes among the actions.
func probeAll(e *Engine, now clock.Milli, actions []Action, s Sign) {
	for _, a := range actions {
		if p, ok := a.(Probe); ok {
			e.Probed(now, p.Leaf, p.Conn, s, nil)
		}
	}
}

func sends(actions []Action) []Send {
	var list []Send
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			list = append(list, s)
		}
	}
	return list
}

func replies(actions []Action) []query.Outcome {
	var list []query.Outcome
	for _, a := range actions {
		if r, ok := a.(Reply); ok {
			list = append(list, r.Outcome)
		}
	}
	return list
}

func arrive(e *Engine, now clock.Milli, id uint64) []Action {
	return e.Arrive(now, Call{Key: Key{1, id}, Leaf: "l", Caller: "c", Deadline: now + 1000, Fingerprint: id})
}

func finishCall(e *Engine, now clock.Milli, s Send, kind query.Kind, sign Sign) []Action {
	return e.Done(now, Result{Leaf: s.Leaf, Conn: s.Conn, Key: s.Call.Key, Outcome: query.Outcome{Kind: kind}, Sign: sign})
}

// A caller's harmless query is refused as one that crashes servers. The server
// restarts while nothing runs on it; its idle connections are closed; the next
// query is put on one of them, fails, and is blamed for the restart.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	e, now := start(t)
	for _, c := range e.leafs["l"].sorted() {
		for _, a := range e.Closed(now, "l", c.id) {
			if p, ok := a.(Probe); ok {
				e.Probed(now, "l", p.Conn, Sign{}, errDown)
			}
		}
	}
	out := arrive(e, now, 7)
	assert.Equal(t, len(sends(out)), 0)
	assert.Equal(t, replies(out)[0].Kind, query.NotRun)
	assert.Equal(t, replies(out)[0].Reason, query.ReasonUnreachable)
}
