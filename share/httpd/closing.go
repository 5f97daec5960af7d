package httpd

import (
	"net"
	"time"
)

// idleGrace is how long a connection must be without a request before it counts as idle. The
// first request of a new connection, or the next one of another, may be on its way.
const idleGrace = 100 * time.Millisecond

// closeLinger is how long a server that closes waits for callers that have not taken their
// answers.
const closeLinger = 250 * time.Millisecond

// isBusy reports whether a connection has a request, or a part of one, or an answer that its
// caller has not taken yet.
func (o *openConn) isBusy() bool {
	return o.requests > 0 || !o.requestStarted.IsZero() || !o.rejectedAt.IsZero() || o.hasUnsent() || o.hasUnread()
}

// closeIdle closes those connections that an event loop owns and that have not been busy for
// idleGrace. It must be called in that loop, which then reads no request in between.
func (c *conns) closeIdle(owns func(net.Conn) bool) {
	c.closeAll(owns, causeIdle, func(o *openConn, now time.Time) bool {
		return now.Sub(o.idleSince) >= idleGrace && !o.isBusy()
	})
}

// lingers reports whether the caller of a connection still has time to take its answer, if the
// server closes since a point in time.
func (o *openConn) lingers(since, now time.Time) bool {
	if o.answeredAt.After(since) {
		since = o.answeredAt
	}
	return now.Sub(since) < closeLinger
}

// isDue reports whether a request has been read, or rejected, and not answered yet.
func (o *openConn) isDue() bool { return o.requests > 0 || o.rejecting }

// closeUnused closes those connections that an event loop owns and that have no request that
// was read whole, nor an answer that their callers still have time to take, if the server
// closes since a point in time. It must be called in that loop.
func (c *conns) closeUnused(owns func(net.Conn) bool, since time.Time) {
	c.closeAll(owns, causeStop, func(o *openConn, now time.Time) bool {
		taking := o.hasUnsent() || !o.rejectedAt.IsZero()
		o.ending = o.ending || o.isDue() || taking
		switch {
		case o.isDue():
			return false
		case !o.lingers(since, now):
			return true
		}
		return !taking && !o.hasUnread()
	})
}

// isEnding reports whether requests on a connection are rejected, since the server closes.
func (c *conns) isEnding(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.find(conn)
	return o != nil && o.ending
}

// mayEnd reports whether the server can stop: it closes since a point in time, and no connection
// has an answer that is due, or that its caller still has time to take.
func (c *conns) mayEnd(since time.Time) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.open {
		if o.isDue() || o.lingers(since, now) {
			return false
		}
	}
	return true
}

// closeAll closes those connections that an event loop owns and that match.
func (c *conns) closeAll(owns func(net.Conn) bool, cause closeCause, matches func(o *openConn, now time.Time) bool) {
	now := time.Now()
	var matching []net.Conn
	c.mu.Lock()
	for _, o := range c.open {
		if owns(o.conn) && !c.isAdding(o) && matches(o, now) {
			o.markClosed(cause, now)
			matching = append(matching, o.conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range matching {
		_ = conn.Close() // fails only if the caller closed it first
	}
}
