package httpd

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
)

// settle is the time for bytes and closes to cross loopback and for a loop to handle them.
const settle = 50 * time.Millisecond

// blockReads blocks the loop of a server with one loop in a read from the first of two
// connections, and then in one from the second, until the first and the second release are
// called. The second read is in one batch with the events that arrived during the first.
// inSecond is closed once the loop blocks in it.
func blockReads(t *testing.T, s *Server, conns [2]net.Conn) (inSecond <-chan struct{}, release [2]func()) {
	t.Helper()
	gates := [2]chan struct{}{make(chan struct{}), make(chan struct{})}
	for i, g := range gates {
		release[i] = sync.OnceFunc(func() { close(g) })
		t.Cleanup(release[i])
	}
	second := make(chan struct{})
	var reads atomic.Int32
	s.engine.OnRead(func(c *nbio.Conn) {
		if n := int(reads.Add(1)) - 1; n < len(gates) {
			if n == 1 {
				close(second)
			}
			<-gates[n]
		}
		s.onReadable(c)
	})
	for _, c := range conns {
		_, err := io.WriteString(c, plainRequest)
		assert.NilError(t, err)
		time.Sleep(settle)
	}
	return second, release
}

// halfClose ends a connection in one direction.
func halfClose(c *net.TCPConn) error { return c.CloseWrite() }

// reset resets a connection.
func reset(c *net.TCPConn) error {
	_ = c.SetLinger(0)
	return c.Close()
}

// sweepWith applies limits for some sweeps.
func sweepWith(s *Server, l Limits) {
	s.SetLimits(l)
	time.Sleep(2 * sweepInterval)
	s.SetLimits(Limits{})
}

// The callers of connections half-close or reset them while other goroutines than the event
// loop close them. New connections that get the descriptors are closed by the events of the
// former ones, without an answer.
func TestNewConnectionOutlivesEventsWhoeverClosedFormerOnes(t *testing.T) {
	const formerConns, newConns = 6, 3
	const heldRequest = "GET /held HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct {
		name string
		// request is sent on each former connection and read by the server.
		request string
		// end is what its caller does while the loop is blocked.
		end func(*net.TCPConn) error
		// closeAll closes the server's ends. answer lets the handlers return.
		closeAll func(former []net.Conn, answer func())
	}{
		{"handler after Connection: close", heldRequest + "Connection: close\r\n\r\n", halfClose, func(_ []net.Conn, answer func()) {
			answer()
		}},
		{"failed write of an answer", heldRequest + "\r\n", reset, func(_ []net.Conn, answer func()) {
			answer()
		}},
		{"write time-out", heldRequest + "\r\n", halfClose, func(former []net.Conn, _ func()) {
			for _, f := range former {
				_ = f.SetWriteDeadline(time.Now().Add(time.Millisecond))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			held := make(chan struct{})
			answer := sync.OnceFunc(func() { close(held) })
			s := &Server{Address: "127.0.0.1:0", pollers: 1, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/held" {
					<-held
				}
				w.WriteHeader(http.StatusOK)
			})}
			assert.NilError(t, s.Start())
			t.Cleanup(func() { assert.NilError(t, s.Close()) })
			t.Cleanup(answer)
			var clients []net.Conn
			for range formerConns + 2 {
				c := dial(t, s).conn
				_, err := io.WriteString(c, plainRequest)
				assert.NilError(t, err)
				assert.Equal(t, readStatus(t, c), http.StatusOK)
				clients = append(clients, c)
			}
			holders, callers := [2]net.Conn(clients), clients[2:]
			var former []net.Conn
			for _, caller := range callers {
				former = append(former, s.serverSide(caller))
				_, err := io.WriteString(caller, c.request)
				assert.NilError(t, err)
			}
			time.Sleep(settle) // until the requests are read
			inSecond, release := blockReads(t, s, holders)
			var newSockets []int
			for range newConns {
				newSockets = append(newSockets, socket(t))
			}
			for _, caller := range callers {
				assert.NilError(t, c.end(caller.(*net.TCPConn)))
			}
			for range callers {
				socket(t) // takes the descriptor of a caller that has closed its end
			}
			time.Sleep(settle) // until the ends have crossed loopback
			release[0]()
			<-inSecond
			c.closeAll(former, answer)
			time.Sleep(settle) // until they are closed
			for _, fd := range newSockets {
				connect(t, fd, s)
			}
			time.Sleep(settle) // until they are accepted
			release[1]()
			time.Sleep(settle) // until the rest of the batch is handled
			checkAnswered(t, newSockets)
		})
	}
}
