package httpd

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialFrom opens a connection from a local address, which may have had another one.
func dialFrom(t *testing.T, s *Server, local net.Addr) *net.TCPConn {
	t.Helper()
	d := net.Dialer{LocalAddr: local, Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			assert.Check(t, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
		})
	}}
	c, err := d.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c.(*net.TCPConn)
}

// A caller resets its connection while a request is handled, and opens another from the same
// address. The end of the former request counts as that of the new connection's request,
// so that CloseIdle cuts off its answer.
func TestEndOfFormerRequestLeavesConnectionFromSameAddress(t *testing.T) {
	former, latter := make(chan struct{}), make(chan struct{})
	endFormer, endLatter := sync.OnceFunc(func() { close(former) }), sync.OnceFunc(func() { close(latter) })
	entered := make(chan string, 2)
	s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- r.URL.Path
		if r.URL.Path == "/former" {
			<-former
		} else {
			<-latter
		}
		w.WriteHeader(http.StatusOK)
	})}
	assert.NilError(t, s.Start())
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	t.Cleanup(endLatter)
	t.Cleanup(endFormer)
	c := dialFrom(t, s, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	local := c.LocalAddr()
	_, err := io.WriteString(c, "GET /former HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, <-entered, "/former")
	assert.NilError(t, c.SetLinger(0))
	assert.NilError(t, c.Close())
	time.Sleep(settle) // until the reset has crossed loopback
	c = dialFrom(t, s, local)
	time.Sleep(settle) // until it is accepted
	endFormer()
	time.Sleep(settle) // until the former handler has returned
	_, err = io.WriteString(c, "GET /latter HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, <-entered, "/latter")
	time.Sleep(2 * idleGrace)
	s.closeIdleNow()
	endLatter()
	assert.Equal(t, readStatus(t, c), http.StatusOK)
}
