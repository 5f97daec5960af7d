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

// serverSide is the server's end of a connection.
func (s *Server) serverSide(c net.Conn) net.Conn {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return s.conns.open[c.LocalAddr().String()].conn
}

// socket makes a TCP socket that is not connected yet.
func socket(t *testing.T) int {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 2}))
	return fd
}

// connect connects a socket to a server.
func connect(t *testing.T, fd int, s *Server) {
	t.Helper()
	addr := s.addr.(*net.TCPAddr)
	to := &syscall.SockaddrInet4{Port: addr.Port}
	copy(to.Addr[:], addr.IP.To4())
	assert.NilError(t, syscall.Connect(fd, to))
}

// Guards against a new connection that is closed by the end of a former one, whose
// descriptor it has and whose event waits in the event loop.
func TestNewConnectionOutlivesEventsOfFormerOnes(t *testing.T) {
	const formers, settle = 5, 50 * time.Millisecond
	s, first := limitedLoops(t, Limits{}, 1)
	asked := []net.Conn{first}
	for range formers + 1 {
		asked = append(asked, dial(t, s).conn)
	}
	for _, c := range asked {
		_, err := c.Write([]byte(plainRequest))
		assert.NilError(t, err)
		assert.Equal(t, status(t, c), http.StatusOK)
	}
	// The loop reads from the first connection, then from the second, whose turn is in
	// one batch with the ends of the others.
	turns := make(chan chan struct{}, 2)
	turn := []chan struct{}{make(chan struct{}), make(chan struct{})}
	turns <- turn[0]
	turns <- turn[1]
	s.engine.OnRead(func(c *nbio.Conn) {
		select {
		case held := <-turns:
			<-held
		default:
		}
		s.readable(c)
	})
	for _, c := range asked[:2] {
		_, err := c.Write([]byte(plainRequest))
		assert.NilError(t, err)
		time.Sleep(settle) // the loop is held in the first, and the second waits
	}
	fresh := []int{socket(t), socket(t), socket(t)}
	for _, c := range asked[2:] {
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	}
	time.Sleep(settle) // the ends cross loopback
	close(turn[0])
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(turns) == 0 {
			return poll.Success()
		}
		return poll.Continue("the second batch has not begun")
	})
	for _, c := range asked[2:] {
		assert.NilError(t, s.serverSide(c).Close())
	}
	for _, fd := range fresh {
		connect(t, fd, s)
	}
	time.Sleep(settle) // they are accepted
	close(turn[1])
	time.Sleep(settle) // the rest of the batch is handled
	for _, fd := range fresh {
		_, err := syscall.Write(fd, []byte(plainRequest))
		assert.NilError(t, err)
		answer := make([]byte, 16)
		n, err := syscall.Read(fd, answer)
		assert.NilError(t, err)
		assert.Assert(t, n > 0, "closed without an answer")
	}
}
