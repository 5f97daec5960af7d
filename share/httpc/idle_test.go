package httpc

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/router"
)

// setClock is a clock that stands still.
type setClock struct{ now atomic.Int64 }

// Now implements clock.Clock.
func (c *setClock) Now() clock.Milli { return clock.Milli(c.now.Load()) }

// A host closes connections of other hosts that have been idle for two minutes. A request that was
// forwarded on one at that moment was lost, and may have run.
func TestForwardCrossesIdleClose(t *testing.T) {
	const idleTimeout = 2 * clock.Minute // the default of httpd.Limits
	var now setClock
	openedAt := make(chan clock.Milli, 1) // of the connection of each request
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		opened := now.Now()
		for q := readRequest(t, r); q != nil; q = readRequest(t, r) {
			openedAt <- opened
			writeText(c, response(q.Header.Get("Request-Id"), "body"))
		}
	})
	done := make(chan router.CallDone, 1)
	p := &Pool{Dialect: DefaultDialect, Clock: &now, OnDone: func(d router.CallDone) { done <- d }}
	t.Cleanup(func() { assert.NilError(t, p.Close()) })
	forward := func(id uint64) clock.Milli {
		p.Forward(router.Forward{
			Call: id, Address: l.ln.Addr().String(), Timeout: 1000, Target: 100, Version: 1, Shards: []string{"s"},
			Request: &call.Request{ID: "q", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}},
		})
		assert.Equal(t, (<-done).Kind, call.Answered)
		return <-openedAt
	}
	forward(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.opening[l.ln.Addr().String()] > 0 {
			return poll.Continue("a connection is being opened")
		}
		return poll.Success()
	})
	now.now.Store(int64(idleTimeout))
	assert.Equal(t, forward(2), idleTimeout, "the request used a connection that had been idle since")
}
