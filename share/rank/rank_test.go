package rank

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a change of the hash: hosts of an earlier version, which run beside those of
// this one, would order names differently.
func TestHashStaysTheSame(t *testing.T) {
	assert.Equal(t, Hash("a", "b"), uint64(0x089c4407b545986a))
	assert.Equal(t, Hash("ab"), Hash("a", "b"))
}

// Guards against fractions that depend too little on the last bytes of a name: with an unmixed
// FNV hash, names that differ only there all fall into a part of the interval.
func TestFractionsAreSpread(t *testing.T) {
	const n = 1000
	var tenths [10]int
	for i := range n {
		f := Fraction("host-1", fmt.Sprint(i))
		assert.Assert(t, f >= 0 && f < 1)
		tenths[int(f*10)]++
	}
	for _, count := range tenths {
		// Evenly spread, each tenth has n/10.
		assert.Assert(t, count > n/20 && count < n/5, "%v", tenths)
	}
}
