package routed

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/invent"
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

func TestFactsOfAConfiguration(t *testing.T) {
	t.Parallel()
	cfg, err := invent.Parse(4, []invent.Part{{Name: "a.yaml", Body: []byte(inventory)}})
	assert.NilError(t, err)
	f := facts(cfg)
	assert.Equal(t, f.Table.Version, uint64(4))
	assert.Equal(t, f.Regions["b"], "south")
	assert.Assert(t, f.Out["b"] && !f.Out["a"])
	assert.Equal(t, f.Leafs[0].ID, "s-0")
	assert.Equal(t, f.Leafs[0].Slots, 3+2, "each leaf is held to the cap")
	assert.Assert(t, !f.Leafs[0].Draining && f.Leafs[1].Draining)
	// Connections are those of the service's smallest server.
	assert.Equal(t, f.Table.Services["search"].Connections, 8)
}

func TestNothingIsServedWithoutAnAddress(t *testing.T) {
	t.Parallel()
	var r Routed
	assert.NilError(t, r.Start())
	r.Configure(&invent.Config{})
	assert.Assert(t, r.Ready())
	r.Leave()
	assert.NilError(t, r.Close())
}
