package httpc

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
)

// Errors of calls.
var (
	// ErrForeignReply: the reply names another request.
	ErrWrongRequestID = errors.New("reply belongs to another request")
	// ErrUnsigned: a success without the leaf's signature is no reply.
	ErrUnsigned = errors.New("reply has no signature")
	// ErrIdle: the connection ended or carried bytes while no call was on it.
	ErrIdleClosed = errors.New("connection ended while idle")
	// ErrTooLarge: the reply is larger than allowed.
	ErrTooLarge = errors.New("reply is too large")
)

const (
	// maxReply is the largest reply taken, in bytes; leafs answer with some
	// tens of KB at most.
	maxReply = 4 << 20
	// maxStrays is how many replies to other requests are skipped while a call
	// waits for its own.
	maxStrays = 3
	// readBuffer fits an ordinary reply with its headers.
	readBuffer = 4 << 10
	// unackedTimeout ends a connection whose peer acknowledges nothing: its
	// host is gone or cut off.
	unackedTimeout = 1500 * time.Millisecond
	// idleMargin is how long before a leaf's own idle timeout its connection
	// is no longer used: a request must not cross the leaf's close.
	idleMargin = clock.Second
)

// job is one call on a connection.
type job struct {
	request *http.Request
	// unsigned replies bear no leaf's signature: those to probes, and other
	// hosts' merged answers.
	unsigned bool
	done     chan result
}

type result struct {
	reply *call.Reply
	// keep is set when the connection may carry another call.
	keep bool
	// idle is how long the leaf keeps it open; 0 is not told.
	idle clock.Milli
	err  error
}

// conn is one connection. Its reader runs from the opening to the end, so that
// a close or stray bytes on an idle connection are seen before it is used.
type conn struct {
	net     net.Conn
	dialect *Dialect

	mu     sync.Mutex
	job    *job
	closed bool
	ended  chan struct{}
	// until is when the leaf may close the idle connection.
	until clock.Milli
}

func newConn(c net.Conn, d *Dialect) *conn {
	k := &conn{net: c, dialect: d, ended: make(chan struct{})}
	go k.read()
	return k
}

// begin puts a call on the connection; false if it has ended.
func (c *conn) begin(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.job != nil {
		return false
	}
	c.job = j
	return true
}

// freshWait is how much longer than its opening took a new connection is watched
// before the only leaf of a request is sent it. A leaf that holds all the
// connections it accepts resets a new one as it accepts it, which is seen one way
// there and back after the connection is open, and a few ms for its turn.
// After the request was sent nobody could tell whether it ran: it could not be
// sent again if it may run once only, and took a second call from the budget if
// not. Before, another leaf may be asked for nothing. Such requests have targets
// of a second, of which this is little.
const freshWait = 6 * time.Millisecond

// turnedAway watches a new connection, whose opening took so long, for a moment
// and tells whether it ended.
func (c *conn) turnedAway(opening time.Duration) bool {
	select {
	case <-c.ended:
		return true
	case <-time.After(opening + freshWait):
		return false
	}
}

func (c *conn) current() *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.job
}

// finish hands a result to the call that is on the connection.
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

// shut closes the connection.
func (c *conn) shut() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.net.Close() // an error here says only that it was closed already
}

// alive tells whether the connection can take a call.
func (c *conn) alive(now clock.Milli) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (c.until == 0 || now < c.until)
}

// read takes replies until the connection ends.
func (c *conn) read() {
	defer close(c.ended)
	defer c.shut()
	br := bufio.NewReaderSize(c.net, readBuffer)
	for {
		if _, err := br.Peek(1); err != nil {
			c.finish(result{err: errors.Wrap(err, "read reply")})
			return
		}
		j := c.current()
		if j == nil {
			return // bytes that nobody asked for
		}
		r := c.reply(br, j)
		if br.Buffered() > 0 {
			r.keep = false // more bytes than the reply
		}
		c.finish(r)
		if !r.keep {
			return
		}
	}
}

// reply reads the reply to a call. Replies to other requests that come first
// are skipped: they arrived late on a connection that is sound otherwise.
func (c *conn) reply(br *bufio.Reader, j *job) result {
	for range maxStrays {
		r := c.one(br, j)
		if !errors.Is(r.err, ErrWrongRequestID) {
			return r
		}
	}
	return result{err: ErrWrongRequestID}
}

func (c *conn) one(br *bufio.Reader, j *job) result {
	q := j.request
	res, err := http.ReadResponse(br, q)
	for err == nil && res.StatusCode >= 100 && res.StatusCode < 200 {
		res, err = http.ReadResponse(br, q)
	}
	if err != nil {
		return result{err: errors.Wrap(err, "read reply")}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReply+1))
	_ = res.Body.Close() // it was read to its end, or the connection goes
	if err != nil {
		return result{err: errors.Wrap(err, "read reply")}
	}
	if len(body) > maxReply {
		return result{err: ErrTooLarge}
	}
	id := res.Header.Get(c.dialect.RequestID)
	if id != "" && id != q.Header.Get(c.dialect.RequestID) {
		return result{err: ErrWrongRequestID}
	}
	reply := &call.Reply{Status: res.StatusCode, Header: res.Header, Body: body, Stamp: res.Header.Get(c.dialect.Stamp)}
	if reply.Successful() && reply.Stamp == "" && !j.unsigned {
		return result{err: ErrUnsigned}
	}
	return result{reply: reply, keep: !res.Close, idle: idleTime(res.Header)}
}

// idleTime reads how long a leaf keeps an idle connection.
func idleTime(h http.Header) clock.Milli {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0 // not told in a form that can be read
		}
		return clock.Milli(seconds) * clock.Second
	}
	return 0
}

// write sends a request. The target goes out byte for byte as the caller wrote
// it; net/http's own writer would normalise it.
func (c *conn) write(q *http.Request, target string, body []byte) error {
	var b bytes.Buffer
	b.WriteString(q.Method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(q.Host)
	b.WriteString("\r\n")
	if err := q.Header.Write(&b); err != nil {
		return errors.Wrap(err, "write headers")
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, err := c.net.Write(b.Bytes())
	return errors.Wrap(err, "send request")
}

// control sets the options of a connection to a leaf before it is opened.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which the syscall package does not name.
const tcpUserTimeout = 0x12
