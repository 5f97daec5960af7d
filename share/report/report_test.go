package report

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a flood of reports on a leaf whose latency fluctuates: it becomes slow, then
// slightly slower, then recovers. Small changes, and changes right after a report, are not
// sent.
func TestOnlyNotableChangesAreSent(t *testing.T) {
	var l LastReport
	assert.Assert(t, !l.ShouldSend(1000, minChange-1))
	assert.Assert(t, l.ShouldSend(1000, 200))
	l.Record(1000, 200)
	assert.Assert(t, !l.ShouldSend(2000, 200*(1+minRelativeChange)-1))
	assert.Assert(t, !l.ShouldSend(1000+minInterval-1, 0))
	assert.Assert(t, l.ShouldSend(1000+minInterval, 0))
}
