package topo

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/conf"
)

const validInventory = `failure-domains:
  - {name: a, region: r}
services:
  - name: search
    layouts: [{id: 1, shards: 2}]
servers:
  - name: s
    service: search
    failure-domain: a
    address: 127.0.0.1:80
    leafs:
      - {name: l, slots: 2, connections: 8, holds: [{layout: 1, shard: 0}]}
`

// An inventory without faults must parse, and keys that it omits must get their defaults.
func TestParseGood(t *testing.T) {
	c, err := Parse(3, []Part{{Name: "a.yaml", Body: []byte(validInventory)}})
	assert.NilError(t, err)
	assert.Equal(t, c.Inventory.Servers[0].Leaves[0].Slots, 2)
	assert.Equal(t, c.Inventory.Services[0].Patience, 100)
}

// A parser that reports only the first fault, or the wrong file, makes operators
// find faults one by one.
func TestEveryFaultNamesFileLineAndKey(t *testing.T) {
	bad := strings.NewReplacer("slots: 2", "slots: 0", "shard: 0", "shard: 7").Replace(validInventory)
	rules := "out-of-service: [b]\ncarry:\n  - {server: nobody, slots: 1}\ncolour: red\n"
	_, err := Parse(1, []Part{{Name: "inventory.yaml", Body: []byte(bad)}, {Name: "rules.yaml", Body: []byte(rules)}})
	assert.Assert(t, err != nil)
	for _, want := range []string{
		"inventory.yaml:12: servers[0].leafs[0].slots: 0 is out of range",
		"rules.yaml:4: colour: unknown key",
	} {
		assert.Assert(t, strings.Contains(err.Error(), want), "%s\nlacks %s", err, want)
	}
	// References are checked only in files without faults of their own.
	_, err = Parse(1, []Part{
		{Name: "inventory.yaml", Body: []byte(strings.Replace(validInventory, "shard: 0", "shard: 7", 1))},
		{Name: "rules.yaml", Body: []byte("out-of-service: [b]\ncarry:\n  - {server: nobody, slots: 1}\n")},
	})
	for _, want := range []string{
		"inventory.yaml:12: servers[0].leafs[0].holds[0].shard: shard 7 is outside layout 1",
		`rules.yaml:1: out-of-service[0]: failure domain "b" is not in the inventory`,
		`rules.yaml:3: carry[0].server: server "nobody" is not in the inventory`,
	} {
		assert.Assert(t, strings.Contains(err.Error(), want), "%s\nlacks %s", err, want)
	}
	assert.ErrorIs(t, err, conf.ErrInvalid)
}

// The platform cannot store a larger file, so it must be reported as a fault.
func TestPartOverAMegabyte(t *testing.T) {
	_, err := Parse(1, []Part{{Name: "big.yaml", Body: make([]byte, MaxPartBytes+1)}})
	assert.ErrorContains(t, err, "over the limit")
}

// Faulty input must not crash the parser, and every result is either a configuration or
// an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validInventory))
	f.Add([]byte("servers: [{}]"))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := Parse(1, []Part{{Name: "f", Body: body}})
		if (c == nil) == (err == nil) {
			t.Fatal("neither a configuration nor an error, or both")
		}
	})
}

// Faulty host lists and manifests must not crash the parsers.
func FuzzParseHosts(f *testing.F) {
	f.Add([]byte("version: 1\nhosts: [{name: a, failure-domain: d, entry: 127.0.0.1:1, aggregator: 127.0.0.1:2}]"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = ParseHosts(body)
		_, _ = ParseManifest(body)
	})
}
