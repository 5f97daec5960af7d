package httpc

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/router"
)

// A leaf closes an idle connection just after a call has taken it. Nothing was sent, but the call
// counted as one that may have run, and was not made again elsewhere.
func TestCallOnClosedConnectionCountsAsSent(t *testing.T) {
	closing := make(chan struct{})
	requests := make(chan string, 2)
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		requests <- readRequest(t, r).Header.Get("Request-Id")
		writeText(c, response("q1", "body"))
		<-closing
	})
	c := newCaller(t)
	assert.Equal(t, c.ask(l, "q1").Kind, call.Answered)
	send := router.Send{
		Call: 2, Leaf: "leaf-1", Address: l.ln.Addr().String(), Timeout: 1000,
		Request: &call.Request{ID: "q2", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}},
	}
	j := &job{request: c.pool.newRequest(send), done: make(chan result, 1)}
	taken := c.pool.takeIdle(send.Leaf, j)
	assert.Assert(t, taken != nil)
	close(closing)
	<-taken.ended
	done := c.pool.exchange(context.Background(), taken, j, send)
	assert.Equal(t, <-requests, "q1")
	assert.Equal(t, len(requests), 0) // nothing was sent
	assert.Equal(t, done.Kind, call.NotSent, done.Cause)
}
