// Package httpd serves HTTP over nbhttp, with limits on headers, bodies,
// connections and time.
package httpd

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rs/zerolog"

	"dandelionstile/share/clock"
	"dandelionstile/share/evloop"
	"dandelionstile/share/netio"
	"dandelionstile/share/quota"
)

// Errors of reading a request.
var (
	// ErrTooLarge is returned if the body is over the limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrSyntax is returned if the body is not the expected JSON.
	ErrSyntax = errors.New("body is not valid")
)

// Defaults of Server.
const (
	// DefaultMaxBodyBytes is the default for the largest request body.
	DefaultMaxBodyBytes = 1 << 20
	// fallbackMaxBodyBytes is the largest body if Limits sets none. The connection
	// of a caller that sends more is closed.
	fallbackMaxBodyBytes = 8 << 20
	defaultMaxConns      = 10000
	// readLimitBytes is the library's own limit on an incomplete request. If it
	// is below the largest body, the library resets connections whose body
	// arrives in pieces.
	readLimitBytes = 2 * fallbackMaxBodyBytes
	// noTimeout disables the library's time limit on idle connections, which it also
	// applies while a request is handled. Its limit on writes begins when a request has been
	// read, so it would end requests that take longer. Limits apply instead.
	noTimeout = 100 * 365 * 24 * time.Hour
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
	// maxHandlers bounds the handlers that run concurrently.
	maxHandlers = 8192
	// defaultPollers is how many event loops read connections: one more than
	// small hosts have cores, so that one large request delays only some of them.
	defaultPollers = 2
)

// Server serves a handler on one address. The context of a request ends when its
// caller closes the connection. Fields must be set before Start.
type Server struct {
	// Address is the IP and port to listen on; with port 0 the system chooses one.
	Address string
	Handler http.Handler
	// MaxConns limits the open connections; 0 means defaultMaxConns.
	MaxConns int
	// Limits apply until SetLimits replaces them.
	Limits Limits
	// Memory bounds the bytes of all requests that are read or handled, and of all answers
	// that callers have not taken yet. Servers may share it; nil sets quota.DefaultLimit.
	Memory *quota.Bytes
	// OnRejected is called for each request that does not reach the handler, since it is
	// outside the limits or follows another one while the server closes; it may be nil.
	OnRejected func(remote string, status int)
	// Log gets a line for each connection that could not be accepted, at most one in
	// acceptRetryDelay, and for each that is closed because its caller does not read its
	// answer. The zero value discards them.
	Log zerolog.Logger

	engine   *nbhttp.Engine
	addr     net.Addr
	listener net.Listener
	refusing atomic.Bool // listener is closed
	// acceptedAt is when the last connection was accepted, as a time.Duration since startedAt.
	acceptedAt atomic.Int64
	startedAt  time.Time
	loops      evloop.Loops
	waiting    atomic.Int32 // accepted connections that the engine does not have yet
	conns      conns
	limits     atomic.Pointer[Limits]
	buffers    sync.Pool
	// unread has the remote addresses of connections that were closed because their callers did
	// not read, for the log.
	unread chan string
	// pollers is how many event loops read connections; 0 takes the default.
	pollers int
	stop    chan struct{}
	workers sync.WaitGroup // accept and sweep
}

// Start listens and serves. It opens the socket before it starts the engine: an
// engine that finds its address in use stops itself before its event loops run
// and then never returns, so the daemon would neither run nor fail.
func (s *Server) Start() error {
	s.SetLimits(s.Limits)
	if s.Memory == nil {
		s.Memory = &quota.Bytes{}
	}
	s.conns.memory = s.Memory
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	s.listener, s.addr, s.startedAt = ln, ln.Addr(), time.Now()
	pollers := cmp.Or(s.pollers, defaultPollers)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "httpd", MaxLoad: s.maxConns(), MaxHTTPBodySize: readLimitBytes, ReadLimit: readLimitBytes,
		KeepaliveTime: noTimeout, NPoller: pollers,
		MessageHandlerPoolSize: maxHandlers, BodyAllocator: netio.NewBodyAllocator(),
		Handler: http.HandlerFunc(s.serve),
		// Called when the request has been read, before its handler is scheduled.
		OnRequest: func(w http.ResponseWriter, _ *http.Request) { s.conns.recordRequestRead(connOf(w)) },
	})
	s.engine.OnRead(s.onReadable)
	s.engine.OnOpen(s.conns.add)
	// Called once the connection has a parser, and before its first event.
	s.engine.Engine.OnOpen(s.opened)
	s.engine.OnWrittenSize(recordSent)
	s.engine.OnClose(func(c net.Conn, _ error) { s.logLoss(s.conns.remove(c)) })
	if err := s.engine.Start(); err != nil {
		return errors.Wrapf(err, "serve on %s", s.Address)
	}
	if err := s.loops.Open(s.engine.Engine, pollers); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "serve on %s", s.Address), ln.Close())
	}
	s.stop = make(chan struct{})
	s.unread = make(chan string, maxUnreadLogged)
	s.workers.Go(s.accept)
	s.workers.Go(s.sweep)
	return nil
}

// maxConns returns the limit on open connections.
func (s *Server) maxConns() int { return cmp.Or(s.MaxConns, defaultMaxConns) }

// SetLimits replaces the limits, also for open connections.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.limits.Store(&l)
}

// BodyLimit returns the current limit on request bodies, in bytes.
func (s *Server) BodyLimit() int { return s.limits.Load().MaxBodyBytes }

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	for {
		s.loops.Prepare()
		conn, err := s.listener.Accept()
		if err == nil {
			s.acceptedAt.Store(int64(time.Since(s.startedAt)))
			err = s.addConn(conn)
		}
		if err == nil {
			continue
		}
		if s.refusing.Load() {
			return
		}
		s.Log.Warn().Err(err).Str("address", s.Addr()).Msg("accept-failed")
		s.loops.Release(err)
		time.Sleep(acceptRetryDelay)
	}
}

// addConn adds a connection to the engine, or closes it if there are too many.
func (s *Server) addConn(conn net.Conn) error {
	if s.Conns() >= s.maxConns() {
		_ = conn.Close()
		return nil
	}
	s.waiting.Add(1)
	err := s.loops.Add(conn, func(c *nbio.Conn) {
		defer s.waiting.Add(-1) // conns counts it by then
		s.conns.beginAdd(c)
		defer s.conns.endAdd(c)
		s.engine.AddConnNonTLSNonBlocking(&nbhttp.Conn{Conn: c}, nil, func() {})
	})
	if err != nil {
		s.waiting.Add(-1)
	}
	return err
}

// maxUnreadLogged is how many lines about callers that don't read may wait for the log.
const maxUnreadLogged = 64

// sweep applies the time limits to all connections every sweepInterval, until Close. It also
// writes the log for the event loops, which must not wait for that.
func (s *Server) sweep() {
	ticks := time.NewTicker(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-s.stop:
			return
		case remote := <-s.unread:
			s.Log.Warn().Str("remote", remote).Msg("answer-unread")
		case now := <-ticks.C:
			limits := *s.limits.Load()
			for _, conn := range s.conns.sweep(limits, now) {
				if c, ok := conn.(*nbio.Conn); ok {
					s.loops.Call(c, func() { s.end(c, limits, now) })
				}
			}
		}
	}
}

// end ends a connection in its event loop if a time limit still says so.
func (s *Server) end(c *nbio.Conn, l Limits, now time.Time) {
	action, cause := s.conns.end(c, l, now)
	switch action {
	case closeConn:
		_ = c.Close() // fails only if the caller closed it first
		if cause == causeUnread {
			select {
			case s.unread <- c.RemoteAddr().String():
			default: // the log is too slow
			}
		}
	case rejectTimedOut:
		s.reject(c, http.StatusRequestTimeout)
	case keepOpen:
	}
}

// inLoops has every event loop call f for the connections that it owns, and returns a function
// that waits for that.
func (s *Server) inLoops(f func(owns func(net.Conn) bool)) (wait func()) {
	return s.loops.Each(func(owns func(*nbio.Conn) bool) {
		f(func(conn net.Conn) bool {
			c, ok := conn.(*nbio.Conn)
			return ok && owns(c)
		})
	})
}

// readBufferBytes is the size of one read from a connection.
const readBufferBytes = 32 << 10

// onReadable reads the available bytes of a connection in its event loop. It
// detects the end of the connection itself, because the library reports the end
// only after the requests that were read have been handled, too late to cancel
// their work. After a pause of the host, requests and the ends of their
// connections are found together; these requests are not handled.
func (s *Server) onReadable(c *nbio.Conn) {
	if evloop.HandleWake(c) {
		return
	}
	buf := s.getBuffer()
	defer s.buffers.Put(buf)
	for {
		n, closed := readAvailable(c, *buf)
		if closed {
			s.conns.recordPeerClosed(c)
			_ = c.CloseWithError(io.EOF) // the caller has closed it
			return
		}
		if n > 0 && s.recordBytes(c, (*buf)[:n]) {
			c.DataHandler()(c, (*buf)[:n])
			if caller := callerOf(c); caller != nil && caller.head.begun {
				s.conns.recordBegun(c)
			}
		}
		if n < len(*buf) {
			return
		}
	}
}

// readAvailable reads until no bytes are left or the buffer is full, and reports
// whether the connection has ended.
func readAvailable(c *nbio.Conn, buf []byte) (n int, closed bool) {
	for n < len(buf) {
		read, err := c.Read(buf[n:])
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return n, false
		case err != nil || read == 0:
			return n, true
		default:
			n += read
		}
	}
	return n, false
}

// getBuffer returns a buffer of readBufferBytes from the pool, or a new one.
func (s *Server) getBuffer() *[]byte {
	if b, ok := s.buffers.Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, readBufferBytes)
	return &b
}

// recordBytes records bytes of a request and reports whether to parse them. If they
// make the request too large, it rejects the request.
func (s *Server) recordBytes(conn *nbio.Conn, data []byte) bool {
	status, accepted := s.conns.recordBytes(conn, data, *s.limits.Load())
	if status != 0 {
		s.reject(conn, status)
	}
	return accepted
}

// reject reports an incomplete request as rejected and answers it with an error status, once
// the former requests on its connection have their answers: the caller would take the status
// for theirs, and it promises that a request has not run.
func (s *Server) reject(conn *nbio.Conn, status int) {
	s.reportRejected(conn.RemoteAddr().String(), status)
	conn.Execute(func() {
		if caller := callerOf(conn); caller != nil {
			_, _ = caller.Write(errorResponse(status)) // the caller may have disconnected
		}
		s.conns.recordRejected(conn)
	})
}

// reportRejected calls OnRejected, if it is set.
func (s *Server) reportRejected(remote string, status int) {
	if s.OnRejected != nil {
		s.OnRejected(remote, status)
	}
}

// connOf returns the engine's connection that an answer is for.
func connOf(w http.ResponseWriter) net.Conn {
	return netConn(w.(*nbhttp.Response).Parser.Conn.(*nbhttp.Conn).Conn)
}

// serve handles one request: it enforces the limits and calls the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	conn := connOf(w)
	defer s.afterAnswer(conn, func() { s.logLoss(s.conns.recordAnswered(conn)) })
	defer s.conns.recordHandled(conn)
	if status := s.limits.Load().checkRequest(r); status != 0 {
		s.reportRejected(r.RemoteAddr, status)
		w.Header().Set("Connection", "close")
		http.Error(w, http.StatusText(status), status)
		return
	}
	r, cancel := s.conns.withCancel(r, conn)
	defer cancel()
	if s.refusing.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.conns.isEnding(conn) {
		s.reportRejected(r.RemoteAddr, http.StatusServiceUnavailable)
		SetRetryAfter(w, 0)
		http.Error(w, "not run: the host ends", http.StatusServiceUnavailable)
		return
	}
	s.Handler.ServeHTTP(w, r)
}

// afterAnswer calls f once the library has written the answer of the handler that is about to
// return, or at once if the connection is closed.
func (s *Server) afterAnswer(conn net.Conn, f func()) {
	if c, ok := conn.(*nbio.Conn); !ok || !c.Execute(f) {
		f()
	}
}

// Addr returns the address that the server listens on, or Address before Start.
func (s *Server) Addr() string {
	if s.addr == nil {
		return s.Address
	}
	return s.addr.String()
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	waiting := int(s.waiting.Load()) // read first: connections go from waiting to conns
	return waiting + s.conns.count()
}

// StopListening refuses new connections from now on. Close does so too.
func (s *Server) StopListening() error {
	if s.listener == nil || s.refusing.Swap(true) {
		return nil
	}
	return errors.Wrapf(s.listener.Close(), "stop listening on %s", s.Address)
}

// CloseIdle closes the connections that have had no request for idleGrace, nor a part of one,
// and does not wait for that. A request that is sent while the connection is closed was not
// read, and its caller may send it again.
func (s *Server) CloseIdle() { s.inLoops(s.conns.closeIdle) }

const closePollInterval = 5 * time.Millisecond

// Close stops listening and waits until the requests that were read are answered and, for
// closeLinger each, until callers have taken their answers. It rejects requests that follow on
// the same connections, and stops the server.
func (s *Server) Close() error {
	if s.stop == nil {
		return nil
	}
	err := s.StopListening()
	close(s.stop)
	s.workers.Wait()
	for since := time.Now(); s.Conns() > 0; time.Sleep(closePollInterval) {
		s.inLoops(func(owns func(net.Conn) bool) { s.conns.closeUnused(owns, since) })()
		if s.waiting.Load() == 0 && s.conns.mayEnd(since) {
			break
		}
	}
	s.loops.Close()
	s.conns.markAllClosed(causeStop)
	s.engine.Stop()
	return err
}

// ReadJSON decodes a whole body into v. It returns ErrTooLarge for a body over the limit
// (in bytes), and an error marked with ErrSyntax for one that is not a single JSON value.
// It rejects unknown fields, since a misspelt field would otherwise be ignored without an
// error.
func ReadJSON(r *http.Request, limit int64, v any) error {
	if r.ContentLength > limit {
		return ErrTooLarge
	}
	body := io.Reader(http.NoBody)
	if r.Body != nil {
		body = r.Body
	}
	d := json.NewDecoder(io.LimitReader(body, limit+1))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Mark(err, ErrSyntax)
	}
	if d.InputOffset() > limit {
		return ErrTooLarge
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.Mark(errors.New("more than one JSON value"), ErrSyntax)
	}
	return nil
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may have disconnected
}

// SetRetryAfter sets the Retry-After header, rounded up to whole seconds as HTTP
// requires and to at least one.
func SetRetryAfter(w http.ResponseWriter, wait clock.Milli) {
	seconds := max(1, (wait+clock.Second-1)/clock.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// Status is the body of the answer to a readiness check.
type Status struct {
	Status string `json:"status"`
}

// WriteReady answers a readiness check with 200, or with 503 if the program is not ready.
func WriteReady(w http.ResponseWriter, ready bool) {
	if ready {
		WriteJSON(w, http.StatusOK, Status{Status: "ready"})
		return
	}
	WriteJSON(w, http.StatusServiceUnavailable, Status{Status: "not-ready"})
}
