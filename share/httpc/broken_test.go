package httpc

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/junk"
	"dandelionstile/share/router"
)

// serveText starts a leaf that replies with a text that the test sets, and then closes.
func serveText(t *testing.T) (*fakeLeaf, *atomic.Value) {
	t.Helper()
	text := &atomic.Value{}
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(t, r) != nil {
			_ = junk.SendCut(c.(*net.TCPConn), text.Load().(string), false) // the caller may have closed
		}
	}), text
}

// A leaf, or another host, sends what is no reply by the grammar of HTTP. It must not count as
// the leaf's answer, with a field or a body that the leaf did not mean.
func TestReplyOutsideTheGrammarIsBroken(t *testing.T) {
	l, reply := serveText(t)
	c := newCaller(t)
	for name, text := range junk.Broken("Leaf-Stamp: s\r\nRequest-Id: x\r\n") {
		reply.Store(text)
		assert.Check(t, c.ask(l, "x").Kind == call.Broken, "%s", name)
		assert.Check(t, c.forward(l, "x").Kind == call.Broken, "%s, forwarded", name)
	}
}

// A leaf's replies within the grammar must count, however unusual they look.
func TestUnusualReplyIsAnswered(t *testing.T) {
	var reply atomic.Value
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(t, r) != nil {
			_, _ = io.WriteString(c, reply.Load().(string)) // the caller may have closed
		}
	})
	c := newCaller(t)
	for name, text := range junk.Unusual("Leaf-Stamp: s\r\nRequest-Id: x\r\n") {
		reply.Store(text)
		d := c.ask(l, "x")
		assert.Assert(t, d.Kind == call.Answered, "%s: %s", name, d.Cause)
		assert.Check(t, string(d.Reply.Body) == junk.CutBody, "%s: %q", name, d.Reply.Body)
	}
	assert.Equal(t, l.conns(), 1)
}

// A leaf answers health checks with what is no reply by the grammar of HTTP. It must not count
// as healthy.
func TestHealthReplyOutsideTheGrammarIsUnhealthy(t *testing.T) {
	l, reply := serveText(t)
	c := newCaller(t)
	probed := make(chan router.ProbeResult, 1)
	c.pool.OnProbed = func(p router.ProbeResult) { probed <- p }
	for name, text := range junk.Broken("Leaf-Id: leaf-1\r\n") {
		reply.Store(text)
		c.pool.Probe(router.Probe{Leaf: "leaf-1", Address: l.ln.Addr().String(), Path: "/health"})
		assert.Check(t, !(<-probed).Healthy, "%s", name)
	}
}

// A leaf sends bytes after its reply, which belong to no request. The reply must count, and the
// connection must not be used again.
func TestReplyBeforeBrokenOneCounts(t *testing.T) {
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		_, _ = io.WriteString(c, junk.Whole("Leaf-Stamp: s\r\n")["length"]+"HTTP/1.1 200 OK\r\nFie ld: value\r\n")
		_, _ = r.ReadByte() // until the caller closes
	})
	c := newCaller(t)
	for n := range 2 {
		assert.Equal(t, c.ask(l, "x").Kind, call.Answered)
		assert.Equal(t, l.conns(), n+1)
	}
}
