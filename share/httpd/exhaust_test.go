package httpd

import (
	"net/http"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// limitFree lowers the limit on descriptors so that this many are free.
func limitFree(t *testing.T, free int) {
	t.Helper()
	var before syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before))
	t.Cleanup(func() { assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)) })
	entries, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	lower := before
	lower.Cur = uint64(len(entries) - 1 + free) // one entry was the directory itself
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lower))
}

// A process has a few more descriptors free than a server holds. If the server takes the last
// free ones too, it can accept no connections, although it holds enough for them.
func TestServerAcceptsWhileItHoldsDescriptors(t *testing.T) {
	const callers, free = 120, 175 // the server needs about 10 itself
	var sockets []int
	for range callers {
		sockets = append(sockets, socket(t))
	}
	limitFree(t, free)
	s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})}
	assert.NilError(t, s.Start())
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	for i, fd := range sockets {
		connect(t, fd, s)
		_, err := syscall.Write(fd, []byte(plainRequest))
		assert.NilError(t, err)
		n, err := syscall.Read(fd, make([]byte, 16))
		assert.NilError(t, err)
		assert.Assert(t, n > 0, "caller %d of %d got no answer", i, callers)
	}
}
