package httpc

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/call"
	"dandelionstile/share/router"
)

// junkBytes is how much a faulty leaf sends until it only waits for the connection to close:
// more than a call may read, and little enough for the machine that runs the tests.
const junkBytes = 24 << 20

// sendJunk sends a text, and then another one repeatedly until the connection ends.
func sendJunk(c net.Conn, r *bufio.Reader, first, again string) {
	block := strings.Repeat(again, 1+(32<<10)/len(again))
	_, err := io.WriteString(c, first)
	for sent := 0; err == nil && sent < junkBytes; sent += len(block) {
		_, err = io.WriteString(c, block)
	}
	_, _ = r.ReadByte() // ends with the connection
}

// endless are replies that never end: what is sent once, and what is then repeated.
var endless = map[string]struct{ first, again string }{
	"no-reply":         {"", "j"},
	"status-line":      {"HTTP/1.1 200 ", "j"},
	"header-line":      {"HTTP/1.1 200 OK\r\nA: ", "j"},
	"headers":          {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
	"interim":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"interim-headers":  {"HTTP/1.1 103 Early Hints\r\n", "a: b\r\n"},
	"foreign-headers":  {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "a: b\r\n"},
	"body":             {"HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\n\r\n", "j"},
	"body-with-length": {"HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nContent-Length: 99999999999\r\n\r\n", "j"},
	"chunks":           {"HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("j", 0x4000) + "\r\n"},
	"chunk-size":       {"HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk-extension":  {"HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4;", "e"},
	"trailers":         {"HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "a: b\r\n"},
	"trailer-line":     {"HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\na: ", "j"},
}

// A faulty leaf sends bytes without end. Kept in memory, they would end the process and with
// it the requests at all other leaves.
func TestEndlessReplyEndsTheCall(t *testing.T) {
	for name, junk := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := serve(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				sendJunk(c, r, junk.first, junk.again)
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
	for name, junk := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := serve(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				sendJunk(c, r, junk.first, junk.again)
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
			before := heapInUse()
			c := newCaller(t)
			c.pool.Memory.Limit = limit
			c.done = make(chan router.CallDone, 2*faulty)
			for i := range faulty {
				c.send(large, fmt.Sprintf("large-%d", i), nil)
			}
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, c.pool.Memory.Used() <= limit)
			// Buffers are copied as they grow, so twice the limit may be in use.
			assert.Assert(t, heapInUse()-before < 2*limit, "%d bytes", heapInUse()-before)
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

// heapInUse returns the size of the reachable heap, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
