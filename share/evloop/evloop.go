// Package evloop adds connections to the event loops of an engine.
//
// A loop asks the kernel for a batch of events and then finds the connection of each by its
// descriptor. If another goroutine closes a connection in between, the loop hands its event to
// the connection that has the descriptor by then, and the end of the former connection
// closes the new one. A connection is therefore added only with a descriptor that no other
// connection of the engine has had since its loop last asked for a batch.
package evloop

import (
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// Errors of Loops.
var (
	// ErrUnreachable is returned if no connection was assigned to one of the loops.
	ErrUnreachable = errors.New("an event loop could not be reached")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("event loops are closed")
)

// Loops are the event loops of an engine. Open must be called before the other methods, and
// all connections of the engine must come from Add.
type Loops struct {
	loops []*loop // as the engine numbers them
	held  descriptors
}

// Open connects to the loops of an engine that was started and has no connections. It
// returns ErrUnreachable after maxTriesPerLoop connections per loop.
func (l *Loops) Open(engine *nbio.Engine, count int) error {
	loops, err := openLoops(count)
	if err != nil {
		return err
	}
	for _, lp := range loops {
		if _, err := engine.AddConn(lp.conn); err != nil {
			discard(loops)
			return errors.Wrap(err, "add connection to event loop")
		}
	}
	if err := l.held.open(loops[0].peer, count); err != nil {
		discard(loops)
		return errors.Wrap(err, "hold descriptors")
	}
	l.loops = loops
	return nil
}

// Close waits until each loop has called add for the connections that it was given.
// Connections that come later are closed. The engine must be stopped after it, and not
// before: a loop clears its stop flag when it begins, so an engine that is stopped earlier
// never ends.
func (l *Loops) Close() {
	l.held.close()
	for _, lp := range l.loops {
		lp.close()
	}
}

// Add takes over conn and calls add with the engine's connection for it: at once if it got a
// confirmed descriptor, otherwise from its event loop. After Close, it closes conn and returns
// ErrClosed.
func (l *Loops) Add(conn net.Conn, add func(*nbio.Conn)) error {
	c, confirmed, err := l.held.convert(conn)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "take over connection"), conn.Close())
	}
	if confirmed {
		add(c)
		return nil
	}
	if !l.loopOf(c.Hash()).call(func() { add(c) }) {
		return errors.CombineErrors(ErrClosed, c.Close())
	}
	return nil
}

// Each has every event loop call f, and returns a function that waits until all have done so.
// Only a loop reads its connections, so what f finds about the ones that it owns holds until f
// returns. After Close, f is not called.
func (l *Loops) Each(f func(owns func(*nbio.Conn) bool)) (wait func()) {
	var calls sync.WaitGroup
	for _, lp := range l.loops {
		calls.Add(1)
		owns := func(c *nbio.Conn) bool { return l.loopOf(c.Hash()) == lp }
		if !lp.call(func() { defer calls.Done(); f(owns) }) {
			calls.Done()
		}
	}
	return calls.Wait
}

// Call has the event loop that reads c call f, unless the loops are closed.
func (l *Loops) Call(c *nbio.Conn, f func()) { l.loopOf(c.Hash()).call(f) }

// Prepare holds descriptors for the next connections, so that they need not wait for their
// loops. It is called after Add, when nobody waits for the connection any more, and does not
// wait itself.
func (l *Loops) Prepare() {
	loops, round := l.held.prepare()
	for _, i := range loops {
		l.loops[i].call(func() { l.held.confirm(i, round) })
	}
}

// Release frees the held descriptors for a while if err says that the process or the
// system has run out of them.
func (l *Loops) Release(err error) {
	if errors.IsAny(err, syscall.EMFILE, syscall.ENFILE) {
		l.held.release()
	}
}

// loopOf returns the loop that the engine assigns a descriptor to.
func (l *Loops) loopOf(fd int) *loop { return l.loops[fd%len(l.loops)] }
