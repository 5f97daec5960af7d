package httpd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The first sweep after a connection was opened comes while its first answer is being written.
// It closed the connection, as if the caller had never read for longer than any limit.
func TestFirstSweepSparesAnswerBeingWritten(t *testing.T) {
	var caller callerConn
	caller.unsent.Store(100)
	now := time.Now()
	o := &openConn{caller: &caller, idleSince: now}
	assert.Equal(t, Limits{}.withDefaults().nextAction(o, now), keepOpen)
}
