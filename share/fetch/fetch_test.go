package fetch

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// listenSilent returns the address of a server that accepts connections and never
// answers.
func listenSilent(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			if _, err := ln.Accept(); err != nil {
				return
			}
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String()
}

// A program waits for a watch at the platform when it is stopped. The HTTP engine stops
// first, so no reply can arrive, and the program would hang for half a minute.
func TestCloseEndsCallsInFlight(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) }) // runs after the cleanup of listenSilent
	e := &Engine{}
	assert.NilError(t, e.Start())
	addr := listenSilent(t)
	got := make(chan error, 1)
	go func() {
		_, err := Get(e, addr, "/", time.Minute)
		got <- err
	}()
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, e.Close())
	assert.Assert(t, errors.Is(<-got, ErrConnLost))
	_, err := Get(e, addr, "/", time.Minute)
	assert.Assert(t, errors.Is(err, ErrNotOpened) || errors.Is(err, ErrConnLost))
}

// A refused connection must not look like a lost one: only ErrNotOpened proves that the
// request did not run, so that it may be sent again.
func TestRefusedConnectionIsNotOpened(t *testing.T) {
	e := &Engine{}
	assert.NilError(t, e.Start())
	defer func() { assert.NilError(t, e.Close()) }()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = Get(e, addr, "/", time.Second)
	assert.Assert(t, errors.Is(err, ErrNotOpened))
}

// A command line program stops the engine before the event loops run. If they miss the stop,
// the program never ends.
func TestCloseRightAfterStart(t *testing.T) {
	for range 20 {
		e := &Engine{}
		assert.NilError(t, e.Start())
		assert.NilError(t, e.Close())
	}
}

// Other work keeps the processors busy, so the event loops start late. A Close that comes
// before them would never return.
func TestCloseBeforeLoopsHaveBegun(t *testing.T) {
	former := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(former)
	const spinners = 60
	var stop atomic.Bool
	defer stop.Store(true)
	for range spinners {
		go func() {
			for !stop.Load() {
			}
		}()
	}
	e := &Engine{}
	assert.NilError(t, e.Start())
	closed := make(chan error, 1)
	go func() { closed <- e.Close() }()
	time.AfterFunc(2*time.Second, func() { stop.Store(true) })
	select {
	case err := <-closed:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("Close did not return")
	}
}
