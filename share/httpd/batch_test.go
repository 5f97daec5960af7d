package httpd

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// open opens a connection to a server, and returns the server's end of it too.
func (d *drainServer) open(t *testing.T) (caller *client, end *nbio.Conn) {
	t.Helper()
	caller = dial(t, d.Server)
	caller.send(t, "/")
	_, err := caller.receive()
	assert.NilError(t, err)
	return caller, d.serverSide(caller.conn).(*nbio.Conn)
}

// holdLoop has the event loop call a function that blocks until release is called. held is closed
// once it blocks.
func (d *drainServer) holdLoop(t *testing.T) (held <-chan struct{}, release func()) {
	t.Helper()
	blocked, block := make(chan struct{}), make(chan struct{})
	release = sync.OnceFunc(func() { close(block) })
	t.Cleanup(release)
	d.inLoops(func(func(net.Conn) bool) {
		close(blocked)
		<-block
	})
	return blocked, release
}

// closeInBatch has the event loop call what queue queues at the beginning of a batch, before the
// events that arrive causes. It returns while the loop blocks between both, until finish is called.
func (d *drainServer) closeInBatch(t *testing.T, queue, arrive func()) (finish func()) {
	t.Helper()
	holder, end := d.open(t)
	read, parse := make(chan struct{}), make(chan struct{})
	resume := sync.OnceFunc(func() { close(parse) })
	t.Cleanup(resume)
	handleData := end.DataHandler()
	held, release := d.holdLoop(t)
	waitClosed(t, held)
	end.OnData(func(c *nbio.Conn, data []byte) {
		close(read)
		<-parse
		handleData(c, data)
	})
	queue()
	queued, finish := d.holdLoop(t)
	holder.send(t, "/held") // so that the connection stays in use
	time.Sleep(settle)      // until the request has crossed loopback
	// In the next batch, the loop prepares to call what was queued, and then reads the request.
	release()
	waitClosed(t, read)
	arrive()
	time.Sleep(settle) // until what arrives has crossed loopback
	resume()
	waitClosed(t, queued)
	return finish
}

// The event loop closes connections at the beginning of a batch that has events of them, since
// their callers half-close or reset them. New connections that get the descriptors are closed by
// these events, without an answer.
func TestNewConnectionOutlivesBatchThatClosedFormerOnes(t *testing.T) {
	const formerConns, newConns = 6, 3
	const partOfRequest = "GET / HT"
	rejectStalled := func(t *testing.T, d *drainServer, callers []*client) {
		d.SetLimits(Limits{StallTimeout: time.Millisecond})
		for _, c := range callers {
			assert.Equal(t, readStatus(t, c.conn), http.StatusRequestTimeout)
		}
		d.SetLimits(Limits{})
	}
	for _, c := range []struct {
		name string
		// request is sent on each former connection and read by the server.
		request string
		// prepare prepares the former connections; it may be nil.
		prepare func(t *testing.T, d *drainServer, callers []*client)
		// queue has the event loop close the server's ends.
		queue func(d *drainServer)
		// end is what the callers do.
		end func(*net.TCPConn) error
	}{
		{"CloseIdle beside half-close", "", nil, closeIdleLater, halfClose},
		{"CloseIdle beside reset", "", nil, closeIdleLater, reset},
		{"sweep of idle connections", "", nil, func(d *drainServer) {
			sweepWith(d.Server, Limits{IdleTimeout: time.Millisecond})
		}, halfClose},
		{"failed write of a rejection", partOfRequest, nil, func(d *drainServer) {
			sweepWith(d.Server, Limits{StallTimeout: time.Millisecond})
		}, reset},
		{"sweep after a rejection", partOfRequest, rejectStalled, func(*drainServer) {
			time.Sleep(rejectLinger + 2*sweepInterval)
		}, halfClose},
		{"close of unused connections", "", nil, func(d *drainServer) {
			d.inLoops(func(owns func(net.Conn) bool) { d.conns.closeUnused(owns, time.Now()) })
		}, halfClose},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDrain(t)
			var callers []*client
			var former []*nbio.Conn
			for range formerConns {
				caller, end := d.open(t)
				_, err := io.WriteString(caller.conn, c.request)
				assert.NilError(t, err)
				callers, former = append(callers, caller), append(former, end)
			}
			time.Sleep(settle) // until the requests are read
			if c.prepare != nil {
				c.prepare(t, d, callers)
			}
			var newSockets []int
			finish := d.closeInBatch(t, func() { c.queue(d) }, func() {
				for range newConns {
					newSockets = append(newSockets, socket(t))
				}
				for i, caller := range callers {
					assert.Assert(t, !isClosed(former[i]), "closed before the batch")
					assert.NilError(t, c.end(caller.conn.(*net.TCPConn)))
				}
				for range callers {
					socket(t) // takes the descriptor of a caller that has closed its end
				}
			})
			const others = 1 // the one that closeInBatch opens
			poll.WaitOn(t, d.hasConns(others), poll.WithDelay(time.Millisecond))
			for _, end := range former {
				assert.Assert(t, isClosed(end))
			}
			for _, fd := range newSockets {
				connect(t, fd, d.Server)
			}
			poll.WaitOn(t, d.hasConns(others+newConns), poll.WithDelay(time.Millisecond))
			finish()
			d.waitForLoops() // until the rest of the batch is handled
			checkAnswered(t, newSockets)
		})
	}
}

// A request arrives while the event loop is about to close its connection as idle or stalled, or
// because the server closes. The loop has not read it yet, and the close would reset it.
func TestRequestInTheBatchThatClosesIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, rest string
		queue       func(t *testing.T, d *drainServer)
	}{
		{"CloseIdle", "", plainRequest, func(_ *testing.T, d *drainServer) { closeIdleLater(d) }},
		{"idle timeout", "", plainRequest, func(_ *testing.T, d *drainServer) {
			sweepWith(d.Server, Limits{IdleTimeout: time.Millisecond})
		}},
		{"stall timeout", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na", "b", func(_ *testing.T, d *drainServer) {
			const stall = 300 * time.Millisecond // the whole request may take ten times as long
			d.SetLimits(Limits{StallTimeout: stall})
			time.Sleep(stall + 2*sweepInterval)
			d.SetLimits(Limits{})
		}},
		{"Close", "", plainRequest, func(t *testing.T, d *drainServer) {
			d.startClose(t)
			time.Sleep(settle) // until Close waits for the loop
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDrain(t)
			caller, end := d.open(t)
			_, err := io.WriteString(caller.conn, c.first)
			assert.NilError(t, err)
			poll.WaitOn(t, d.conns.hasRead(len(c.first)))
			finish := d.closeInBatch(t, func() { c.queue(t, d) }, func() {
				assert.Assert(t, !isClosed(end), "closed before the batch")
				_, err := io.WriteString(caller.conn, c.rest)
				assert.NilError(t, err)
			})
			finish()
			assert.Equal(t, readStatus(t, caller.conn), http.StatusOK)
		})
	}
}

// waitClosed waits until a channel is closed.
func waitClosed(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Fatal("the event loop does not get there")
	}
}

// closeIdleLater calls CloseIdle once all connections count as idle.
func closeIdleLater(d *drainServer) {
	time.Sleep(2 * idleGrace)
	d.CloseIdle()
}

// waitForLoops waits until the event loops have called what was queued before.
func (s *Server) waitForLoops() { s.inLoops(func(func(net.Conn) bool) {})() }

// closeIdleNow is CloseIdle, and waits until the event loops have closed the connections.
func (s *Server) closeIdleNow() {
	s.CloseIdle()
	s.waitForLoops()
}

// hasConns returns a check that this many connections are open.
func (s *Server) hasConns(want int) poll.Check {
	return func(poll.LogT) poll.Result {
		if n := s.Conns(); n != want {
			return poll.Continue("%d connections are open", n)
		}
		return poll.Success()
	}
}

// checkAnswered sends requests on connected sockets and checks that they are answered.
func checkAnswered(t *testing.T, sockets []int) {
	t.Helper()
	for _, fd := range sockets {
		_, err := syscall.Write(fd, []byte(plainRequest))
		assert.NilError(t, err)
		n, err := syscall.Read(fd, make([]byte, 16))
		assert.NilError(t, err)
		assert.Check(t, n > 0, "closed without an answer")
	}
}
