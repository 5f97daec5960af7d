package httpd

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// startEcho starts an echo server with limits and opens a connection to it.
func startEcho(t *testing.T, l Limits) (*Server, net.Conn) {
	t.Helper()
	return startEchoWithLoops(t, l, 0)
}

// startEchoWithLoops is startEcho with a number of event loops; 0 for the default.
func startEchoWithLoops(t *testing.T, l Limits, loops int) (*Server, net.Conn) {
	t.Helper()
	s := &Server{Address: "127.0.0.1:0", Limits: l, pollers: loops, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
	})}
	assert.NilError(t, s.Start())
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	t.Cleanup(func() {
		_ = c.Close()
		assert.NilError(t, s.Close())
	})
	return s, c
}

// readStatus reads one answer, discards its body and returns its status.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	return res.StatusCode
}

// A caller stops in the middle of a request. Without a timeout, it would hold its
// connection forever.
func TestHalfSentRequestIsTimedOut(t *testing.T) {
	_, c := startEcho(t, Limits{StallTimeout: 300 * time.Millisecond})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Le")
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, c), http.StatusRequestTimeout)
	_, err = c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// A caller sends a byte at a time, with pauses below the stall timeout. Without a limit on
// the whole request, it would hold its connection forever.
func TestDrippingRequestIsTimedOut(t *testing.T) {
	_, c := startEcho(t, Limits{StallTimeout: 100 * time.Millisecond})
	go func() {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nX: ")
		for err == nil {
			time.Sleep(40 * time.Millisecond)
			_, err = c.Write([]byte("x"))
		}
	}()
	began := time.Now()
	assert.Equal(t, readStatus(t, c), http.StatusRequestTimeout)
	assert.Assert(t, time.Since(began) < 10*time.Second)
}

// A slow caller pauses within the limit, and for longer than it in sum. The time limit
// applies to each pause, so the request must be served.
func TestSlowRequestIsServed(t *testing.T) {
	_, c := startEcho(t, Limits{StallTimeout: 400 * time.Millisecond})
	for _, part := range []string{"POST / HTTP/1.1\r\nHost: h\r\n", "Content-Length: 4\r\n\r\n", "ab", "cd"} {
		_, err := io.WriteString(c, part)
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	assert.Equal(t, readStatus(t, c), http.StatusOK)
}

// A caller sends a body over the limit. If the server closed the connection with bytes
// unread, the caller would see a reset instead of the answer.
func TestLargeBodyIsRejectedWithAnAnswer(t *testing.T) {
	_, c := startEcho(t, Limits{MaxBodyBytes: 100 << 10})
	go func() {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n")
		if err == nil {
			_, _ = c.Write(bytes.Repeat([]byte("x"), 3000000)) // the server may close the connection earlier
		}
	}()
	assert.Equal(t, readStatus(t, c), http.StatusRequestEntityTooLarge)
}

// A chunked body names no size, so it is over the limit only once its bytes have arrived.
// The caller must see an answer and not a reset.
func TestLargeChunkedBodyIsRejectedWithAnAnswer(t *testing.T) {
	_, c := startEcho(t, Limits{MaxBodyBytes: 100 << 10})
	go func() {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 0; i < 3000 && err == nil; i++ {
			_, err = io.WriteString(c, "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
		}
	}()
	assert.Equal(t, readStatus(t, c), http.StatusRequestEntityTooLarge)
}

// A body within the limit arrives in many pieces. The library resets connections with an
// incomplete request above its own limit, which must not apply before ours.
func TestBodyWithinTheLimitIsAccepted(t *testing.T) {
	_, c := startEcho(t, Limits{MaxBodyBytes: 256 << 10})
	body := bytes.Repeat([]byte("0123456789abcdef"), 16<<10) // 262144 bytes, as the header says
	go func() {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n")
		for i := 0; i < len(body) && err == nil; i += 10000 {
			_, err = c.Write(body[i:min(len(body), i+10000)])
			time.Sleep(time.Millisecond)
		}
		assert.Check(t, err)
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, res.Body.Close()) }()
	got, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body))
}

// A header over the limit must be rejected with an answer and not reach the handler.
func TestLargeHeaderIsRejected(t *testing.T) {
	_, c := startEcho(t, Limits{MaxHeaderBytes: 4 << 10})
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 8<<10)+"\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, c), http.StatusRequestHeaderFieldsTooLarge)
}

// An idle connection must be closed after its timeout, and not before: requests at shorter
// intervals extend it.
func TestIdleConnectionIsClosedAfterItsTime(t *testing.T) {
	_, c := startEcho(t, Limits{IdleTimeout: time.Second})
	for range 2 {
		time.Sleep(800 * time.Millisecond)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, c), http.StatusOK)
	}
	_, err := c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Limits are replaced while a connection is open. They must apply to the incomplete request
// on it too.
func TestLimitsAreReplacedWhileOpen(t *testing.T) {
	s, c := startEcho(t, Limits{})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n")
	assert.NilError(t, err)
	s.SetLimits(Limits{StallTimeout: 200 * time.Millisecond})
	assert.Equal(t, readStatus(t, c), http.StatusRequestTimeout)
}

// Callers request large answers and never read them. Their unsent bytes must block
// neither other callers nor Close.
func TestCallersThatNeverReadHoldUpNobody(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 4<<20)
	s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		if r.URL.Path == "/large" {
			_, _ = w.Write(large) // the caller never reads it
		}
	})}
	assert.NilError(t, s.Start())
	for range 20 {
		c, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
	}
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(2*time.Second)))
	for range 10 {
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, c), http.StatusOK)
	}
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	select {
	case err := <-closed:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("Close did not return")
	}
}

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// blockNextRead blocks the event loop of a server with one loop at its next read,
// until release is called. held is closed once the loop is blocked.
func blockNextRead(s *Server) (held <-chan struct{}, release func()) {
	block, blocked := make(chan struct{}), make(chan struct{})
	s.engine.OnRead(func(c *nbio.Conn) {
		select {
		case <-blocked:
		default:
			close(blocked)
			<-block
		}
		s.onReadable(c)
	})
	return blocked, func() { close(block) }
}

// blockLoop blocks the event loop of a server with one loop until release is called.
func blockLoop(t *testing.T, s *Server) (release func()) {
	t.Helper()
	held, release := blockNextRead(s)
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, plainRequest)
	assert.NilError(t, err)
	<-held
	return release
}

// hasRead returns a check that some connection has read this many bytes of an incomplete
// request.
func (c *conns) hasRead(bytes int) poll.Check {
	return func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, o := range c.open {
			if o.requests == 0 && o.bytes == bytes {
				return poll.Success()
			}
		}
		return poll.Continue("no connection has read the bytes yet")
	}
}

// A request arrives in time, but its host is busy and reads it late. Its connection looks
// idle or stalled by then, and closing it would reset or time out the request.
func TestRequestsThatWaitUnreadAreServed(t *testing.T) {
	const limit = 300 * time.Millisecond
	for _, c := range []struct {
		name        string
		limits      Limits
		first, rest string
	}{
		{"on an idle connection", Limits{IdleTimeout: limit}, "", plainRequest},
		{"within a request", Limits{StallTimeout: limit}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, conn := startEchoWithLoops(t, c.limits, 1)
			_, err := io.WriteString(conn, plainRequest)
			assert.NilError(t, err)
			assert.Equal(t, readStatus(t, conn), http.StatusOK)
			_, err = io.WriteString(conn, c.first)
			assert.NilError(t, err)
			poll.WaitOn(t, s.conns.hasRead(len(c.first)))
			release := blockLoop(t, s)
			_, err = io.WriteString(conn, c.rest)
			assert.NilError(t, err)
			time.Sleep(limit + 2*sweepInterval) // several sweeps find the connection over its limit
			release()
			assert.Equal(t, readStatus(t, conn), http.StatusOK)
		})
	}
}

// A host closes its idle connections while a request has arrived on one of them and was
// not read yet. Closing it would reset the request.
func TestIdleCloseSparesRequestsThatWaitUnread(t *testing.T) {
	s, conn := startEchoWithLoops(t, Limits{}, 1)
	_, err := io.WriteString(conn, plainRequest)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, conn), http.StatusOK)
	release := blockLoop(t, s)
	_, err = io.WriteString(conn, plainRequest)
	assert.NilError(t, err)
	time.Sleep(2 * idleGrace) // until the connection counts as idle
	s.CloseIdle()
	release()
	assert.Equal(t, readStatus(t, conn), http.StatusOK)
}

// A caller sends a request and, before it is answered, another one that is too large. The status
// of the second came first: the caller takes it for the first, which has run.
func TestRejectionComesAfterFormerAnswers(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s := &Server{Address: "127.0.0.1:0", Limits: Limits{MaxBodyBytes: 1000}, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		<-release
	})}
	assert.NilError(t, s.Start())
	defer func() { assert.NilError(t, s.Close()) }()
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, plainRequest)
	assert.NilError(t, err)
	<-began
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"+strings.Repeat("x", 90000))
	assert.NilError(t, err)
	time.AfterFunc(1500*time.Millisecond, func() { close(release) })
	in := bufio.NewReader(c)
	for _, want := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
		res, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, want)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
	}
}
