package fetch

import (
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listenClosing returns the address of a server that answers each request and closes its
// connection after a random delay, without announcing it.
func listenClosing(t *testing.T, seed uint64) string {
	t.Helper()
	const maxDelay = 200 * time.Microsecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var running sync.WaitGroup
	running.Go(func() {
		for caller := uint64(0); ; caller++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			delay := time.Duration(rand.New(rand.NewPCG(seed, caller)).Int64N(int64(maxDelay)))
			running.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				time.Sleep(delay)
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		running.Wait()
	})
	return ln.Addr().String()
}

// listenKeeping returns the address of a server that answers each request and keeps its
// connections.
func listenKeeping(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.ErrorIs(t, <-done, http.ErrServerClosed)
	})
	return ln.Addr().String()
}

// A server closes connections while their callers close them too. A new connection that
// gets the descriptor of such a one is lost if it also gets its last event, and nobody
// knows then whether its request ran.
func TestNewConnectionsAreKeptBesideClosingOnes(t *testing.T) {
	const callers, rounds, timeout = 12, 600, 20 * time.Second
	// With few processors, an event loop gets its events some time before it handles them.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2))
	e := &Engine{}
	assert.NilError(t, e.Start())
	defer func() { assert.NilError(t, e.Close()) }()
	closing, keeping := listenClosing(t, 1), listenKeeping(t)
	errs := make(chan error, callers*rounds)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range rounds {
				_, _ = Get(e, closing, "/", timeout) // its end may cross the reply
				if _, err := Get(e, keeping, "/", timeout); err != nil {
					errs <- err
				}
			}
		})
	}
	running.Wait()
	close(errs)
	lost, first := len(errs), <-errs
	assert.Equal(t, lost, 0, "of %d calls to a server that keeps its connections this many were lost, the first with %v", callers*rounds, first)
}
