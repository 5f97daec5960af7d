package news

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A leaf turns slow, grows a little slower still, and is well again. What changes
// little, or has just been told, is not told.
func TestOnlyNotableChangesAreNews(t *testing.T) {
	var l Told
	assert.Assert(t, !l.Worth(1000, leastChange-1))
	assert.Assert(t, l.Worth(1000, 200))
	l.Set(1000, 200)
	assert.Assert(t, !l.Worth(2000, 200*(1+shareChange)-1))
	assert.Assert(t, !l.Worth(1000+pause-1, 0))
	assert.Assert(t, l.Worth(1000+pause, 0))
}
