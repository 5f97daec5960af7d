package topo

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validRoutes = `routes:
  - name: find
    host: find.example
    prefix: /find/
    idempotent: true
    target-ms: 250
    shards: [search]
    top: 5
    least-share: 0.5
    regions: [r]
  - name: file
    host: find.example
    prefix: /file/
    timeout-ms: 3000
    services: [{service: search, weight: 3}]
`

// The router must find the routes of the inventory with their services, and keys that a
// route omits must get their defaults.
func TestRoutesOfTheInventory(t *testing.T) {
	c, err := Parse(7, []Part{{Name: "a.yaml", Body: []byte(validInventory)}, {Name: "routes.yaml", Body: []byte(validRoutes)}})
	assert.NilError(t, err)
	table := c.RouteTable()
	assert.Equal(t, table.Version, uint64(7))
	find, ok := table.Match("find.example", "/find/2f")
	assert.Assert(t, ok && find.Sharded())
	assert.Equal(t, find.Attempts, defaultAttempts)
	assert.Equal(t, find.Timeout, defaultTimeout)
	file, ok := table.Match("find.example", "/file/x/y")
	assert.Assert(t, ok && !file.Idempotent)
	assert.Equal(t, file.Services[0].Weight, 3.0)
	assert.Equal(t, table.Services["search"].Connections, 8)
	assert.Equal(t, table.Services["search"].HealthPath, defaultHealthPath)
	_, ok = table.Match("find.example", "/other/")
	assert.Assert(t, !ok)
}

// An operator publishes a route that cannot work. Each fault must name file, line and
// key before the configuration is in force, also if two files conflict.
func TestFaultyRoutesNameFileLineAndKey(t *testing.T) {
	bad := strings.NewReplacer(
		"prefix: /find/", "prefix: /find", "shards: [search]", "shards: [search, search, lost]",
		"regions: [r]", "regions: [moon]", "idempotent: true", "idempotent: false",
	).Replace(validRoutes)
	second := "routes:\n  - {name: twin, host: find.example, prefix: /file/, service: search}\n  - {name: none, host: h, prefix: /n/}\n"
	_, err := Parse(1, []Part{
		{Name: "a.yaml", Body: []byte(validInventory)}, {Name: "routes.yaml", Body: []byte(bad)}, {Name: "second.yaml", Body: []byte(second)},
	})
	for _, want := range []string{
		`routes.yaml:4: routes[0].prefix: prefix "/find" must begin and end with a slash`,
		`routes.yaml:5: routes[0].idempotent: a query over shards must be idempotent`,
		`routes.yaml:7: routes[0].shards: shard "search" is listed twice`,
		`routes.yaml:7: routes[0].shards[2]: service "lost" is not in the inventory`,
		`routes.yaml:10: routes[0].regions[0]: region "moon" has no failure domain`,
		`second.yaml:2: routes[0].prefix: host and prefix are those of route "file"`,
		`second.yaml:3: routes[1].services: no service has a weight above 0`,
	} {
		assert.ErrorContains(t, err, want)
	}
}
