package crash

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

const harmful, popular = 7, 8

// A request is running on three leaves as they go down. It is rejected for as long as
// its caller retries it, and admitted again once it stops for ReportTTL.
func TestRequestAtThreeLeafsIsRefused(t *testing.T) {
	var m Tracker
	now := clock.Milli(1000)
	for i := range BlockThreshold {
		assert.Assert(t, !m.Blocked(now, harmful))
		leaf := fmt.Sprintf("i-%d", i)
		m.RecordBroken(now, leaf, harmful)
		assert.Equal(t, len(m.LeafDown(now+100, leaf)), 1)
	}
	for range 5 {
		now += ReportTTL / 2
		assert.Assert(t, m.Blocked(now, harmful))
	}
	assert.Assert(t, !m.Blocked(now+ReportTTL+1, harmful))
}

// Leaves lose single replies but stay up, or go down long after a broken call. Neither
// counts against the request.
func TestBrokenCallAloneIsNoCrash(t *testing.T) {
	var m Tracker
	for i := range 2 * BlockThreshold {
		leaf := fmt.Sprintf("i-%d", i)
		m.RecordBroken(1000, leaf, harmful)
		assert.Equal(t, len(m.LeafDown(1000+suspectWindow+1, leaf)), 0)
	}
	assert.Assert(t, !m.Blocked(1000, harmful))
}

// Leaves that go down for another cause are running a request that many callers send
// and that leaves answer successfully. It is not rejected.
func TestAnsweredRequestIsNotBlamed(t *testing.T) {
	var m Tracker
	m.RecordAnswer(1000, popular)
	for i := range 2 * BlockThreshold {
		leaf := fmt.Sprintf("i-%d", i)
		m.RecordBroken(1100, leaf, popular)
		m.LeafDown(1200, leaf)
	}
	assert.Assert(t, !m.Blocked(1300, popular))
}
