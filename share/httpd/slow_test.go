package httpd

import (
	"io"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
	l.IdleTimeout = time.Minute
	assert.Equal(t, at(time.Minute), keepOpen)
	assert.Equal(t, at(2*time.Minute), closeConn)
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
