// Package httpd serves HTTP by nbhttp, with limits on bodies, headers,
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

	"dandelionstile/share/clock"
	"dandelionstile/share/evloop"
	_ "dandelionstile/share/netio" // sets up the library
)

// Errors of reading a request.
var (
	// ErrTooLarge: the body is over the limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrSyntax: the body is not the JSON that was expected.
	ErrSyntax = errors.New("body is not valid")
)

// Defaults of Server.
const (
	// DefaultMaxBodyBytes is the largest request body, in bytes.
	DefaultMaxBodyBytes = 1 << 20
	// hardBody is where the connection is cut instead of answered.
	hardBody     = 8 << 20
	defaultConns = 10000
	// readLimit is what the library keeps of a request that is not whole. Below
	// the largest body it resets the connections of callers whose body comes in
	// pieces.
	readLimit = 2 * hardBody
	// longestIdle is the library's own limit, beyond any of Limits.
	longestIdle   = 10 * time.Minute
	writeTimeout  = 10 * time.Second
	handlersAtAll = 8192
	// defaultPollers is how many event loops read connections: one more than
	// the small hosts have cores, so that one large request holds up only some.
	defaultPollers = 2
)

// Server serves a handler on one address. The context of a request ends when its
// caller closes the connection. Fields are set before Start.
type Server struct {
	// Address is the IP and port to listen on; port 0 picks one.
	Address  string
	Handler  http.Handler
	MaxConns int
	// Limits are in force until SetLimits replaces them.
	Limits Limits
	// OnRejected is told of each request outside the limits, which its handler does
	// not see; it may be nil.
	OnRejected func(remote string, status int)

	engine  *nbhttp.Engine
	addr    net.Addr
	accept  *evloop.Listener
	loops   evloop.Prober
	active  sync.WaitGroup
	conns   conns
	limits  atomic.Pointer[Limits]
	buffers sync.Pool
	// pollers is how many event loops read connections; 0 takes the default.
	pollers int
	stop    chan struct{}
	swept   chan struct{}
}

// Start listens and serves. The socket is opened before the engine starts: an
// engine that finds its address in use stops itself before its event loops have
// begun, and then never returns, so a daemon would neither run nor fail.
func (s *Server) Start() error {
	conns := s.MaxConns
	if conns == 0 {
		conns = defaultConns
	}
	s.SetLimits(s.Limits)
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	s.addr = ln.Addr()
	s.accept = evloop.NewListener(ln)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "httpd", Network: "tcp", Addrs: []string{s.addr.String()},
		MaxLoad: conns, MaxHTTPBodySize: readLimit, ReadLimit: readLimit,
		KeepaliveTime: longestIdle, WriteTimeout: writeTimeout, NPoller: cmp.Or(s.pollers, defaultPollers), NListener: 1,
		MessageHandlerPoolSize: handlersAtAll,
		Handler:                http.HandlerFunc(s.serve),
		// Called where the request is read, before its handler has a turn.
		OnRequest: func(_ http.ResponseWriter, r *http.Request) { s.conns.take(r.RemoteAddr) },
		Listen:    func(string, string) (net.Listener, error) { return s.accept, nil },
	})
	s.engine.OnRead(s.readable)
	s.engine.OnOpen(s.conns.opened)
	s.engine.OnClose(func(c net.Conn, _ error) { s.conns.closed(c) })
	if err := s.engine.Start(); err != nil {
		return errors.Wrapf(err, "serve on %s", s.Address)
	}
	s.stop, s.swept = make(chan struct{}), make(chan struct{})
	go s.sweep()
	return nil
}

// SetLimits puts other limits in force, for connections that are open too.
func (s *Server) SetLimits(l Limits) {
	l = l.filled()
	s.limits.Store(&l)
}

// BodyLimit is the largest body in force, in bytes.
func (s *Server) BodyLimit() int { return s.limits.Load().MaxBodyBytes }

func (s *Server) sweep() {
	defer close(s.swept)
	ticks := time.NewTicker(sweepEvery)
	defer ticks.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticks.C:
			for _, conn := range s.conns.sweep(*s.limits.Load(), now) {
				s.refuse(conn, http.StatusRequestTimeout)
			}
		}
	}
}

// readSize is how many bytes are read of a connection at once.
const readSize = 32 << 10

// readable reads what a connection has, in its event loop. The library tells of
// a connection's end only once the requests that were read on it have been
// handled, which is too late to stop the work for a caller that has left: the
// end is seen here. A host that stood still finds requests and the ends of their
// connections together; nothing is done for those.
func (s *Server) readable(c *nbio.Conn) {
	if s.loops.HandleProbe(c) {
		return
	}
	buf := s.buffer()
	defer s.buffers.Put(buf)
	for {
		n, ended := fill(c, *buf)
		if ended {
			s.conns.left(c)
			_ = c.CloseWithError(io.EOF) // it has ended already
			return
		}
		if n > 0 && s.read(c, n) {
			c.DataHandler()(c, (*buf)[:n])
		}
		if n < len(*buf) {
			return
		}
	}
}

// fill reads until nothing is left or the buffer is full, and tells whether the
// connection has ended.
func fill(c *nbio.Conn, buf []byte) (n int, ended bool) {
	for n < len(buf) {
		got, err := c.Read(buf[n:])
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return n, false
		case err != nil || got == 0:
			return n, true
		default:
			n += got
		}
	}
	return n, false
}

func (s *Server) buffer() *[]byte {
	if b, ok := s.buffers.Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, readSize)
	return &b
}

// read takes bytes into account and tells whether they are to be read.
func (s *Server) read(conn net.Conn, n int) bool {
	status, read := s.conns.heard(conn.RemoteAddr().String(), n, *s.limits.Load())
	if status != 0 {
		s.refuse(conn, status)
	}
	return read
}

// refuse answers a request that is not whole.
func (s *Server) refuse(conn net.Conn, status int) {
	s.tell(conn.RemoteAddr().String(), status)
	_, _ = conn.Write(bareAnswer(status)) // a caller that is gone is no fault of ours
}

func (s *Server) tell(remote string, status int) {
	if s.OnRejected != nil {
		s.OnRejected(remote, status)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Done()
	defer s.conns.release(r.RemoteAddr)
	if status := s.limits.Load().refusal(r); status != 0 {
		s.tell(r.RemoteAddr, status)
		w.Header().Set("Connection", "close")
		http.Error(w, http.StatusText(status), status)
		return
	}
	r, cancel := s.conns.handle(r)
	defer cancel()
	s.Handler.ServeHTTP(w, r)
}

// Addr is the address in use.
func (s *Server) Addr() string {
	if s.addr == nil {
		return s.Address
	}
	return s.addr.String()
}

// CloseIdle closes the connections on which no request is under way. A request
// that crosses the close was not taken, and its caller may send it again.
func (s *Server) CloseIdle() { s.conns.closeIdle() }

// Close waits for the requests in flight and stops. No request may arrive any
// more, or it is cut.
func (s *Server) Close() error {
	if s.engine == nil {
		return nil
	}
	if s.stop != nil {
		close(s.stop)
		<-s.swept
	}
	s.active.Wait()
	<-s.accept.Accepting()
	if err := s.loops.AwaitLoops(s.engine.Engine, cmp.Or(s.pollers, defaultPollers)); err != nil {
		return errors.Wrapf(err, "stop serving on %s", s.Address)
	}
	s.engine.Stop()
	return nil
}

// ReadJSON reads a whole body into v. Unknown fields are faults: a misspelt
// field would otherwise be ignored in silence.
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

// WriteJSON answers with v.
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
	_, _ = w.Write(body) // a caller that is gone is no fault of ours
}

// SetRetryAfter sets the header that says when to come back, in whole seconds as
// HTTP has it, and at least one.
func SetRetryAfter(w http.ResponseWriter, wait clock.Milli) {
	seconds := max(1, (wait+clock.Second-1)/clock.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// Status is the body of health checks.
type Status struct {
	Status string `json:"status"`
}

// WriteReady answers a readiness check.
func WriteReady(w http.ResponseWriter, ready bool) {
	if ready {
		WriteJSON(w, http.StatusOK, Status{Status: "ready"})
		return
	}
	WriteJSON(w, http.StatusServiceUnavailable, Status{Status: "not-ready"})
}
