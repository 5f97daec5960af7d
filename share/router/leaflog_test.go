package router

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/roster"
)

// Guards against a log line for each leaf and host when an index is resharded.
func TestManyLeavesAreLoggedInOneLine(t *testing.T) {
	r := newRig(t)
	first := []roster.Leaf{leafOf("s0", "s0-near", nearDomain)}
	r.handle(Topology{Table: table(1, shardedRoute(1)), Leaves: first})
	count := func(kind LogKind) (lines, leaves int) {
		for _, record := range r.logs {
			if record.Kind == kind {
				lines++
				leaves += record.Total
			}
		}
		return lines, leaves
	}
	few := append(slices.Clone(first), leafOf("s1", "a", nearDomain), leafOf("s2", "b", nearDomain))
	r.handle(Topology{Leaves: few})
	lines, _ := count(LogLeafNew)
	assert.Equal(t, lines, 2)
	many := slices.Clone(few)
	for i := range 258 {
		many = append(many, leafOf("s3", fmt.Sprintf("i-%d", i), nearDomain))
	}
	r.handle(Topology{Leaves: many})
	r.handle(Topology{Leaves: few})
	lines, _ = count(LogLeafNew)
	assert.Equal(t, lines, 2)
	lines, leaves := count(LogLeavesNew)
	assert.Equal(t, lines, 1)
	assert.Equal(t, leaves, 258)
	lines, leaves = count(LogLeavesRemoved)
	assert.Equal(t, lines, 1)
	assert.Equal(t, leaves, 258)
}
