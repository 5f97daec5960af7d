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

// endingConn is a connection that ends when it is written to, after it has taken some bytes.
type endingConn struct {
	net.Conn
	takes int
	onEnd func()
}

// Write implements net.Conn.
func (c *endingConn) Write([]byte) (int, error) {
	c.onEnd()
	_ = c.Close() // a pipe's Close does not fail
	return c.takes, net.ErrClosed
}

// keepEnding gives the pool an idle connection to a leaf that ends when it is written to.
func (c *caller) keepEnding(takes int, onEnd func()) {
	local, remote := net.Pipe()
	c.t.Cleanup(func() { _ = remote.Close() })
	c.pool.putIdle("leaf-1", newConn(&endingConn{local, takes, onEnd}, &c.pool.Dialect, &c.pool.Memory), 0)
}

// serveOne starts a leaf that answers one request on each connection.
func serveOne(t *testing.T) *fakeLeaf {
	t.Helper()
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		if q := readRequest(t, r); q != nil {
			writeText(c, response(q.Header.Get("Request-Id"), "body"))
		}
	})
}

// A leaf that had closed idle connections counted as down when a call found them. The call must
// be made over another connection.
func TestCallLeavesClosedConnections(t *testing.T) {
	for _, body := range [][]byte{nil, make([]byte, 2*inlineBodyBytes)} {
		l, c := serveOne(t), newCaller(t)
		c.keepEnding(0, func() {})
		c.keepEnding(0, func() {})
		c.send(l, "q", body)
		d := c.result()
		assert.Equal(t, d.Kind, call.Answered, d.Cause)
		assert.Equal(t, l.conns(), 1)
	}
}

// A connection ends within the write of a request. The request may have run and must not be made
// again.
func TestCallWrittenInPartIsBroken(t *testing.T) {
	for _, body := range [][]byte{nil, make([]byte, 2*inlineBodyBytes)} {
		l, c := serveOne(t), newCaller(t)
		c.keepEnding(1, func() {})
		c.send(l, "q", body)
		assert.Equal(t, c.result().Kind, call.Broken)
		assert.Equal(t, l.conns(), 0)
	}
}

// A leaf is forgotten while a call finds its connection closed. The call must not be made over
// another connection.
func TestForgottenLeafGetsNoSecondTry(t *testing.T) {
	l, c := serveOne(t), newCaller(t)
	c.keepEnding(0, func() { c.pool.Forget("leaf-1") })
	d := c.ask(l, "q")
	assert.Equal(t, d.Kind, call.Withdrawn, d.Cause)
	assert.Equal(t, l.conns(), 0)
}
