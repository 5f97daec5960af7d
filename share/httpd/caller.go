package httpd

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// minReadPause is the least time for which a caller may take nothing of its answer before
// its connection is closed.
const minReadPause = 10 * time.Second

// callerConn is the connection that the library writes answers to. It counts what the library
// does not tell: how much of an answer the caller has not taken yet, and the size of the head
// of an incomplete request.
type callerConn struct {
	*nbio.Conn
	// unsent is the number of bytes of answers that the library keeps in memory until the
	// socket takes them, and sent the number that the socket has taken.
	unsent, sent atomic.Int64
	// closing is set if the connection is to be closed once nothing is unsent.
	closing atomic.Bool
	head    headMeter
}

// opened sets up a connection that the engine is adding, before its first event. It leaves
// an event loop's own connection alone.
func (s *Server) opened(c *nbio.Conn) {
	parser, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	caller := &callerConn{Conn: c, head: headMeter{Processor: parser.Processor}}
	parser.Processor = &caller.head
	parser.Conn.(*nbhttp.Conn).Conn = caller
	s.conns.setCaller(caller)
}

// callerOf returns the callerConn of an engine's connection, or nil for an event loop's own
// connection.
func callerOf(c *nbio.Conn) *callerConn {
	parser, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		return nil
	}
	caller, _ := parser.Conn.(*nbhttp.Conn).Conn.(*callerConn)
	return caller
}

// Write writes what the socket takes at once. The event loop writes the rest, while the
// library reports all of it as written.
func (c *callerConn) Write(b []byte) (int, error) {
	c.unsent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Close closes the connection, or has it closed once the caller has taken its answers: the
// library calls it after a request with "Connection: close", and would drop what is unsent.
func (c *callerConn) Close() error {
	c.closing.Store(true)
	if c.unsent.Load() > 0 {
		return nil
	}
	return c.Conn.Close()
}

// recordSent records that the socket of a connection has taken n bytes. The library calls it
// with the connection's lock held.
func recordSent(c *nbio.Conn, _ []byte, n int) {
	caller := callerOf(c)
	if caller == nil {
		return
	}
	caller.sent.Add(int64(n))
	if caller.unsent.Add(-int64(n)) == 0 && caller.closing.Load() {
		go func() { _ = c.Close() }() // fails only if already closed
	}
}

// progress is when the caller of a connection has last taken bytes of its answers.
type progress struct {
	at   time.Time
	sent int64
}

// pause returns for how long the caller has taken none of the bytes that are unsent. It must
// be called at every sweep.
func (p *progress) pause(caller *callerConn, now time.Time) time.Duration {
	if sent := caller.sent.Load(); p.at.IsZero() || sent != p.sent || caller.unsent.Load() <= 0 {
		p.at, p.sent = now, sent
	}
	return now.Sub(p.at)
}

// setCaller records the callerConn of a connection.
func (c *conns) setCaller(caller *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.find(caller.Conn); o != nil {
		o.caller = caller
	}
}

// hasUnsent reports whether the caller has not taken all of its answers.
func (o *openConn) hasUnsent() bool { return o.caller != nil && o.caller.unsent.Load() > 0 }

// Unsent returns the number of connections whose callers have not taken all of their
// answers.
func (s *Server) Unsent() int {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	unsent := 0
	for _, o := range s.conns.open {
		if o.hasUnsent() {
			unsent++
		}
	}
	return unsent
}

// netConn returns the engine's connection that the library writes an answer to.
func netConn(conn net.Conn) net.Conn {
	if caller, ok := conn.(*callerConn); ok {
		return caller.Conn
	}
	return conn
}
