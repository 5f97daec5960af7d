package fetch

import (
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// listenWithoutRoom returns the address of a listener that takes no more connections: the
// kernel drops the packets that open them, as those to a host that is cut off are lost.
func listenWithoutRoom(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, syscall.Close(fd)) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { assert.NilError(t, c.Close()) })
	}
}

// A server does not answer when a connection is opened. The call must end after the client's
// dial timeout, so that another server is tried soon.
func TestDialTimeoutOfTheClientHolds(t *testing.T) {
	e := &Engine{}
	assert.NilError(t, e.Start())
	t.Cleanup(func() { assert.NilError(t, e.Close()) })
	c := Client{Engine: e, Address: listenWithoutRoom(t), DialTimeout: 100 * time.Millisecond}
	r, err := Request(http.MethodGet, c.Address, "/", nil)
	assert.NilError(t, err)
	began := time.Now()
	_, err = c.Do(r, 5*time.Second)
	assert.Assert(t, errors.Is(err, ErrNotOpened), "%v", err)
	assert.Assert(t, time.Since(began) < DefaultDialTimeout/2, "the call took %s", time.Since(began))
}
