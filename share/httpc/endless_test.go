package httpc

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/call"
	"dandelionstile/share/junk"
	"dandelionstile/share/router"
)

// endless returns the replies without end of a leaf.
func endless() map[string]junk.Reply {
	replies := junk.Replies("Leaf-Stamp: s\r\n")
	replies["foreign-headers"] = junk.Reply{
		First: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n",
		Again: "a: b\r\n",
	}
	return replies
}

// A faulty leaf sends bytes without end. Kept in memory, they would end the process and with
// it the requests at all other leaves.
func TestEndlessReplyEndsTheCall(t *testing.T) {
	for name, reply := range endless() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := serve(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				reply.Send(c)
			})
			c := newCaller(t)
			assert.Equal(t, c.ask(l, "x").Kind, call.Broken)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if used := c.pool.Memory.Used(); used > 0 {
					return poll.Continue("%d bytes still count", used)
				}
				return poll.Success()
			})
		})
	}
}

// A faulty leaf answers health checks with bytes without end.
func TestEndlessHealthReplyIsUnhealthy(t *testing.T) {
	for name, reply := range endless() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := serve(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				reply.Send(c)
			})
			probed := make(chan router.ProbeResult, 1)
			c := newCaller(t)
			c.pool.OnProbed = func(p router.ProbeResult) { probed <- p }
			c.pool.Probe(router.Probe{Leaf: "leaf-1", Address: l.ln.Addr().String(), Path: "/health"})
			assert.Assert(t, !(<-probed).Healthy)
		})
	}
}

// Many leaves send large replies at once, each below the limit of a reply. Their sum must
// stay below the limit of the pool, and a small reply of a sound leaf must still be read.
func TestManyLargeRepliesStayBelowTheMemoryLimit(t *testing.T) {
	const limit, faulty, part = 8 << 20, 32, 3 << 20
	for name, head := range map[string]string{
		"body":   "HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\n\r\n",
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nContent-Length: %d\r\n\r\n", part+1),
	} {
		t.Run(name, func(t *testing.T) {
			reply := []byte(head + strings.Repeat("j", part))
			large := serve(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				_, _ = c.Write(reply) // the caller may close
				_, _ = r.ReadByte()
			})
			sound := serve(t, func(c net.Conn, r *bufio.Reader) {
				for q := readRequest(t, r); q != nil; q = readRequest(t, r) {
					writeText(c, response(q.Header.Get("Request-Id"), "body"))
				}
			})
			before := junk.HeapBytes()
			c := newCaller(t)
			c.pool.Memory.Limit = limit
			c.done = make(chan router.CallDone, 2*faulty)
			for i := range faulty {
				c.send(large, fmt.Sprintf("large-%d", i), nil)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(c.done) == 0 {
					return poll.Continue("%d bytes count, and no call is refused", c.pool.Memory.Used())
				}
				return poll.Success()
			})
			assert.Assert(t, c.pool.Memory.Used() <= limit)
			// Buffers are copied as they grow, so twice the limit may be in use.
			assert.Assert(t, junk.HeapBytes()-before < 2*limit, "%d bytes", junk.HeapBytes()-before)
			c.pool.Send(router.Send{
				Call: 100, Leaf: "sound", Address: sound.ln.Addr().String(), Timeout: 1000,
				Request: &call.Request{ID: "y", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}},
			})
			for {
				if d := c.result(); d.Call == 100 {
					assert.Equal(t, d.Kind, call.Answered, d.Cause)
					return
				}
			}
		})
	}
}

// Large replies that are complete wait for those of other leaves. They must count as long
// as they are in use.
func TestLargeReplyCountsWhileItIsUsed(t *testing.T) {
	const size = 1 << 20
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\nLeaf-Stamp: s\nContent-Length: %d\n\n%s", size, strings.Repeat("j", size)))
	})
	c := newCaller(t)
	d := c.ask(l, "x")
	assert.Equal(t, d.Kind, call.Answered)
	runtime.GC()
	assert.Assert(t, c.pool.Memory.Used() >= size)
	runtime.KeepAlive(d.Reply)
	d.Reply = nil
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		runtime.GC()
		if used := c.pool.Memory.Used(); used > 0 {
			return poll.Continue("%d bytes still count", used)
		}
		return poll.Success()
	})
}
