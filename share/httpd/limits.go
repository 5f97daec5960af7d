package httpd

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Limits bound what a caller may send and how long it may take. A field that
// is not above zero takes its default.
type Limits struct {
	// MaxHeaderBytes and BodyBytes are the largest header and body of a request.
	MaxHeaderBytes, MaxBodyBytes int
	// StallTimeout is how long a caller may pause within a request that it has begun.
	StallTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	defaultHeaderBytes = 64 << 10
	defaultSilence     = 10 * time.Second
	defaultIdle        = 2 * time.Minute
)

func (l Limits) filled() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = hardBody
	}
	if l.StallTimeout <= 0 {
		l.StallTimeout = defaultSilence
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	return l
}

const (
	// slowest is how many times Silence a whole request may take: a caller that
	// sends a byte now and then holds a connection, and memory, for no use.
	slowest = 10
	// sweepEvery is how often connections are looked at.
	sweepEvery = 250 * time.Millisecond
	// linger is how long a refused caller may go on sending before its
	// connection is closed. Closed at once, with bytes unread, the connection
	// would be reset and the caller would not see the answer.
	linger = time.Second
	// framing is what chunked bodies may add to the bytes of a request.
	framing = 16 << 10
)

// tooMuch tells why the bytes of a request that is not whole yet are more than
// any within the limits has; 0 if they are not.
func (l Limits) tooMuch(bytes int) int {
	if bytes > l.MaxHeaderBytes+l.MaxBodyBytes+l.MaxBodyBytes/4+framing {
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// refusal is the status that a whole request outside the limits gets; 0 for
// none.
func (l Limits) refusal(r *http.Request) int {
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

// verdict is what a connection's state asks for at a time.
type verdict int

const (
	// keep leaves the connection as it is.
	keep verdict = iota
	// closeNow ends a connection on which nothing is owed.
	closeNow
	// timeOut answers that the request did not come in time.
	timeOut
)

// judge looks at one connection. What has arrived and is not read yet counts as in
// time.
func (l Limits) judge(o *openConn, now time.Time) verdict {
	switch {
	case o.requests > 0:
		return keep
	case !o.refusedAt.IsZero():
		if now.Sub(o.refusedAt) > linger {
			return closeNow
		}
	case !o.begunAt.IsZero():
		if now.Sub(o.heardAt) > l.StallTimeout && !o.unread() || now.Sub(o.begunAt) > slowest*l.StallTimeout {
			return timeOut
		}
	case now.Sub(o.freed) > l.IdleTimeout && !o.unread():
		return closeNow
	}
	return keep
}

// bareAnswer is an answer to a request that no handler has seen.
func bareAnswer(status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// sweep closes connections that have rested too long, and returns those whose
// request did not come in time.
func (c *conns) sweep(l Limits, now time.Time) (late []net.Conn) {
	var ended []net.Conn
	c.mu.Lock()
	for _, o := range c.open {
		switch l.judge(o, now) {
		case closeNow:
			ended = append(ended, o.conn)
		case timeOut:
			o.refusedAt = now
			late = append(late, o.conn)
		case keep:
		}
	}
	c.mu.Unlock()
	for _, conn := range ended {
		_ = conn.Close() // an error says only that the caller was faster
	}
	return late
}
