// Package loops makes sure that an engine's event loops run before it is stopped.
// A loop clears its stop flag when it begins; an engine that is stopped earlier
// never ends.
package evloop

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// ErrUnreachable says that no connection could be given to some loop.
var ErrUnreachable = errors.New("an event loop could not be reached")

// triesPerLoop bounds the connections made until each loop has one.
const triesPerLoop = 16

// Prober tells the connections of Await from others. The zero value is ready.
type Prober struct {
	mu    sync.Mutex
	marks map[*nbio.Conn]*mark
}

// mark waits for the first event on one connection.
type mark struct {
	once sync.Once
	done chan struct{}
}

// HandleProbe is to be called first by an engine's OnRead handler, if it has one; true
// says that the connection is none of its own.
func (l *Prober) HandleProbe(c *nbio.Conn) bool {
	l.mu.Lock()
	m := l.marks[c]
	l.mu.Unlock()
	if m == nil {
		return false
	}
	m.once.Do(func() {
		_, _ = c.Read(make([]byte, 1)) // what woke the loop
		close(m.done)
	})
	return true
}

// AwaitLoops waits until each of an engine's loops has handled an event. The engine
// gives connections to loops by their descriptors.
func (l *Prober) AwaitLoops(g *nbio.Engine, loops int) error {
	reached := map[int]bool{}
	// All stay open until the end, with more descriptors between them in each round:
	// the next would otherwise fall to the same loop.
	var held []int
	var conns []*nbio.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close() // it has served its purpose
		}
		for _, fd := range held {
			_ = syscall.Close(fd)
		}
	}()
	for try := 0; len(reached) < loops; try++ {
		if try == loops*triesPerLoop {
			return ErrUnreachable
		}
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return errors.Wrap(err, "socket pair")
		}
		held = append(held, pair[1])
		c, err := l.reach(g, pair[0], pair[1])
		if err != nil {
			return err
		}
		conns = append(conns, c)
		reached[c.Hash()%loops] = true
		for range try / loops % loops {
			if fd, err := syscall.Dup(pair[1]); err == nil {
				held = append(held, fd)
			}
		}
	}
	return nil
}

// reach waits until the loop of one connection has handled an event on it.
func (l *Prober) reach(g *nbio.Engine, fd, peer int) (*nbio.Conn, error) {
	file := os.NewFile(uintptr(fd), "loop")
	conn, err := net.FileConn(file)
	err = errors.CombineErrors(err, file.Close())
	if err != nil {
		return nil, errors.Wrap(err, "connection to a loop")
	}
	c, err := nbio.NBConn(conn)
	if err != nil {
		return nil, errors.Wrap(err, "connection to a loop")
	}
	m := &mark{done: make(chan struct{})}
	l.mu.Lock()
	if l.marks == nil {
		l.marks = map[*nbio.Conn]*mark{}
	}
	l.marks[c] = m
	l.mu.Unlock()
	c.OnData(func(c *nbio.Conn, _ []byte) { l.HandleProbe(c) })
	if _, err := g.AddConn(c); err != nil {
		return nil, errors.Wrap(err, "connection to a loop")
	}
	if _, err := syscall.Write(peer, []byte{0}); err != nil {
		return nil, errors.Wrap(err, "wake a loop")
	}
	<-m.done
	return c, nil
}

// Listener tells when its engine's loop has begun to accept connections.
type Listener struct {
	net.Listener
	once  sync.Once
	begun chan struct{}
}

// NewListener wraps a listener.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l, begun: make(chan struct{})} }

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.once.Do(func() { close(l.begun) })
	return l.Listener.Accept()
}

// Accepting is closed once a loop accepts connections.
func (l *Listener) Accepting() <-chan struct{} { return l.begun }
