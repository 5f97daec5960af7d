package crash

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// Fingerprints of requests: one crashes leaves, the other is sent by many callers.
const harmful, popular = 7, 8

// A request is running on three leaves as they go down; served again, it would crash more. It
// is rejected for as long as its caller retries it, and admitted again once the retries have
// stopped for ReportTTL.
func TestRequestAtThreeLeavesIsRejected(t *testing.T) {
	var tracker Tracker
	now := clock.Milli(1000)
	for i := range BlockThreshold {
		assert.Assert(t, !tracker.Blocked(now, harmful))
		leaf := fmt.Sprintf("i-%d", i)
		tracker.RecordBroken(now, leaf, harmful)
		assert.Equal(t, len(tracker.RecordDown(now+100, leaf)), 1)
	}
	for range 5 {
		now += ReportTTL / 2
		assert.Assert(t, tracker.Blocked(now, harmful))
	}
	assert.Assert(t, !tracker.Blocked(now+ReportTTL+1, harmful))
}

// Leaves go down later than suspectWindow after a call to them broke: the call has only lost
// its reply. The request is not the cause, and must not be rejected for it.
func TestBrokenCallAloneIsNoCrash(t *testing.T) {
	var tracker Tracker
	for i := range 2 * BlockThreshold {
		leaf := fmt.Sprintf("i-%d", i)
		tracker.RecordBroken(1000, leaf, harmful)
		assert.Equal(t, len(tracker.RecordDown(1000+suspectWindow+1, leaf)), 0)
	}
	assert.Assert(t, !tracker.Blocked(1000, harmful))
}

// Guards against blaming a request that many callers send: leaves that go down for another
// cause are running it, but have answered it successfully before.
func TestAnsweredRequestIsNotBlamed(t *testing.T) {
	var tracker Tracker
	tracker.RecordAnswer(1000, popular)
	for i := range 2 * BlockThreshold {
		leaf := fmt.Sprintf("i-%d", i)
		tracker.RecordBroken(1100, leaf, popular)
		tracker.RecordDown(1200, leaf)
	}
	assert.Assert(t, !tracker.Blocked(1300, popular))
}
