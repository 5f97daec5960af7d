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

// deaf accepts connections and never answers.
func deaf(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := ln.Accept(); err != nil {
				return
			}
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-ended
	})
	return ln.Addr().String()
}

// A program that is told to stop hangs for half a minute. It waits for a watch
// at the platform; the HTTP engine has stopped, so nobody will ever answer.
func TestCloseEndsCallsUnderWay(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) }) // runs after deaf's
	e := &Engine{}
	assert.NilError(t, e.Start())
	addr := deaf(t)
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

// A command line program that asks one question never ends: it stops the engine
// before its event loops have begun, and they miss it.
func TestCloseRightAfterStart(t *testing.T) {
	for range 20 {
		e := &Engine{}
		assert.NilError(t, e.Start())
		assert.NilError(t, e.Close())
	}
}

// Guards against a Close that never ends where the event loops begin late, because
// other work holds the processors.
func TestCloseBeforeLoopsHaveBegun(t *testing.T) {
	former := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(former)
	const busy = 60
	var stop atomic.Bool
	defer stop.Store(true)
	for range busy {
		go func() {
			for !stop.Load() {
			}
		}()
	}
	e := &Engine{}
	assert.NilError(t, e.Start())
	ended := make(chan error, 1)
	go func() { ended <- e.Close() }()
	time.AfterFunc(2*time.Second, func() { stop.Store(true) })
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("Close has not ended")
	}
}
