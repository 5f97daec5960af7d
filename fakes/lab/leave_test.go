package lab

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller closes its connection while the leafs work on its query for 300 ms.
// Through entry and aggregators, the leafs are told to stop well before
// they would have been done.
func TestLeafsStopWhenTheCallerLeaves(t *testing.T) {
	l, c := startLab(t, func(l *Lab) { l.Model.ServiceTime = 300 * time.Millisecond })
	cancelled := func() int {
		n := 0
		for _, s := range l.Servers {
			n += s.Stats().Cancelled
		}
		return n
	}
	// Proven first, so that all shards are asked at once.
	_, err := c.Query(l.Hosts[0].Callers, "subscriber-app", "leaves", budget)
	assert.NilError(t, err)
	before := cancelled()
	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Hosts[0].Callers+"/v1/query",
		strings.NewReader(`{"service":"subscriber-app","text":"leaves"}`))
	assert.NilError(t, err)
	time.AfterFunc(80*time.Millisecond, leave)
	res, err := http.DefaultClient.Do(r)
	if err == nil {
		assert.NilError(t, res.Body.Close())
	}
	assert.ErrorIs(t, err, context.Canceled)
	assert.NilError(t, Await(150*time.Millisecond, "the leafs are told to stop", func() bool { return cancelled() > before }))
}
