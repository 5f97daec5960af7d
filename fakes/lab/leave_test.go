package lab

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against leaves that continue a cancelled query. A caller disconnects 80 ms after it
// sent a query that takes the leaves 300 ms. The cancellation must reach a leaf through
// entry and aggregator within 150 ms, well before the leaf would have finished.
func TestLeavesStopWhenTheCallerDisconnects(t *testing.T) {
	l, c := startLab(t, func(l *Lab) { l.Model.ServiceTime = 300 * time.Millisecond })
	cancelled := func() int {
		n := 0
		for _, s := range l.Servers {
			n += s.Stats().Cancelled
		}
		return n
	}
	// A query that no leaf has completed would go to a canary before it goes to all shards.
	_, err := c.Query(l.Hosts[0].CallerAddress, "subscriber-app", "leaves", budget)
	assert.NilError(t, err)
	before := cancelled()
	ctx, disconnect := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Hosts[0].CallerAddress+"/v1/query",
		strings.NewReader(`{"service":"subscriber-app","text":"leaves"}`))
	assert.NilError(t, err)
	time.AfterFunc(80*time.Millisecond, disconnect)
	res, err := http.DefaultClient.Do(r)
	if err == nil {
		assert.NilError(t, res.Body.Close())
	}
	assert.ErrorIs(t, err, context.Canceled)
	assert.NilError(t, Await(150*time.Millisecond, "the leaves get cancellations", func() bool { return cancelled() > before }))
}
