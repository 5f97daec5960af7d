package evloop

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// loop calls functions from one event loop. A byte on a connection of its own wakes the
// event loop.
type loop struct {
	conn *nbio.Conn
	peer int // the other end of conn

	mu     sync.Mutex
	closed bool
	woken  bool // a byte is under way
	// Functions wait in next until a byte arrives. The loop may have asked for that batch
	// before they came, so they then wait in due for another byte. It is written while the
	// loop handles the first one, so only a batch that it asks for later can have it.
	next, due []func()
}

// HandleWake handles an event of a loop's own connection and reports whether c is one. An
// engine's OnRead handler must call it first. An engine without one must pass data to the
// DataHandler of the connection, as nbhttp does.
func HandleWake(c *nbio.Conn) bool {
	lp, ok := c.Session().(*loop)
	if !ok {
		return false
	}
	if n, err := c.Read(make([]byte, 1)); err == nil && n > 0 {
		lp.run()
	}
	return true
}

// call calls f in the event loop, in a batch that the loop asks for after call began. It
// reports false if the loop is closed.
func (lp *loop) call(f func()) bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if lp.closed {
		return false
	}
	lp.next = append(lp.next, f)
	lp.wake()
	return true
}

// close waits until the functions so far have been called, and ends the connection.
func (lp *loop) close() {
	done := make(chan struct{})
	lp.mu.Lock()
	lp.closed = true
	lp.next = append(lp.next, func() { close(done) })
	lp.wake()
	lp.mu.Unlock()
	<-done
	_ = syscall.Close(lp.peer)
}

// run handles the arrival of a byte.
func (lp *loop) run() {
	lp.mu.Lock()
	functions := lp.due
	lp.due, lp.next, lp.woken = lp.next, nil, false
	lp.wake()
	lp.mu.Unlock()
	for _, f := range functions {
		f()
	}
}

// wake writes a byte unless one is under way or nothing waits. The lock must be held.
func (lp *loop) wake() {
	if lp.woken || len(lp.next)+len(lp.due) == 0 {
		return
	}
	_, err := syscall.Write(lp.peer, []byte{0}) // the socket has room for the only byte
	lp.woken = err == nil                       // otherwise the next call tries again
}

// newLoop returns a loop whose connection is not added to an engine yet.
func newLoop() (*loop, error) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "create socket pair")
	}
	file := os.NewFile(uintptr(pair[0]), "loop")
	conn, err := net.FileConn(file)
	err = errors.CombineErrors(err, file.Close())
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "open loop connection"), syscall.Close(pair[1]))
	}
	c, err := nbio.NBConn(conn)
	if err != nil {
		err = errors.CombineErrors(errors.Wrap(err, "open loop connection"), conn.Close())
		return nil, errors.CombineErrors(err, syscall.Close(pair[1]))
	}
	lp := &loop{conn: c, peer: pair[1]}
	c.SetSession(lp)
	c.OnData(func(*nbio.Conn, []byte) { lp.run() }) // if the engine has no OnRead handler
	return lp, nil
}

// discard closes loops that have no functions to call.
func discard(loops []*loop) {
	for _, lp := range loops {
		if lp != nil {
			_ = lp.conn.Close()
			_ = syscall.Close(lp.peer)
		}
	}
}

// maxTriesPerLoop bounds the connections that are opened until each loop has one.
const maxTriesPerLoop = 16

// openLoops returns a loop for each event loop of an engine, which assigns connections by
// their descriptors.
func openLoops(count int) ([]*loop, error) {
	loops := make([]*loop, count)
	// All descriptors stay open until the end, and each round opens more of them in
	// between. Otherwise the next connection would be assigned to the same loop.
	var spare []*loop
	var fillers []int
	defer func() {
		discard(spare)
		for _, fd := range fillers {
			_ = syscall.Close(fd)
		}
	}()
	for try, reached := 0, 0; reached < count; try++ {
		if try == count*maxTriesPerLoop {
			discard(loops)
			return nil, ErrUnreachable
		}
		lp, err := newLoop()
		if err != nil {
			discard(loops)
			return nil, err
		}
		if i := lp.conn.Hash() % count; loops[i] == nil {
			loops[i] = lp
			reached++
		} else {
			spare = append(spare, lp)
		}
		// The first count rounds open no more descriptors in between, the next count
		// rounds one each, and so on up to count-1; then it starts over.
		for range try / count % count {
			if fd, err := syscall.Dup(lp.peer); err == nil {
				fillers = append(fillers, fd)
			}
		}
	}
	return loops, nil
}
