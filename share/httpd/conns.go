package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"dandelionstile/share/quota"
)

// conns holds a server's open connections by remote address.
type conns struct {
	memory *quota.Bytes
	mu     sync.Mutex
	open   map[string]*openConn
	// adding has the connections that the engine is adding. It counts one that is closed
	// before it has been added as open for ever.
	adding map[net.Conn]struct{}
}

// openConn is the state of one connection and of its last request.
type openConn struct {
	conn net.Conn
	// caller is set once the engine is adding the connection.
	caller   *callerConn
	progress progress
	// heldRequests and heldAnswers are the bytes of requests and of unsent answers that count
	// for memory.
	heldRequests, heldAnswers int64
	// requests counts the requests that were read and whose answer the library has not
	// written yet, as far as the socket takes it.
	requests int
	// idleSince is when the last answer was written or, before the first request,
	// when the connection was opened.
	idleSince time.Time
	// requestStarted is when the first byte of an incomplete request arrived,
	// lastRead when its last one did; bytes is its size so far.
	requestStarted, lastRead time.Time
	bytes                    int
	// peerClosed is set once the caller has closed the connection. cancel ends
	// the context of the request that is being handled.
	peerClosed bool
	cancel     context.CancelFunc
	// rejectedAt is when an incomplete request was rejected, or when that was answered. Bytes
	// that arrive after it are discarded. rejecting is set until the answer is written.
	rejectedAt time.Time
	rejecting  bool
	// ending is set once the server closes and an answer is due. answeredAt is when that was
	// written; further requests are rejected.
	ending     bool
	answeredAt time.Time
	// closeCause is why this host has closed the connection at closedAt, if it has.
	closeCause closeCause
	closedAt   time.Time
}

// add records a connection that was accepted.
func (c *conns) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[string]*openConn{}
	}
	address := conn.RemoteAddr().String()
	if former := c.open[address]; former != nil {
		c.releaseHeld(former) // it is not found any more when it is removed
	}
	c.open[address] = &openConn{conn: conn, idleSince: time.Now()}
}

// beginAdd keeps a connection from being closed as idle or stalled until endAdd.
func (c *conns) beginAdd(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.adding == nil {
		c.adding = map[net.Conn]struct{}{}
	}
	c.adding[conn] = struct{}{}
}

// endAdd ends beginAdd.
func (c *conns) endAdd(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.adding, conn)
}

// isAdding reports whether the engine is adding the connection. The lock must be held.
func (c *conns) isAdding(o *openConn) bool {
	_, ok := c.adding[o.conn]
	return ok
}

// count returns how many connections are open.
func (c *conns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// find returns the state of a connection. It is nil if the connection is closed, or if
// another one has the same address by then. The lock must be held.
func (c *conns) find(conn net.Conn) *openConn {
	o := c.open[conn.RemoteAddr().String()]
	if o == nil || o.conn != conn {
		return nil
	}
	return o
}

// withCancel returns a connection's request with a context that ends when its caller closes
// the connection.
func (c *conns) withCancel(r *http.Request, conn net.Conn) (*http.Request, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.find(conn); o != nil {
		o.cancel = cancel
		if o.peerClosed {
			cancel()
		}
	}
	return r.WithContext(ctx), cancel
}

// recordPeerClosed records that the caller has closed a connection, and cancels the request
// that is being handled on it.
func (c *conns) recordPeerClosed(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.find(conn)
	if o == nil {
		return
	}
	o.peerClosed = true
	if o.cancel != nil {
		o.cancel()
	}
}

// remove removes a connection, which the library reports as closed once its last request has
// been handled. It returns the connection's loss if this host has closed it before requests on it
// were handled or its caller had taken an answer.
func (c *conns) remove(conn net.Conn) *loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.find(conn)
	if o == nil {
		return nil
	}
	c.releaseHeld(o)
	delete(c.open, conn.RemoteAddr().String())
	if o.requests == 0 && (!o.hasUnsent() || o.closeCause == causeUnread) {
		return nil
	}
	return o.loss(o.requests)
}

// recordRequestRead records that a request has been read completely. The library calls
// it before it schedules the handler: a busy host may run the handler tens of ms
// later, and closing the connection in between would lose the request.
func (c *conns) recordRequestRead(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.find(conn); o != nil {
		o.requests++
		c.holdParsed(o)
		o.requestStarted = time.Time{}
		o.bytes = 0
	}
}

// recordBytes records bytes of a request and reports whether they are to be parsed.
// They are not if the request has been rejected, if the connection is about to be closed, or
// if they make the request larger than the limits allow; then status is the one to reject it
// with, and otherwise 0.
func (c *conns) recordBytes(conn net.Conn, data []byte, l Limits) (status int, accepted bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.find(conn)
	if o == nil {
		return 0, true
	}
	if !o.rejectedAt.IsZero() || o.caller != nil && o.caller.closing.Load() {
		return 0, false
	}
	if o.requestStarted.IsZero() {
		o.requestStarted = now
	}
	o.lastRead = now
	o.bytes += len(data)
	head := 0
	if o.caller != nil {
		head = o.caller.head.add(len(data))
	}
	status = l.checkSize(head, o.bytes)
	if status == 0 && !c.holdRequest(o, data, head > 0) {
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		o.rejectedAt, o.rejecting = now, true
	}
	return status, status == 0
}

// recordBegun records that a part of a request has been parsed. It may have come together with
// the end of the request before it.
func (c *conns) recordBegun(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.find(conn); o != nil && o.requestStarted.IsZero() {
		o.requestStarted = time.Now()
		o.lastRead = o.requestStarted
	}
}

// recordRejected records that a rejected request has been answered: rejectLinger begins.
func (c *conns) recordRejected(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.find(conn); o != nil {
		o.rejectedAt, o.rejecting = time.Now(), false
		if o.answeredAt.IsZero() {
			o.answeredAt = o.rejectedAt
		}
	}
}

// recordHandled records that the handler of a request has returned.
func (c *conns) recordHandled(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.find(conn); o != nil {
		o.cancel = nil
	}
}

// recordAnswered records that the answer to a request has been written. The connection is idle
// from then on unless it has another request. It returns the answer's loss, if it has no
// connection any more because this host has closed it.
func (c *conns) recordAnswered(conn net.Conn) *loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.find(conn)
	if o == nil {
		return nil
	}
	o.requests--
	o.idleSince = time.Now()
	if o.ending && o.answeredAt.IsZero() {
		o.answeredAt = o.idleSince
	}
	if o.requests == 0 && o.requestStarted.IsZero() {
		c.memory.Release(o.heldRequests)
		o.heldRequests = 0
	}
	return o.loss(0)
}

// hasUnread reports whether the socket has bytes to read. If it has, the request
// has arrived even if a delayed event loop has not read it yet.
func (o *openConn) hasUnread() bool {
	c, ok := o.conn.(*nbio.Conn)
	if !ok {
		return false
	}
	// A connection that is closed meanwhile would free its descriptor for another socket, and
	// a read clears the error that a socket has for its owner.
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
