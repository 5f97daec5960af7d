package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// settleAfter is how long after its handler has returned a connection counts
// as idle: nbhttp writes the answer only then, and a close in between would cut
// it off.
const settleAfter = 100 * time.Millisecond

// conns are a server's open connections by remote address, and whether a
// request is under way on each.
type conns struct {
	mu   sync.Mutex
	open map[string]*openConn
}

type openConn struct {
	conn net.Conn
	// requests counts those read and not answered yet.
	requests int
	// freed is when the last request's handler returned, or the connection was
	// opened.
	freed time.Time
	// begunAt is when the first byte of a request came that is not whole yet,
	// and heardAt when the last did; bytes counts them.
	begunAt, heardAt time.Time
	bytes            int
	// left is set once the caller has closed the connection, and cancel ends
	// the context of the request that is handled.
	left   bool
	cancel context.CancelFunc
	// refusedAt is when a request that is not whole was refused; what follows on
	// the connection is not read.
	refusedAt time.Time
}

func (c *conns) opened(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[string]*openConn{}
	}
	c.open[conn.RemoteAddr().String()] = &openConn{conn: conn, freed: time.Now()}
}

// handle gives a request that is about to be handled a context that ends when
// its caller closes the connection.
func (c *conns) handle(r *http.Request) (*http.Request, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.open[r.RemoteAddr]; o != nil {
		o.cancel = cancel
		if o.left {
			cancel()
		}
	}
	return r.WithContext(ctx), cancel
}

// left records that a connection's caller has closed it. Its requests may still
// be handled.
func (c *conns) left(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[conn.RemoteAddr().String()]
	if o == nil || o.conn != conn {
		return
	}
	o.left = true
	if o.cancel != nil {
		o.cancel()
	}
}

// closed forgets a connection once its last request has been handled. Its
// address may be another connection's by then.
func (c *conns) closed(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	remote := conn.RemoteAddr().String()
	if o := c.open[remote]; o != nil && o.conn == conn {
		delete(c.open, remote)
	}
}

// take records that a request has been read whole. It is called before the
// request's handler has had a turn: a busy host may run the handler tens of ms
// later, and closing the connection in between would lose the request.
func (c *conns) take(remote string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.open[remote]; o != nil {
		o.requests++
		o.begunAt = time.Time{}
		o.bytes = 0
	}
}

// heard records bytes of a request. It returns whether they are to be read, and
// the status to refuse the request with if it has just become too large.
func (c *conns) heard(remote string, n int, l Limits) (status int, read bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[remote]
	if o == nil {
		return 0, true
	}
	if !o.refusedAt.IsZero() {
		return 0, false
	}
	if o.begunAt.IsZero() {
		o.begunAt = now
	}
	o.heardAt = now
	o.bytes += n
	if status = l.tooMuch(o.bytes); status != 0 {
		o.refusedAt = now
	}
	return status, status == 0
}

// release records that a request's handler has returned.
func (c *conns) release(remote string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.open[remote]; o != nil {
		o.requests--
		o.cancel = nil
		o.freed = time.Now()
	}
}

// unread tells whether bytes of the caller wait to be read: its request has arrived,
// even if an event loop that is behind does not know of it yet.
func (o *openConn) unread() bool {
	c, ok := o.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	// If the connection is closed meanwhile, the descriptor may be another's; the answer
	// does not matter then.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

func (c *conns) closeIdle() {
	c.mu.Lock()
	var idle []net.Conn
	for _, o := range c.open {
		if o.requests == 0 && time.Since(o.freed) >= settleAfter && !o.unread() {
			idle = append(idle, o.conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close() // an error says only that the caller was faster
	}
}
