package router

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/roster"
)

// Guards against a log of a line for each leaf and host when an index is cut anew.
func TestManyLeavesAreToldOfInOneLine(t *testing.T) {
	r := newRig(t)
	first := []roster.Leaf{leafOf("s0", "s0-near", here)}
	r.handle(Facts{Table: table(1, merged(1)), Leaves: first})
	count := func(kind NoteKind) (lines, leaves int) {
		for _, n := range r.notes {
			if n.Kind == kind {
				lines++
				leaves += n.Total
			}
		}
		return lines, leaves
	}
	few := append(slices.Clone(first), leafOf("s1", "a", here), leafOf("s2", "b", here))
	r.handle(Facts{Leaves: few})
	lines, _ := count(NoteLeafNew)
	assert.Equal(t, lines, 2)
	many := slices.Clone(few)
	for i := range 258 {
		many = append(many, leafOf("s3", fmt.Sprintf("i-%d", i), here))
	}
	r.handle(Facts{Leaves: many})
	r.handle(Facts{Leaves: few})
	lines, _ = count(NoteLeafNew)
	assert.Equal(t, lines, 2)
	lines, leaves := count(NoteLeavesNew)
	assert.Equal(t, lines, 1)
	assert.Equal(t, leaves, 258)
	lines, leaves = count(NoteLeavesRemoved)
	assert.Equal(t, lines, 1)
	assert.Equal(t, leaves, 258)
}
