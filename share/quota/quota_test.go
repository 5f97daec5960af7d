package quota

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Many users that grow without end stay below the limit together.
func TestSumOfGrowingUsersStaysBelowLimit(t *testing.T) {
	b := Bytes{Limit: 1 << 20}
	for range 100 {
		held := int64(0)
		for b.Grow(held, 4096) {
			held += 4096
		}
		assert.Assert(t, b.Used() <= b.Limit, "%d bytes are held", b.Used())
	}
}

// Large replies of faulty leaves must not keep a small one from being read.
func TestLargeUsersLeaveRoomForSmallOnes(t *testing.T) {
	b := Bytes{Limit: 1 << 20}
	held := make([]int64, 20)
	for grown := true; grown; {
		grown = false
		for i := range held {
			if b.Grow(held[i], 4096) {
				held[i] += 4096
				grown = true
			}
		}
	}
	assert.Assert(t, b.Grow(0, 16<<10), "%d of %d bytes are held", b.Used(), b.Limit)
}

// A user that fails must not shrink what the others may hold.
func TestRefusedAndReleasedBytesAreFree(t *testing.T) {
	b := Bytes{Limit: 1000}
	var users sync.WaitGroup
	for range 8 {
		users.Go(func() {
			for range 1000 {
				if b.Grow(0, 400) {
					b.Release(400)
				}
			}
		})
	}
	users.Wait()
	assert.Equal(t, b.Used(), int64(0))
	assert.Assert(t, !b.Grow(0, 600))
	assert.Assert(t, b.Grow(0, 500))
}

// Programs that know no memory limit get the default.
func TestZeroValueHasDefaultLimit(t *testing.T) {
	var b Bytes
	assert.Assert(t, b.Grow(0, DefaultLimit/2))
	var none *Bytes
	assert.Assert(t, none.Grow(0, 2*DefaultLimit))
	none.Release(2 * DefaultLimit)
}

// The limit follows the memory of the host, and leaves room for a message on a small one.
func TestLimitFollowsTheHost(t *testing.T) {
	assert.Equal(t, ForHost(-1), int64(0))
	assert.Equal(t, ForHost(284<<20), int64(284<<20/8))
	assert.Equal(t, ForHost(64<<20), int64(16<<20))
}
