package route

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

func validRoute() Route {
	return Route{Name: "a", Host: "h", Prefix: "/a/", Idempotent: true, Attempts: 1, Timeout: 1, Shards: []string{"x", "y"}}
}

// Prefixes overlap. The longest must match although a shorter one stands before it, and a
// path without the prefix's last slash must not match.
func TestLongestPrefixMatches(t *testing.T) {
	t.Parallel()
	table := Table{Routes: []Route{{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}}}
	r, ok := table.Match("h", "/a/b/c")
	assert.Assert(t, ok)
	assert.Equal(t, r.Name, "long")
	_, ok = table.Match("h", "/a")
	assert.Assert(t, !ok, "a prefix ends with its slash")
	_, ok = table.Match("other", "/a/")
	assert.Assert(t, !ok)
}

// 0.9 of 20 shards is 18.000000000000004 in binary. Rounded up to 19, it would fail
// answers with 18 shards although the operators allow them.
func TestMinShareIsRoundedUpOnlyWhereItMust(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		share  float64
		shards int
		want   int
	}{{0.9, 20, 18}, {0.89, 20, 18}, {0.95, 90, 86}, {1, 3, 3}, {0, 3, 1}, {0.34, 3, 2}} {
		r := Route{MinShare: c.share, Shards: make([]string, c.shards)}
		assert.Equal(t, r.MinShards(), c.want, "%g of %d", c.share, c.shards)
	}
}

// Operators correct a table by the message. It must name each fault and its route or
// service, not just the first.
func TestEveryFaultOfATableIsFound(t *testing.T) {
	t.Parallel()
	good, bad := validRoute(), validRoute()
	bad.Name, bad.Prefix, bad.Attempts, bad.Idempotent = "b", "a", 0, false
	table := Table{Routes: []Route{good, bad, good}, Services: map[string]Service{"x": {ColdRate: -1}}}
	err := table.Check()
	assert.Assert(t, errors.Is(err, ErrInvalid))
	for _, want := range []string{
		`route "b": prefix "a" must begin and end with a slash`, `route "b": attempts 0`, `route "b": a query over shards must be idempotent`,
		`route "a": host and prefix are those of route "a"`, `service "x": cold rate -1`,
	} {
		assert.ErrorContains(t, err, want)
	}
	assert.NilError(t, (&Table{Routes: []Route{good}}).Check())
}

// The longest timeout bounds what callers may take for an answer, whichever route it is of.
func TestLongestTimeout(t *testing.T) {
	var table Table
	assert.Equal(t, table.LongestTimeout(), clock.Milli(0))
	table.Routes = []Route{{Timeout: 8000}, {Timeout: 15000}, {Timeout: 4000}}
	assert.Equal(t, table.LongestTimeout(), clock.Milli(15000))
}
