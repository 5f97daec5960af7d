package httpc

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/quota"
	"dandelionstile/share/syntax"
)

// Errors of calls.
var (
	// ErrWrongRequestID reports a reply that carries another request's ID.
	ErrWrongRequestID = errors.New("reply belongs to another request")
	// ErrNoStamp reports a successful reply without the leaf's stamp.
	ErrNoStamp = errors.New("reply has no stamp")
	// ErrIdleClosed reports a connection that was closed, or carried bytes, while
	// no call was active on it.
	ErrIdleClosed = errors.New("connection ended while idle")
	// ErrReset reports a reply without a length whose connection was reset.
	ErrReset = errors.New("connection was reset within the reply")
	// errNothingWritten marks the error of a write of which the socket took no byte.
	errNothingWritten = errors.New("nothing was written")
)

const (
	// maxForeignReplies is how many replies to other requests a call reads
	// before it fails.
	maxForeignReplies = 3
	// readBufferBytes fits an ordinary reply with its headers.
	readBufferBytes = 4 << 10
	// idleMargin is how long before a leaf's idle timeout its connection is no
	// longer used, so that a request does not cross the leaf's close.
	idleMargin = clock.Second
)

// job is one call on a connection.
type job struct {
	request *http.Request
	// stampOptional is set when the reply needs no stamp: health checks and merged
	// answers of other hosts.
	stampOptional bool
	done          chan result
}

// result is the outcome of a job.
type result struct {
	reply *call.Reply
	// keep is set when the connection can carry another call.
	keep bool
	// idleTimeout is the leaf's idle timeout for the connection; 0 if not given.
	idleTimeout clock.Milli
	err         error
}

// conn is one connection. Its read loop runs as long as the connection is open, so that a
// close or unexpected bytes on an idle connection are seen before its next use.
type conn struct {
	net     net.Conn
	dialect *Dialect
	memory  *quota.Bytes

	mu     sync.Mutex
	job    *job
	closed bool
	ended  chan struct{} // closed when the read loop has ended
	// usableUntil is when the idle connection is no longer used, since the leaf may
	// then close it; 0 if its idle timeout is unknown.
	usableUntil clock.Milli
}

// newConn starts the read loop of an open connection.
func newConn(netConn net.Conn, d *Dialect, memory *quota.Bytes) *conn {
	created := &conn{net: netConn, dialect: d, memory: memory, ended: make(chan struct{})}
	go created.readLoop()
	return created
}

// begin assigns a call to the connection. It reports false if the connection is closed
// or has a call.
func (c *conn) begin(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.job != nil {
		return false
	}
	c.job = j
	return true
}

// newConnWatch is how long a new connection is watched, in addition to the time that it
// took to open, before a request with AwaitRejection, which one leaf serves whole, is sent.
// A leaf at its connection limit resets a connection as it accepts it; the reset
// arrives one round trip after the connection opens, plus a few ms until the leaf is
// scheduled. Once the request is sent it is unknown whether it ran: it cannot be
// retried if it is not idempotent, and a retry takes from the budget otherwise. Before
// that, another leaf can be tried at no cost. The delay is short against the targets
// of such requests, about 1 s.
const newConnWatch = 6 * time.Millisecond

// awaitReset watches a new connection for newConnWatch longer than its opening took. It
// reports whether the connection ended in this time.
func (c *conn) awaitReset(dialDuration time.Duration) bool {
	select {
	case <-c.ended:
		return true
	case <-time.After(dialDuration + newConnWatch):
		return false
	}
}

// current returns the active call, or nil.
func (c *conn) current() *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.job
}

// method returns the method of the active call, or "".
func (c *conn) method() string {
	if j := c.current(); j != nil {
		return j.request.Method
	}
	return ""
}

// finish delivers a result to the active call, if any. Unless the result keeps the
// connection, no further call begins on it.
func (c *conn) finish(r result) {
	c.mu.Lock()
	j := c.job
	c.job = nil
	if !r.keep {
		c.closed = true
	}
	c.mu.Unlock()
	if j != nil {
		j.done <- r
	}
}

// close closes the connection.
func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.net.Close() // fails only if already closed
}

// alive reports whether the connection is open and the leaf is not about to close it.
func (c *conn) alive(now clock.Milli) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (c.usableUntil == 0 || now < c.usableUntil)
}

// readLoop reads replies until the connection ends.
func (c *conn) readLoop() {
	defer close(c.ended)
	defer c.close()
	in := &replyReader{memory: c.memory}
	in.from = syntax.Reader{From: c.net, Method: c.method, Checker: syntax.Checker{BareLF: true}}
	defer func() { in.release(nil) }()
	br := bufio.NewReaderSize(in, readBufferBytes)
	for {
		if _, err := br.Peek(1); err != nil {
			c.finish(result{err: errors.Wrap(err, "read reply")})
			return
		}
		j := c.current()
		if j == nil {
			return // unsolicited bytes
		}
		r := c.readReply(in, br, j)
		in.release(r.reply)
		if br.Buffered() > 0 || in.from.Err() != nil {
			r.keep = false // bytes after the reply
		}
		c.finish(r)
		if !r.keep {
			return
		}
	}
}

// readReply reads the reply to a call. It skips late replies to earlier requests, since
// the connection is otherwise intact, but fails after maxForeignReplies of them.
func (c *conn) readReply(in *replyReader, br *bufio.Reader, j *job) result {
	for range maxForeignReplies {
		r := c.readOne(in, br, j)
		if !errors.Is(r.err, ErrWrongRequestID) {
			return r
		}
	}
	return result{err: ErrWrongRequestID}
}

// readOne reads the next reply, apart from interim ones (1xx), and checks that it is
// complete, within the limits of its reader, belongs to the call and, if successful, has a
// stamp if the call needs one. A reply without a request ID counts as belonging to the call.
func (c *conn) readOne(in *replyReader, br *bufio.Reader, j *job) result {
	request := j.request
	res, err := http.ReadResponse(br, request)
	for err == nil && res.StatusCode >= 100 && res.StatusCode < 200 {
		res, err = http.ReadResponse(br, request)
	}
	if err != nil {
		return result{err: errors.Wrap(err, "read reply")}
	}
	body, err := in.readBody(res.Body, res.ContentLength)
	if err != nil {
		// Closing the body would read on, without end if the body has none.
		return result{err: errors.Wrap(err, "read reply")}
	}
	_ = res.Body.Close() // it has been read
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && c.isReset() {
		return result{err: ErrReset}
	}
	id := res.Header.Get(c.dialect.RequestID)
	if id != "" && id != request.Header.Get(c.dialect.RequestID) {
		return result{err: ErrWrongRequestID}
	}
	reply := &call.Reply{Status: res.StatusCode, Header: res.Header, Body: body, Stamp: res.Header.Get(c.dialect.Stamp)}
	if reply.Successful() && reply.Stamp == "" && !j.stampOptional {
		return result{err: ErrNoStamp}
	}
	return result{reply: reply, keep: !res.Close, idleTimeout: parseIdleTimeout(res.Header)}
}

// parseIdleTimeout returns the idle timeout of a Keep-Alive header, or 0.
func parseIdleTimeout(h http.Header) clock.Milli {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0 // not a number of seconds
		}
		return clock.Milli(seconds) * clock.Second
	}
	return 0
}

// write sends a request. It writes the target byte for byte, since net/http's own
// writer would normalise it. Its error is marked with errNothingWritten if that is so.
func (c *conn) write(request *http.Request, target string, body []byte) error {
	var b bytes.Buffer
	b.WriteString(request.Method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(request.Host)
	b.WriteString("\r\n")
	if err := request.Header.Write(&b); err != nil {
		return errors.Wrap(err, "write headers")
	}
	b.WriteString("\r\n")
	b.Write(body)
	n, err := c.net.Write(b.Bytes())
	err = errors.Wrap(err, "send request")
	if err != nil && n == 0 {
		return errors.Mark(err, errNothingWritten)
	}
	return err
}
