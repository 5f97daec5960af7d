package httpd

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
)

// The server checks for unread bytes on a connection that has just been closed, whose
// descriptor is another socket's by then. The check would clear that socket's error, so that
// its owner would not learn that the connection was refused.
func TestUnreadCheckLeavesOtherSocketsAlone(t *testing.T) {
	s, client := startEcho(t, Limits{})
	_, err := io.WriteString(client, plainRequest)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, client), http.StatusOK)
	s.conns.mu.Lock()
	former := s.conns.open[client.LocalAddr().String()]
	s.conns.mu.Unlock()
	fd := former.conn.(*nbio.Conn).Hash()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	refusing := &syscall.SockaddrInet4{Port: ln.Addr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}
	assert.NilError(t, former.conn.Close())
	time.Sleep(settle) // until the descriptor is free
	other := socket(t)
	for other < fd {
		other = socket(t)
	}
	if other > fd {
		return // no other socket gets the descriptor
	}
	assert.NilError(t, syscall.SetNonblock(other, true))
	assert.ErrorIs(t, syscall.Connect(other, refusing), syscall.EINPROGRESS)
	time.Sleep(settle) // until the connection is refused
	former.hasUnread()
	status, err := syscall.GetsockoptInt(other, syscall.SOL_SOCKET, syscall.SO_ERROR)
	assert.NilError(t, err)
	assert.Equal(t, syscall.Errno(status), syscall.ECONNREFUSED)
}
