// Package evloop makes sure that an engine's event loops run before the engine is
// stopped. A loop clears its stop flag when it starts, so an engine that is
// stopped earlier never ends.
package evloop

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// ErrUnreachable is returned if no connection was assigned to one of the loops.
var ErrUnreachable = errors.New("an event loop could not be reached")

// maxTriesPerLoop bounds the connections that are opened until each loop has one.
const maxTriesPerLoop = 16

// Prober checks that each event loop of an engine runs, by a connection of its own to each
// of them. The zero value is ready to use.
type Prober struct {
	mu     sync.Mutex
	probes map[*nbio.Conn]*probe
}

// probe waits for the first event on a connection.
type probe struct {
	once sync.Once
	done chan struct{}
}

// HandleProbe handles an event of a probe's connection and reports whether c is one. An
// engine's OnRead handler, if there is one, must call it first.
func (p *Prober) HandleProbe(c *nbio.Conn) bool {
	p.mu.Lock()
	pr := p.probes[c]
	p.mu.Unlock()
	if pr == nil {
		return false
	}
	pr.once.Do(func() {
		_, _ = c.Read(make([]byte, 1)) // the byte that woke the loop
		close(pr.done)
	})
	return true
}

// AwaitLoops waits until each of an engine's loops has handled an event. The engine
// assigns connections to loops by their descriptors, so it opens connections until each
// loop has one. It returns ErrUnreachable after maxTriesPerLoop connections per loop.
func (p *Prober) AwaitLoops(engine *nbio.Engine, loopCount int) error {
	reached := map[int]bool{}
	// All descriptors stay open until the end, and each round opens more of them
	// in between. Otherwise the next connection would be assigned to the same loop.
	var fds []int
	var conns []*nbio.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close() // the probe is done
		}
		for _, fd := range fds {
			_ = syscall.Close(fd)
		}
	}()
	for try := 0; len(reached) < loopCount; try++ {
		if try == loopCount*maxTriesPerLoop {
			return ErrUnreachable
		}
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return errors.Wrap(err, "create socket pair")
		}
		fds = append(fds, pair[1])
		c, err := p.probeLoop(engine, pair[0], pair[1])
		if err != nil {
			return err
		}
		conns = append(conns, c)
		reached[c.Hash()%loopCount] = true // as the engine assigns it
		// The first loopCount rounds open no more descriptors in between, the next
		// loopCount rounds one each, and so on up to loopCount-1; then it starts over.
		for range try / loopCount % loopCount {
			if fd, err := syscall.Dup(pair[1]); err == nil {
				fds = append(fds, fd)
			}
		}
	}
	return nil
}

// probeLoop adds a connection to the engine and waits until its loop has handled an event
// on it. The event is a byte that is written to peer, the other end.
func (p *Prober) probeLoop(engine *nbio.Engine, fd, peer int) (*nbio.Conn, error) {
	file := os.NewFile(uintptr(fd), "loop")
	conn, err := net.FileConn(file)
	err = errors.CombineErrors(err, file.Close())
	if err != nil {
		return nil, errors.Wrap(err, "open probe connection")
	}
	c, err := nbio.NBConn(conn)
	if err != nil {
		return nil, errors.Wrap(err, "open probe connection")
	}
	pr := &probe{done: make(chan struct{})}
	p.mu.Lock()
	if p.probes == nil {
		p.probes = map[*nbio.Conn]*probe{}
	}
	p.probes[c] = pr
	p.mu.Unlock()
	c.OnData(func(c *nbio.Conn, _ []byte) { p.HandleProbe(c) })
	if _, err := engine.AddConn(c); err != nil {
		return nil, errors.Wrap(err, "add probe connection to event loop")
	}
	if _, err := syscall.Write(peer, []byte{0}); err != nil {
		return nil, errors.Wrap(err, "write to probe connection")
	}
	<-pr.done
	return c, nil
}

// Listener signals when its engine has begun to accept connections.
type Listener struct {
	net.Listener
	once      sync.Once
	accepting chan struct{}
}

// NewListener returns a Listener that wraps l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, accepting: make(chan struct{})}
}

// Accept waits for a connection and returns it. Its first call closes the channel that
// Accepting returns.
func (l *Listener) Accept() (net.Conn, error) {
	l.once.Do(func() { close(l.accepting) })
	return l.Listener.Accept()
}

// Accepting returns a channel that is closed once the engine accepts connections.
func (l *Listener) Accepting() <-chan struct{} { return l.accepting }
