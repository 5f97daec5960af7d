package httpc

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/router"
)

// A sound leaf reads a large body only when it has a slot. Its full buffer counted as a host that
// is down, and the request, which may have run, was lost after 1.5 s.
func TestLeafMayReadALargeBodyLate(t *testing.T) {
	t.Parallel()
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(3 * unackedTimeout)
		_, err = io.Copy(io.Discard, q.Body)
		assert.Check(t, err)
		writeText(c, response(q.Header.Get("Request-Id"), "ok"))
	})
	c := newCaller(t)
	c.done = make(chan router.CallDone, 1)
	c.send(l, "a", make([]byte, 8<<20))
	select {
	case d := <-c.done:
		assert.Equal(t, d.Kind, call.Answered, d.Cause)
	case <-time.After(20 * time.Second):
		t.Fatal("the call did not end")
	}
}

// A host that is down acknowledges nothing: neither data nor probes of its full buffer.
func TestHostThatAcknowledgesNothingIsDown(t *testing.T) {
	const long, short = 2000, 1000 // ms
	assert.Assert(t, isUnacked(&unix.TCPInfo{Unacked: 1, Last_ack_recv: long}))
	assert.Assert(t, isUnacked(&unix.TCPInfo{Probes: 2, Last_ack_recv: long}))
	assert.Assert(t, !isUnacked(&unix.TCPInfo{Unacked: 1, Last_ack_recv: short}))
	assert.Assert(t, !isUnacked(&unix.TCPInfo{Probes: 1, Last_ack_recv: long}))
	assert.Assert(t, !isUnacked(&unix.TCPInfo{Last_ack_recv: long}))
}
