package httpd

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Close ends a connection whose request was rejected and whose status is not written yet. The
// caller got no answer.
func TestCloseLosesAnswersToRejectedRequests(t *testing.T) {
	d := startDrain(t)
	d.SetLimits(Limits{MaxHeaderBytes: 1 << 10})
	c := dial(t, d.Server)
	c.send(t, "/")
	_, err := c.receive()
	assert.NilError(t, err)
	end := d.serverSide(c.conn).(*nbio.Conn)
	write := make(chan struct{})
	assert.Assert(t, end.Execute(func() { <-write })) // the status is written after it
	release := sync.OnceFunc(func() { close(write) })
	t.Cleanup(release)
	_, err = io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 2*readBufferBytes))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.conns.mu.Lock()
		defer d.conns.mu.Unlock()
		if o := d.conns.find(end); o == nil || o.rejectedAt.IsZero() {
			return poll.Continue("the request is not rejected")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	closed := d.startClose(t)
	waitAtMost(func() bool { return isClosed(end) })
	release()
	res, err := http.ReadResponse(c.reader, nil)
	<-closed
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// A handler returns later than closeLinger after Close. Its caller got no time to read the answer,
// and a part of it.
func TestCloseCutsOffAnswersOfLateHandlers(t *testing.T) {
	d := startDrain(t)
	c := dial(t, d.Server)
	const size = 16 << 20 // more than the sockets take
	c.send(t, "/held?bytes="+strconv.Itoa(size))
	poll.WaitOn(t, d.hasInFlight(1), poll.WithDelay(time.Millisecond))
	end := d.serverSide(c.conn).(*nbio.Conn)
	closed := d.startClose(t)
	time.Sleep(closeLinger + settle)
	d.answer()
	waitAtMost(func() bool { return isClosed(end) })
	n, err := c.receive()
	<-closed
	assert.NilError(t, err, "after %d bytes of %d", n, size)
	assert.Equal(t, n, int64(size))
}

// holdAdd makes a server hold a connection that its event loop is adding until add is called.
// adding is closed once it holds it.
func (d *drainServer) holdAdd(t *testing.T) (adding <-chan struct{}, add func()) {
	t.Helper()
	begun, gate := make(chan struct{}), make(chan struct{})
	add = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(add)
	d.loops.Release(syscall.EMFILE) // connections have no confirmed descriptor
	d.engine.OnOpen(func(c net.Conn) {
		close(begun)
		<-gate
		d.conns.add(c)
	})
	return begun, add
}

// An event loop is adding a connection when a server closes. Close took it that no connection was
// open. The request was handled and its caller got no answer.
func TestCloseLosesRequestsOnConnectionBeingAdded(t *testing.T) {
	d := startDrain(t)
	adding, add := d.holdAdd(t)
	c := dial(t, d.Server)
	c.send(t, "/held")
	<-adding
	closed := d.startClose(t)
	time.Sleep(settle) // until Close waits
	add()
	waitAtMost(func() bool { return d.began.Load() > 0 })
	waitAtMost(func() bool { return d.Conns() == 0 })
	began := d.began.Load()
	d.answer()
	_, err := c.receive()
	<-closed
	if began > 0 {
		assert.NilError(t, err, "the answer of a request that was handled")
	}
}

// An event loop is adding a connection when a server drains. Drain took it that no connection was
// open, so that the process ended before the request was read.
func TestDrainMissesConnectionBeingAdded(t *testing.T) {
	d := startDrain(t)
	adding, add := d.holdAdd(t)
	c := dial(t, d.Server)
	c.send(t, "/")
	<-adding
	done := d.Drain(time.Now().Add(settle), nil)
	add()
	_, err := c.receive()
	assert.NilError(t, err)
	assert.Assert(t, !done, "Drain reports that no connection is open")
}

// A part of a request arrives together with the request before it. CloseIdle took the connection as
// idle and closed it while the caller was sending the rest.
func TestIdleCloseLosesPartOfPipelinedRequest(t *testing.T) {
	d := startDrain(t)
	c := dial(t, d.Server)
	_, err := io.WriteString(c.conn, plainRequest+"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.receive()
	assert.NilError(t, err)
	end := d.serverSide(c.conn).(*nbio.Conn)
	time.Sleep(2 * idleGrace) // until the connection would count as idle
	d.CloseIdle()
	waitAtMost(func() bool { return isClosed(end) })
	_, err = io.WriteString(c.conn, "body")
	assert.NilError(t, err)
	_, err = c.receive()
	assert.NilError(t, err)
}

// A caller sends its next request while a server closes and the answer to the former one is due. The
// request was read whole, dropped, and got no answer.
func TestCloseDropsRequestsThatItReads(t *testing.T) {
	d := startDrain(t)
	c := dial(t, d.Server)
	c.send(t, "/held")
	poll.WaitOn(t, d.hasInFlight(1), poll.WithDelay(time.Millisecond))
	end := d.serverSide(c.conn).(*nbio.Conn)
	closed := d.startClose(t)
	time.Sleep(settle) // until Close waits
	c.send(t, "/")
	time.Sleep(settle) // until the request has crossed loopback
	d.conns.mu.Lock()
	read := !d.conns.find(end).hasUnread()
	d.conns.mu.Unlock()
	d.answer()
	_, err := c.receive()
	assert.NilError(t, err)
	_, err = c.receive()
	<-closed
	if read {
		assert.NilError(t, err, "the answer of a request that was read")
	}
}
