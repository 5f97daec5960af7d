package rank

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Hosts of an earlier version order names by the same hashes.
func TestHashStaysTheSame(t *testing.T) {
	assert.Equal(t, Hash("a", "b"), uint64(0x089c4407b545986a))
	assert.Equal(t, Hash("ab"), Hash("a", "b"))
}

func TestFractionsAreSpread(t *testing.T) {
	const n = 1000
	var tenths [10]int
	for i := range n {
		f := Fraction("host-1", fmt.Sprint(i))
		assert.Assert(t, f >= 0 && f < 1)
		tenths[int(f*10)]++
	}
	for _, k := range tenths {
		assert.Assert(t, k > n/20 && k < n/5, "%v", tenths)
	}
}
