package routed

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/httpc"
	"dandelionstile/share/node"
	"dandelionstile/share/spans"
	"dandelionstile/share/topo"
)

const inventory = `failure-domains:
  - {name: a, region: north}
  - {name: b, region: south}
services:
  - {name: search, layouts: [{id: 1, shards: 2}]}
servers:
  - {name: s-0, service: search, failure-domain: a, address: "127.0.0.1:81", leafs: [
      {name: l0, slots: 4, connections: 8, holds: [{layout: 1, shard: 0}]},
      {name: l1, slots: 2, connections: 8, holds: [{layout: 1, shard: 1}]}]}
  - {name: s-1, service: search, failure-domain: b, address: "127.0.0.1:82", leafs: [
      {name: l2, slots: 4, connections: 8, holds: [{layout: 1, shard: 0}]}]}
routes:
  - {name: file, host: h, prefix: /file/, service: search}
carry:
  - {server: s-0, slots: 3}
  - {server: s-1, out: true}
out-of-service: [b]
`

// Guards against limits and drains of the configuration that do not reach the router. The
// limit of 3 slots caps each leaf of s-0: 4 slots become 3, and 2 stay.
func TestTopologyOfAConfiguration(t *testing.T) {
	t.Parallel()
	cfg, err := topo.Parse(4, []topo.Part{{Name: "a.yaml", Body: []byte(inventory)}})
	assert.NilError(t, err)
	topology := newTopology(cfg)
	assert.Equal(t, topology.Table.Version, uint64(4))
	assert.Equal(t, topology.Regions["b"], "south")
	assert.Assert(t, topology.DomainsOut["b"] && !topology.DomainsOut["a"])
	assert.Equal(t, topology.Leaves[0].ID, "s-0")
	assert.Equal(t, topology.Leaves[0].Slots, 3+2, "the cap applies to each leaf")
	assert.Assert(t, !topology.Leaves[0].Draining && topology.Leaves[1].Draining)
	// The service has the connections of its smallest server: s-0 has 8+8, s-1 has 8.
	assert.Equal(t, topology.Table.Services["search"].Connections, 8)
}

// The backend server gets the caller's trace ID with the entry's own span as the
// parent.
func TestTraceIsForwardedToTheServer(t *testing.T) {
	t.Parallel()
	got := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		got <- q.Header.Get(headerTraceParent)
		w.Header().Set(httpc.DefaultDialect.RequestID, q.Header.Get(httpc.DefaultDialect.RequestID))
		w.Header().Set(httpc.DefaultDialect.Stamp, "s")
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "spans.json")
	tracer, err := spans.New(file, "entry", "h", 1) // records every trace
	assert.NilError(t, err)
	r := Server{Tracer: tracer, Log: zerolog.Nop(), Settings: node.Settings{
		Host:   node.HostSettings{Name: "h", Domain: "a"},
		Listen: node.ListenSettings{Links: "127.0.0.1:1"},
		Routes: node.RoutesSettings{Listen: "127.0.0.1:0"},
	}}
	assert.NilError(t, r.Start())
	text := strings.NewReplacer("127.0.0.1:81", server.Listener.Addr().String()).Replace(inventory)
	cfg, err := topo.Parse(1, []topo.Part{{Name: "a.yaml", Body: []byte(text)}})
	assert.NilError(t, err)
	r.Configure(cfg)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	})
	const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.Addr()+"/file/x", nil)
	assert.NilError(t, err)
	q.Host = "h"
	q.Header.Set(httpc.DefaultDialect.RequestID, "q1")
	q.Header.Set(headerTraceParent, caller)
	res, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusOK)
	// A traceparent is the version (2 characters), the trace ID (32), the span ID (16) and
	// the flags (2), joined by hyphens.
	parent := <-got
	assert.Equal(t, parent[:35], caller[:35], "the trace ID differs")
	assert.Assert(t, parent != caller, "the parent is not the entry's span")
	assert.NilError(t, r.Close())
	assert.NilError(t, tracer.Close())
	written, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(written), parent[36:52]), "the span was not written")
}

// Without a listen address the methods must do nothing, and readiness must not fail.
func TestNothingIsServedWithoutAnAddress(t *testing.T) {
	t.Parallel()
	var r Server
	assert.NilError(t, r.Start())
	r.Configure(&topo.Config{})
	assert.Assert(t, r.Ready())
	r.Leave()
	assert.NilError(t, r.Close())
}
