package runner

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A host that stays closes a new connection without an answer. Only requests that have
// another explanation may pass.
func TestClosedNewConnectionIsReported(t *testing.T) {
	sent := time.Now()
	around := []interval{{sent.Add(-time.Millisecond), sent.Add(time.Millisecond)}}
	stopped := []interval{{sent.Add(-10 * time.Second), sent.Add(-5 * time.Second)}}
	cases := []struct {
		name     string
		host     *host
		request  request
		reported bool
	}{
		{"closed", &host{}, request{}, true},
		{"closed after earlier faults", &host{faults: stopped, terminations: stopped}, request{}, true},
		{"answered", &host{}, request{status: http.StatusNotFound}, false},
		{"not the first request", &host{}, request{reused: true}, false},
		{"caller has left", &host{}, request{cancelled: true}, false},
		{"fault of the host", &host{faults: around}, request{}, false},
		{"host shuts down", &host{terminations: around}, request{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var bed testbed
			c.request.host, c.request.sent, c.request.ended = c.host, sent, sent.Add(time.Millisecond)
			bed.checkRequest(&c.request, &requestTrace{})
			reported := len(bed.results.violations) == 1 && strings.HasPrefix(bed.results.violations[0], "CLOSED: ")
			assert.Equal(t, reported, c.reported, "%v", bed.results.violations)
		})
	}
}

// A caller that closes its connection entirely would not cross the host's close.
func TestHalfCloserWaitsForTheHost(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }() // no longer used
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendAndHalfClose(ln.Addr().String(), time.Millisecond)
	}()
	conn, err := ln.Accept()
	assert.NilError(t, err)
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), closingRequest)
	select {
	case <-done:
		t.Fatal("the caller has left")
	case <-time.After(20 * time.Millisecond):
	}
	assert.NilError(t, conn.Close())
	<-done
}
