// Package fetch makes HTTP calls over nbhttp, one call at a time on each
// connection. It distinguishes a connection that could not be opened from one
// that was lost: only the first proves that the request did not run.
package fetch

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"dandelionstile/share/evloop"
	"dandelionstile/share/netio"
	"dandelionstile/share/quota"
)

// Errors of calls.
var (
	// ErrNotOpened is returned if the connection could not be opened. Nothing was
	// sent.
	ErrNotOpened = errors.New("connection was not opened")
	// ErrConnLost is returned if an open connection was lost. The request may have
	// arrived.
	ErrConnLost = errors.New("connection was lost")
	// ErrClosed is returned if the engine was closed before there was a reply.
	ErrClosed = errors.New("client is closed")
	// errInterim reports an interim reply (1xx), which no call here asks for.
	errInterim = errors.New("interim reply")
	// errNoLength reports a successful reply that does not tell its length, or several. The
	// library ends the first after its head, and takes the first length of the second.
	errNoLength = errors.New("reply without one length")
)

// DefaultDialTimeout bounds the time to open a connection unless a Conn sets another one.
const DefaultDialTimeout = time.Second

// Reply is a complete HTTP reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Engine drives the connections of a process.
type Engine struct {
	// Source is the IP that connections are opened from; if it is empty, the
	// system chooses one.
	Source string
	// Memory bounds the memory of the replies that are being read.
	Memory quota.Bytes

	engine *nbhttp.Engine
	conns  sync.Map // the limiters of open connections, by *nbio.Conn
	loops  evloop.Loops
	done   chan struct{}
	// sending is held while a call uses the library's engine, which must not stop then.
	sending sync.RWMutex
}

// pollers is the number of event loops that drive connections.
const pollers = 2

// Start starts the event loops.
func (e *Engine) Start() error {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name: "fetch", NPoller: pollers, MaxHTTPBodySize: MaxReplyBytes, SupportServerOnly: false,
		BodyAllocator: netio.NewBodyAllocator(),
	})
	engine.OnData(e.onData)
	err := engine.Start()
	if err == nil {
		err = e.loops.Open(engine.Engine, pollers)
	}
	if err != nil {
		return errors.Wrap(err, "start http client")
	}
	e.engine, e.done = engine, make(chan struct{})
	return nil
}

// onData passes what a connection has received to the library, within its limits. An event
// loop's own connection has none.
func (e *Engine) onData(c *nbio.Conn, data []byte) {
	limiter, ok := e.conns.Load(c)
	if !ok {
		c.DataHandler()(c, data)
		return
	}
	parsable, err := limiter.(*replyLimiter).receive(data)
	c.DataHandler()(c, data[:parsable]) // may end with a whole reply also after an error
	if err != nil {
		_ = c.CloseWithError(err) // ends the call
	}
}

// Close closes all connections and waits for the event loops. Calls in flight end with
// ErrConnLost; later calls open no connection.
func (e *Engine) Close() error {
	if e.engine == nil {
		return nil
	}
	close(e.done)
	e.sending.Lock() // waits for calls that are being sent; later ones see done
	e.loops.Close()
	e.sending.Unlock()
	e.engine.Stop()
	return nil
}

// isClosed reports whether Close has been called.
func (e *Engine) isClosed() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Conn is one connection, opened by its first call. It carries one call at a
// time, and can't be used again after an error.
type Conn struct {
	Engine *Engine
	// Address is the IP and port of the server.
	Address string
	// DialTimeout bounds the time to open the connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// OnClose is called once either side has closed the connection, or it could not be
	// opened; it may be nil. It must not call the Conn.
	OnClose func()

	mu      sync.Mutex
	client  *nbhttp.ClientConn
	dialed  net.Conn // open, and not yet taken by client
	limiter replyLimiter
	opened  bool // client has taken the connection, so a request may have been sent
	closed  bool
}

// Do sends a request and calls done once, from another goroutine, or at once with
// ErrNotOpened if the connection can't be opened, or the Conn or its engine is closed. It may
// block until the connection is open.
func (c *Conn) Do(r *http.Request, done func(Reply, error)) {
	conn, err := c.dial()
	if err != nil {
		done(Reply{}, errors.Mark(errors.Wrap(err, "open connection"), ErrNotOpened))
		if c.OnClose != nil {
			c.OnClose()
		}
		return
	}
	if !c.send(conn, r, done) {
		done(Reply{}, ErrNotOpened)
		return
	}
	c.Engine.loops.Prepare()
}

// dial opens a connection for the engine unless there is one. It holds no lock, so that the
// Conn can be closed meanwhile.
func (c *Conn) dial() (net.Conn, error) {
	if !c.mustDial() {
		return nil, nil
	}
	d := net.Dialer{Timeout: cmp.Or(c.DialTimeout, DefaultDialTimeout), LocalAddr: SourceAddr(c.Engine.Source)}
	conn, err := d.Dial("tcp", c.Address)
	if err != nil {
		c.Engine.loops.Release(err)
		return nil, err
	}
	added := make(chan net.Conn, 1)
	if err := c.Engine.loops.Add(conn, func(c *nbio.Conn) { added <- c }); err != nil {
		return nil, err
	}
	return <-added, nil
}

// mustDial reports whether a call has to open the connection.
func (c *Conn) mustDial() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client == nil && !c.closed && !c.Engine.isClosed()
}

// send sends a request over conn, or over the open connection if there is one. It reports
// false if the Conn or its engine is closed.
func (c *Conn) send(conn net.Conn, r *http.Request, done func(Reply, error)) bool {
	c.Engine.sending.RLock()
	defer c.Engine.sending.RUnlock()
	client, ok := c.openClient(conn)
	if !ok {
		return false
	}
	var once sync.Once
	c.limiter.begin(r.Method)
	client.Do(r, func(res *http.Response, _ net.Conn, err error) {
		once.Do(func() {
			reply, err := c.readReply(res, err)
			c.limiter.end()
			done(reply, err)
		})
	})
	return true
}

// openClient returns the library's connection, which uses conn if it is new. Otherwise conn,
// if there is one, is closed. The result is false if the Conn or its engine is closed.
func (c *Conn) openClient(conn net.Conn) (*nbhttp.ClientConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := c.closed || c.Engine.isClosed()
	if conn != nil && (closed || c.client != nil) {
		_ = conn.Close() // not used
	}
	if closed {
		return nil, false
	}
	if c.client == nil {
		c.dialed = conn
		c.limiter.memory = &c.Engine.Memory
		c.Engine.conns.Store(conn, &c.limiter)
		c.client = &nbhttp.ClientConn{Engine: c.Engine.engine, Dial: c.takeDialed}
		c.client.OnClose(func() {
			c.Engine.conns.Delete(conn)
			if c.OnClose != nil {
				c.OnClose()
			}
		})
	}
	return c.client, true
}

// takeDialed returns the open connection; the library calls it, and then adds the connection
// to the engine.
func (c *Conn) takeDialed(string, string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialed == nil {
		return nil, ErrConnLost
	}
	conn := c.dialed
	c.dialed, c.opened = nil, true
	return conn, nil
}

// SourceAddr returns the local address to dial from, or nil, which lets the system choose
// one, if ip is empty, invalid or unspecified.
func SourceAddr(ip string) net.Addr {
	parsed := net.ParseIP(ip)
	if parsed == nil || parsed.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: parsed}
}

// readReply reads the whole body of a reply. It marks errors with ErrNotOpened, ErrConnLost or
// ErrTooLarge.
func (c *Conn) readReply(res *http.Response, err error) (Reply, error) {
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.opened {
			return Reply{}, errors.Mark(errors.Wrap(err, "open connection"), ErrNotOpened)
		}
		return Reply{}, errors.Mark(errors.Wrap(err, "call"), ErrConnLost)
	}
	if res.StatusCode < http.StatusOK {
		return Reply{}, errors.Mark(errInterim, ErrConnLost)
	}
	if res.Body != nil {
		defer func() { _ = res.Body.Close() }() // what is needed of the body is read by then
	}
	if !hasOneLength(res) {
		return Reply{}, errors.Mark(errNoLength, ErrConnLost)
	}
	reply := Reply{Status: res.StatusCode, Header: res.Header}
	if res.Body == nil {
		return reply, nil
	}
	reply.Body, err = io.ReadAll(io.LimitReader(res.Body, MaxReplyBytes+1))
	if err != nil {
		return Reply{}, errors.Mark(errors.Wrap(err, "read reply"), ErrConnLost)
	}
	if len(reply.Body) > MaxReplyBytes {
		return Reply{}, ErrTooLarge
	}
	return reply, nil
}

// hasOneLength reports whether a reply tells how long its body is. Only successful ones must:
// the bodies of others are not used.
func hasOneLength(res *http.Response) bool {
	if res.StatusCode == http.StatusNoContent || res.StatusCode >= http.StatusMultipleChoices || len(res.Header["Transfer-Encoding"]) > 0 {
		return true // the library accepts chunks only
	}
	lengths := res.Header["Content-Length"]
	for _, length := range lengths {
		if length != lengths[0] {
			return false
		}
	}
	return len(lengths) > 0
}

// Close closes the connection. A call in flight ends with ErrConnLost, or with ErrNotOpened
// if the connection was not open yet. Close must not be called from within done.
func (c *Conn) Close() {
	c.mu.Lock()
	client := c.client
	c.closed = true
	if c.dialed != nil {
		_ = c.dialed.Close() // nothing was sent
		c.dialed = nil
	}
	c.mu.Unlock()
	if client != nil {
		client.Close()
	}
}

// Request returns a request with a JSON body, or without one if body is empty.
func Request(method, address, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	return r, nil
}

// Get sends a GET request over a new connection and waits for the reply.
func Get(e *Engine, address, path string, timeout time.Duration) (Reply, error) {
	return Call(e, http.MethodGet, address, path, nil, timeout)
}

// Call sends a request over a new connection and waits for the reply.
func Call(e *Engine, method, address, path string, body []byte, timeout time.Duration) (Reply, error) {
	r, err := Request(method, address, path, body)
	if err != nil {
		return Reply{}, err
	}
	return CallRequest(e, address, r, timeout)
}

// CallRequest sends r over a new connection and waits for the reply.
func CallRequest(e *Engine, address string, r *http.Request, timeout time.Duration) (Reply, error) {
	c := &Conn{Engine: e, Address: address}
	defer c.Close()
	return c.doAndWait(r, timeout)
}
