package httpd

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// serverSide returns the server's end of a connection.
func (s *Server) serverSide(c net.Conn) net.Conn {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return s.conns.open[c.LocalAddr().String()].conn
}

// socket returns a TCP socket that is not connected yet.
func socket(t *testing.T) int {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	return fd
}

// connect connects a socket to a server, for two seconds. SO_RCVTIMEO would have signals
// interrupt reads.
func connect(t *testing.T, fd int, s *Server) {
	t.Helper()
	end := time.AfterFunc(2*time.Second, func() { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
	t.Cleanup(func() { end.Stop() }) // before the socket is closed
	addr := s.addr.(*net.TCPAddr)
	to := &syscall.SockaddrInet4{Port: addr.Port}
	copy(to.Addr[:], addr.IP.To4())
	assert.NilError(t, syscall.Connect(fd, to))
}

// A connection is closed while its last event still waits in the event loop, and a new
// connection gets its descriptor. The library hands the event to the new connection, which
// is closed without an answer.
func TestNewConnectionOutlivesEventsOfFormerOnes(t *testing.T) {
	const formerConns, settle = 5, 50 * time.Millisecond
	s, first := startEchoWithLoops(t, Limits{}, 1)
	clients := []net.Conn{first}
	for range formerConns + 1 {
		clients = append(clients, dial(t, s).conn)
	}
	for _, c := range clients {
		_, err := c.Write([]byte(plainRequest))
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, c), http.StatusOK)
	}
	// The loop blocks in a read from the first connection, then in one from the
	// second. The second read is in one batch with the close events of the others.
	batches := make(chan chan struct{}, 2)
	batch := []chan struct{}{make(chan struct{}), make(chan struct{})}
	batches <- batch[0]
	batches <- batch[1]
	s.engine.OnRead(func(c *nbio.Conn) {
		select {
		case held := <-batches:
			<-held
		default:
		}
		s.onReadable(c)
	})
	for _, c := range clients[:2] {
		_, err := c.Write([]byte(plainRequest))
		assert.NilError(t, err)
		time.Sleep(settle) // the loop blocks in the first read; the second waits
	}
	newSockets := []int{socket(t), socket(t), socket(t)}
	for _, c := range clients[2:] {
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	}
	time.Sleep(settle) // until the closes have crossed loopback
	close(batch[0])
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(batches) == 0 {
			return poll.Success()
		}
		return poll.Continue("the second batch has not begun")
	})
	for _, c := range clients[2:] {
		assert.NilError(t, s.serverSide(c).Close())
	}
	for _, fd := range newSockets {
		connect(t, fd, s)
	}
	time.Sleep(settle) // until they are accepted
	close(batch[1])
	time.Sleep(settle) // until the rest of the batch is handled
	for _, fd := range newSockets {
		_, err := syscall.Write(fd, []byte(plainRequest))
		assert.NilError(t, err)
		answer := make([]byte, 16)
		n, err := syscall.Read(fd, answer)
		assert.NilError(t, err)
		assert.Assert(t, n > 0, "closed without an answer")
	}
}
