package httpd

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// exchange sends a request over a new connection and reads its answer. A request with
// Connection: close is followed by a half-close after a delay, so that the ends of both
// sides cross; there need not be an answer then.
func exchange(s *Server, closing bool, delay time.Duration) error {
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // fails only on a closed connection
	if closing {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		time.Sleep(delay)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		return nil
	}
	if _, err := io.WriteString(c, plainRequest); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("status %d", res.StatusCode)
	}
	return nil
}

// Callers half-close connections while the server closes them too. A new connection that
// gets the descriptor of such a one is closed without an answer if it also gets its last
// event.
func TestNewConnectionsAreAnsweredBesideHalfClosedOnes(t *testing.T) {
	const callers, rounds, maxDelay = 24, 400, 300 * time.Microsecond
	// With few processors, an event loop gets its events some time before it handles them.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2))
	s, _ := startEcho(t, Limits{})
	errs := make(chan error, callers*rounds)
	var running sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(1, uint64(caller)))
		running.Go(func() {
			for range rounds {
				_ = exchange(s, true, time.Duration(random.Int64N(int64(maxDelay))))
				if err := exchange(s, false, 0); err != nil {
					errs <- err
				}
			}
		})
	}
	running.Wait()
	close(errs)
	lost, first := len(errs), <-errs
	assert.Equal(t, lost, 0, "of %d new connections this many were lost, the first with %v", callers*rounds, first)
}
