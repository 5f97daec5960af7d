package report

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A leaf turns slow, grows a little slower still, and is well again. What changes
// little, or has just been told, is not told.
func TestOnlyNotableChangesAreNews(t *testing.T) {
	var l LastReport
	assert.Assert(t, !l.ShouldSend(1000, leastChange-1))
	assert.Assert(t, l.ShouldSend(1000, 200))
	l.Record(1000, 200)
	assert.Assert(t, !l.ShouldSend(2000, 200*(1+shareChange)-1))
	assert.Assert(t, !l.ShouldSend(1000+pause-1, 0))
	assert.Assert(t, l.ShouldSend(1000+pause, 0))
}
