package httpd

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// largeAnswer is more than the buffers of both sockets take.
var largeAnswer = bytes.Repeat([]byte("0123456789abcdef"), 16<<20/16)

// startLarge starts a server whose answers are large, and opens a connection to it that
// takes little at a time.
func startLarge(t *testing.T, l Limits) (*Server, net.Conn) {
	t.Helper()
	s := &Server{Address: "127.0.0.1:0", Limits: l, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Content-Length"] = []string{"16777216"}
		_, _ = w.Write(largeAnswer)
	})}
	assert.NilError(t, s.Start())
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
	assert.NilError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
	t.Cleanup(func() {
		_ = c.Close()
		assert.NilError(t, s.Close())
	})
	return s, c
}

// A request takes longer than any time that the server knows of: operators set timeouts, and
// change them while the server runs. A limit of 10 s from the end of the request closed its
// connection without an answer.
func TestRequestMayTakeLongerThanTenSeconds(t *testing.T) {
	t.Parallel()
	s := &Server{Address: "127.0.0.1:0", Limits: Limits{StallTimeout: time.Second, IdleTimeout: time.Second}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(11 * time.Second)
		w.WriteHeader(http.StatusOK)
	})}
	assert.NilError(t, s.Start())
	defer func() { assert.NilError(t, s.Close()) }()
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
	_, err = io.WriteString(c, plainRequest)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, c), http.StatusOK)
}

// The library has time limits of its own, which apply while a request is handled: 10 minutes
// after the last answer on its connection, a request would lose it.
func TestLibraryLimitsNoRequest(t *testing.T) {
	s, _ := startEcho(t, Limits{})
	const year = 365 * 24 * time.Hour
	assert.Assert(t, s.engine.KeepaliveTime > year)
	assert.Equal(t, s.engine.WriteTimeout, time.Duration(0))
}

// A caller reads its answer slowly, for longer than the idle timeout and than 10 s in sum. Its
// connection has no request in flight by then, and must not be closed before the end.
func TestSlowReaderGetsItsWholeAnswer(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]string{
		"kept":  plainRequest,
		"close": "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, c := startLarge(t, Limits{IdleTimeout: 300 * time.Millisecond})
			_, err := io.WriteString(c, request)
			assert.NilError(t, err)
			const steps, pause = 22, 500 * time.Millisecond
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			read := 0
			for part := make([]byte, 1+len(largeAnswer)/steps); err == nil; {
				time.Sleep(pause)
				var n int
				n, err = io.ReadFull(res.Body, part)
				assert.Assert(t, bytes.Equal(part[:n], largeAnswer[read:read+n]))
				read += n
			}
			assert.Equal(t, read, len(largeAnswer), "%v", err)
			assert.NilError(t, res.Body.Close())
		})
	}
}

// A host that leaves closes idle connections. A caller that is still reading its answer must
// get the rest, and the host must know of it before it ends.
func TestIdleCloseSparesUnsentAnswers(t *testing.T) {
	s, c := startLarge(t, Limits{})
	_, err := io.WriteString(c, plainRequest)
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	time.Sleep(2 * idleGrace)
	assert.Equal(t, s.Unsent(), 1)
	s.closeIdleNow()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, largeAnswer))
	assert.NilError(t, res.Body.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := s.Unsent(); n > 0 {
			return poll.Continue("%d connections have unsent bytes", n)
		}
		return poll.Success()
	})
	// What was counted must not keep an idle connection open.
	time.Sleep(2 * idleGrace)
	s.CloseIdle()
	_, err = c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// A caller has not read its answer when it sends a request that is rejected. The close after the
// rejection must not cut off the former answer.
func TestRejectionSparesUnsentAnswers(t *testing.T) {
	t.Parallel()
	_, c := startLarge(t, Limits{MaxBodyBytes: 1000})
	_, err := io.WriteString(c, plainRequest+"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 200000))
	assert.NilError(t, err)
	time.Sleep(rejectLinger + 4*sweepInterval)
	in := bufio.NewReader(c)
	res, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Assert(t, bytes.Equal(body, largeAnswer))
	res, err = http.ReadResponse(in, nil)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
}

// A caller stops reading. Its connection and the memory of its answer must not be held
// forever, but pauses below the limit must not add up.
func TestCallerThatStopsReadingIsClosed(t *testing.T) {
	l := Limits{IdleTimeout: time.Second}.withDefaults()
	o := &openConn{caller: &callerConn{}}
	start := time.Now()
	at := func(d time.Duration) connAction { return l.nextAction(o, start.Add(d)) }
	o.idleSince = start
	assert.Equal(t, at(0), keepOpen)
	o.caller.unsent.Store(1000)
	assert.Equal(t, at(minReadPause-time.Second), keepOpen)
	o.caller.unsent.Add(-1)
	o.caller.sent.Add(1)
	assert.Equal(t, at(minReadPause+time.Second), keepOpen)
	assert.Equal(t, at(2*minReadPause), keepOpen)
	assert.Equal(t, at(2*minReadPause+2*time.Second), closeConn)
	for _, l = range []Limits{{IdleTimeout: time.Minute}, {IdleTimeout: time.Second, ReadPause: time.Minute}} {
		l = l.withDefaults()
		o.caller.sent.Add(1)
		start = start.Add(time.Hour)
		assert.Equal(t, at(0), keepOpen)
		assert.Equal(t, at(59*time.Second), keepOpen)
		assert.Equal(t, at(61*time.Second), closeConn)
	}
}

// Operators set timeouts without a practical limit. A multiple of them overflowed, and requests
// that were not complete at the next sweep were answered 408.
func TestHugeTimeoutsEndNoRequest(t *testing.T) {
	const longest = time.Duration(math.MaxInt64)
	l := Limits{StallTimeout: longest, IdleTimeout: longest}.withDefaults()
	now := time.Now()
	o := &openConn{requestStarted: now.Add(-time.Second), lastRead: now}
	assert.Equal(t, l.nextAction(o, now), keepOpen)
}
