package httpd

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Limits bound the size and duration of requests. A field that is not above zero
// takes its default.
type Limits struct {
	// MaxHeaderBytes bounds the path and header of a request, MaxBodyBytes its body.
	MaxHeaderBytes, MaxBodyBytes int
	// StallTimeout is how long a caller may send nothing within a request.
	StallTimeout time.Duration
	// IdleTimeout is how long a connection may stay open between requests.
	IdleTimeout time.Duration
	// ReadPause is for how long a caller may take nothing of its answer, if that is longer
	// than IdleTimeout and minReadPause.
	ReadPause time.Duration
}

// Defaults of Limits.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultStallTimeout   = 10 * time.Second
	// DefaultIdleTimeout also applies to the connections between hosts.
	DefaultIdleTimeout = 2 * time.Minute
	// maxTimeout keeps the multiples of a timeout within the range of their type.
	maxTimeout = 365 * 24 * time.Hour
)

// withDefaults returns the limits with a default for each field that is not above zero, and
// with timeouts of at most maxTimeout.
func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = fallbackMaxBodyBytes
	}
	if l.StallTimeout <= 0 {
		l.StallTimeout = defaultStallTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	l.StallTimeout, l.IdleTimeout = min(l.StallTimeout, maxTimeout), min(l.IdleTimeout, maxTimeout)
	l.ReadPause = max(l.ReadPause, l.IdleTimeout, minReadPause)
	return l
}

const (
	// maxStallTimeouts bounds the time to send a whole request, in multiples of
	// StallTimeout. A caller that sends a byte now and then would otherwise hold a
	// connection and its memory without limit.
	maxStallTimeouts = 10
	// sweepInterval is how often the time limits of connections are checked.
	sweepInterval = 250 * time.Millisecond
	// rejectLinger is how long a connection stays open after its request was
	// rejected. Closing it at once, with bytes unread, would reset it, and the
	// caller would not see the answer.
	rejectLinger = time.Second
	// chunkingBytes is what chunked encoding may add to the size of a request, besides
	// a quarter of the body.
	chunkingBytes = 16 << 10
)

// checkSize returns the status to reject an incomplete request with if it, or its incomplete
// head, is already larger than the limits allow, or 0. The exact size of a head is checked
// once it is complete.
func (l Limits) checkSize(head, bytes int) int {
	if head > l.MaxHeaderBytes+readBufferBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if bytes > l.MaxHeaderBytes+l.MaxBodyBytes+l.MaxBodyBytes/4+chunkingBytes {
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// checkRequest returns the status to reject a complete request with, or 0 if it is
// within the limits.
func (l Limits) checkRequest(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	switch {
	case size > l.MaxHeaderBytes:
		return http.StatusRequestHeaderFieldsTooLarge
	case r.ContentLength > int64(l.MaxBodyBytes):
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// connAction is what a sweep does with a connection.
type connAction int

const (
	// keepOpen leaves the connection open.
	keepOpen connAction = iota
	// closeConn closes a connection on which no answer is due.
	closeConn
	// rejectTimedOut answers that the request timed out.
	rejectTimedOut
)

// nextAction returns what to do with a connection. While a handler runs, no time limit
// applies; while a caller reads its answer, however slowly, only that on its pauses does. A
// connection with bytes that have arrived but are not read yet is neither
// stalled nor idle; the limits on the whole request and on the time after a rejection
// apply to it all the same.
func (l Limits) nextAction(o *openConn, now time.Time) connAction {
	pause := time.Duration(0)
	if o.caller != nil {
		pause = o.progress.pause(o.caller, now)
	}
	switch {
	case o.requests > 0, o.rejecting:
		return keepOpen
	case o.hasUnsent():
		if pause > l.ReadPause {
			return closeConn
		}
	case !o.rejectedAt.IsZero():
		if now.Sub(o.rejectedAt) > rejectLinger {
			return closeConn
		}
	case !o.requestStarted.IsZero():
		if now.Sub(o.lastRead) > l.StallTimeout && !o.hasUnread() || now.Sub(o.requestStarted) > maxStallTimeouts*l.StallTimeout {
			return rejectTimedOut
		}
	case now.Sub(o.idleSince) > l.IdleTimeout && !o.hasUnread():
		return closeConn
	}
	return keepOpen
}

// errorResponse returns an HTTP response without a body, for a request that does
// not reach a handler.
func errorResponse(status int) []byte {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n" // other requests will have given memory back
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
}

// sweep returns the connections that a time limit, or want of memory, ends by now.
func (c *conns) sweep(l Limits, now time.Time) (due []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.open {
		if !c.isAdding(o) && c.nextAction(o, l, now) != keepOpen {
			due = append(due, o.conn)
		}
	}
	return due
}

// nextAction returns what to do with a connection. The lock must be held.
func (c *conns) nextAction(o *openConn, l Limits, now time.Time) connAction {
	action := l.nextAction(o, now)
	if !c.holdAnswers(o) {
		// The answers of callers that do not read must not take the memory that all
		// others need.
		return closeConn
	}
	return action
}

// end ends a connection that sweep returned, unless its caller has sent or taken bytes since. It
// returns what it has done, or what is left to do if the request timed out, and why it closed
// the connection. It must be called in the connection's event loop, which reads no request in
// between.
func (c *conns) end(conn net.Conn, l Limits, now time.Time) (connAction, closeCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.find(conn)
	if o == nil {
		return keepOpen, ""
	}
	action, cause := c.nextAction(o, l, now), causeIdle
	switch action {
	case rejectTimedOut:
		o.rejectedAt, o.rejecting = now, true
	case closeConn:
		if o.hasUnsent() {
			cause = causeUnread
		} else if !o.rejectedAt.IsZero() {
			cause = causeRejected
		}
		o.markClosed(cause, now)
	case keepOpen:
	}
	return action, cause
}
