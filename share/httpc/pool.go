package httpc

import (
	"context"
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
	"dandelionstile/share/fetch"
	"dandelionstile/share/router"
)

// dialTimeout bounds the opening of a connection. It covers several cross-region
// round trips of 2 x 40 ms. A leaf that has not accepted by then is not listening, or
// its accept queue is full and the kernel sends the next SYN only after 1 s.
const dialTimeout = 400 * time.Millisecond

// Pool holds the connections to all leaves. Send and Cancel do not block; each
// call ends with one call of OnDone.
type Pool struct {
	Dialect Dialect
	// Source is the local IP of connections; empty lets the operating system
	// choose.
	Source string
	Clock  clock.Clock
	// OnDone receives the result of a call, OnProbed that of a probe, and OnConnRefused
	// the refusal of a connection check. They are called from any goroutine.
	OnDone        func(router.Done)
	OnProbed      func(router.ProbeResult)
	OnConnRefused func(router.ConnRefused)

	mu   sync.Mutex
	idle map[string][]*conn // by leaf, or by address of another host
	// opening counts the connections being opened ahead of use, by address.
	opening map[string]int
	calls   map[uint64]*activeCall
	closed  bool
	wait    sync.WaitGroup
}

// activeCall is a call in flight.
type activeCall struct{ cancel context.CancelFunc }

// Send starts a call.
func (p *Pool) Send(s router.Send) { p.start(s, p.newRequest(s)) }

func (p *Pool) start(s router.Send, q *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		cancel()
		return
	}
	if p.calls == nil {
		p.calls = map[uint64]*activeCall{}
	}
	p.calls[s.Call] = &activeCall{cancel: cancel}
	p.wait.Go(func() { p.run(ctx, s, q) })
}

// Forward sends a request to another host. Like Send, it ends with one call of OnDone.
func (p *Pool) Forward(r router.Forward) {
	s := router.Send{Call: r.Call, Request: r.Request, Leaf: r.Address, Address: r.Address, Timeout: r.Timeout}
	q := p.newRequest(s)
	delete(q.Header, p.Dialect.ExpectLeaf)
	q.Header[HeaderForwardTarget] = []string{strconv.FormatInt(int64(r.Target), 10)}
	q.Header[HeaderForwardShards] = []string{strings.Join(r.Shards, ",")}
	q.Header[HeaderForwardVersion] = []string{strconv.FormatUint(r.Version, 10)}
	if r.Late {
		q.Header[HeaderForwardLate] = []string{"1"}
	}
	p.start(s, q)
	p.Preconnect(r.Address)
}

// maxSpareConns bounds the idle connections opened ahead to another host.
const maxSpareConns = 2

// Preconnect opens a connection to another host if few are idle, which saves the
// next forwarded request a round trip.
func (p *Pool) Preconnect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address])+p.opening[address] >= maxSpareConns {
		return
	}
	if p.opening == nil {
		p.opening = map[string]int{}
	}
	p.opening[address]++
	p.wait.Go(func() {
		n, err := p.dial(context.Background(), address)
		p.mu.Lock()
		p.opening[address]--
		p.mu.Unlock()
		if err == nil {
			p.putIdle(address, newConn(n, &p.Dialect), 0)
		}
		// An unreachable host is detected by the next request.
	})
}

// probeTimeout bounds a probe. A leaf whose health check waits for a slot longer
// than this has no capacity for requests either.
const probeTimeout = 800 * time.Millisecond

// Probe checks a leaf's health over a new connection, which proves that the leaf
// accepts connections.
func (p *Pool) Probe(a router.Probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		p.OnProbed(router.ProbeResult{Leaf: a.Leaf, Healthy: p.healthy(ctx, a)})
	})
}

// CheckConn opens and closes a connection to a leaf to find out whether its address
// still listens. Only a refused connection is reported: a timeout may be due to the
// network.
func (p *Pool) CheckConn(k router.CheckConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.wait.Go(func() {
		n, err := p.dial(context.Background(), k.Address)
		if err == nil {
			_ = n.Close() // nothing was sent
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.OnConnRefused(router.ConnRefused{Leaf: k.Leaf})
		}
	})
}

// healthy reports whether the expected leaf, not another one at its address,
// replies that it is healthy. Any other reply counts as unhealthy.
func (p *Pool) healthy(ctx context.Context, a router.Probe) bool {
	n, err := p.dial(ctx, a.Address)
	if err != nil {
		return false
	}
	c := newConn(n, &p.Dialect)
	defer c.close()
	h := http.Header{"Connection": {"close"}}
	j := &job{request: &http.Request{Method: http.MethodGet, Host: a.Address, Header: h}, unsigned: true, done: make(chan result, 1)}
	if !c.begin(j) || c.write(j.request, a.Path, nil) != nil {
		return false
	}
	select {
	case r := <-j.done:
		return r.err == nil && r.reply.Successful() && r.reply.Header.Get(p.Dialect.LeafID) == a.Leaf
	case <-ctx.Done():
		return false
	}
}

// Cancel aborts a call by closing its connection, which signals the leaf to stop
// the work.
func (p *Pool) Cancel(id uint64) {
	p.mu.Lock()
	f := p.calls[id]
	p.mu.Unlock()
	if f != nil {
		f.cancel()
	}
}

// Forget closes the idle connections to a removed leaf.
func (p *Pool) Forget(leaf string) {
	p.mu.Lock()
	list := p.idle[leaf]
	delete(p.idle, leaf)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Close cancels all calls, closes all connections and waits for them to end.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, f := range p.calls {
		f.cancel()
	}
	lists := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, list := range lists {
		for _, c := range list {
			c.close()
			<-c.ended
		}
	}
	p.wait.Wait()
	return nil
}

func (p *Pool) run(ctx context.Context, s router.Send, q *http.Request) {
	done := p.call(ctx, s, q)
	done.Call = s.Call
	p.mu.Lock()
	f := p.calls[s.Call]
	delete(p.calls, s.Call)
	closed := p.closed
	p.mu.Unlock()
	if f != nil {
		f.cancel()
	}
	if !closed {
		p.OnDone(done)
	}
}

// call makes one call over an idle or a new connection.
func (p *Pool) call(ctx context.Context, s router.Send, q *http.Request) router.Done {
	j := &job{request: q, unsigned: isForwarded(q), done: make(chan result, 1)}
	c := p.takeIdle(s.Leaf, j)
	if c == nil {
		began := p.Clock.Now()
		n, err := p.dial(ctx, s.Address)
		if err != nil {
			return dialFailure(ctx, err)
		}
		c = newConn(n, &p.Dialect)
		if s.Watch && c.awaitReset((p.Clock.Now() - began).Duration()) {
			return router.Done{Kind: call.Full, Cause: "the leaf ended a new connection"}
		}
		if !c.begin(j) {
			return router.Done{Kind: call.NotSent, Cause: ErrIdleClosed.Error()}
		}
	}
	return p.exchange(ctx, c, j, s)
}

// dialFailure classifies a failed dial.
func dialFailure(ctx context.Context, err error) router.Done {
	switch {
	case ctx.Err() != nil:
		return router.Done{Kind: call.Withdrawn, Cause: "given up"}
	case errors.Is(err, syscall.ECONNRESET):
		return router.Done{Kind: call.Full, Cause: shortError(err)}
	}
	return router.Done{Kind: call.NotSent, Cause: shortError(err)}
}

// isForwarded reports whether a request goes to another host.
func isForwarded(q *http.Request) bool { return len(q.Header[HeaderForwardTarget]) > 0 }

// exchange sends the request and waits for the result of the call.
func (p *Pool) exchange(ctx context.Context, c *conn, j *job, s router.Send) router.Done {
	// The reply may arrive before the whole body is written. The leaf then keeps
	// reading, and the connection is not reused unless the body was written.
	written := make(chan error, 1)
	if len(s.Request.Body) > inlineBodyBytes {
		go func() { written <- c.write(j.request, s.Request.Target, s.Request.Body) }()
	} else {
		written <- c.write(j.request, s.Request.Target, s.Request.Body)
	}
	select {
	case r := <-j.done:
		return p.finish(c, s.Leaf, j, r, written)
	case <-ctx.Done():
		c.close()
		return router.Done{Kind: call.Cancelled, Cause: "given up"}
	}
}

// inlineBodyBytes is the largest body written without a separate goroutine: with
// its headers it fits any socket's send buffer.
const inlineBodyBytes = 4 << 10

func (p *Pool) finish(c *conn, leaf string, j *job, r result, written chan error) router.Done {
	if r.err != nil {
		c.close()
		return router.Done{Kind: call.Broken, Cause: shortError(r.err)}
	}
	keep := r.keep
	select {
	case err := <-written:
		keep = keep && err == nil
	default:
		keep = false // the body is not fully written
	}
	if keep {
		p.putIdle(leaf, c, r.idle)
	} else {
		c.close()
	}
	done := p.classify(r.reply)
	if isForwarded(j.request) {
		done.Refusal = router.ParseRefusal(r.reply.Header.Get(p.Dialect.NotRun))
	}
	if done.Kind == call.Answered && isForwarded(j.request) {
		p.readMergedHeaders(&done)
	}
	return done
}

// classify distinguishes a leaf's rejection from an answer.
func (p *Pool) classify(r *call.Reply) router.Done {
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		return router.Done{Kind: call.Foreign, Cause: "another leaf has the address"}
	case r.Header.Get(p.Dialect.NotRun) != "":
		return router.Done{Kind: call.Shed, Cause: "turned down: " + strconv.Itoa(r.Status) + " " + r.Header.Get(p.Dialect.NotRun)}
	}
	return router.Done{Kind: call.Answered, Reply: r}
}

// readMergedHeaders reads the headers of another host's merged answer.
func (p *Pool) readMergedHeaders(d *router.Done) {
	ms, err := strconv.ParseInt(d.Reply.Header.Get(HeaderForwardProcessingTime), 10, 64)
	if err == nil {
		d.ProcessingTime = clock.Milli(ms)
	}
	// An unreadable time counts as absent: the round trip is then not measured.
	r := d.Reply
	r.Stamp = r.Header.Get(p.Dialect.PartStamps)
	if list := r.Header.Get(HeaderForwardMissing); list != "" {
		r.Missing = strings.Split(list, ",")
	}
}

// newRequest builds the request to a leaf: the caller's headers without those of
// its connection, and the tier's own.
func (p *Pool) newRequest(s router.Send) *http.Request {
	h := make(http.Header, len(s.Request.Header)+2)
	for name, values := range s.Request.Header {
		h[name] = values
	}
	h[p.Dialect.RequestID] = []string{s.Request.ID}
	h[p.Dialect.Deadline] = []string{strconv.FormatInt(int64(s.Timeout), 10)}
	h[p.Dialect.ExpectLeaf] = []string{s.Leaf}
	if len(s.Request.Body) > 0 || expectsBody(s.Request.Method) {
		h["Content-Length"] = []string{strconv.Itoa(len(s.Request.Body))}
	}
	return &http.Request{Method: s.Request.Method, Host: s.Request.Host, Header: h}
}

// expectsBody reports whether a method has a body by definition, so that its length
// is sent even when it is 0.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: setSocketOptions, KeepAlive: -1, LocalAddr: fetch.SourceAddr(p.Source)}
	return d.DialContext(ctx, "tcp", address)
}

// takeIdle assigns a call to the most recently used idle connection; the others
// may reach their idle timeout and be closed.
func (p *Pool) takeIdle(leaf string, j *job) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	list := p.idle[leaf]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[leaf] = list
		if c.alive(now) && c.begin(j) {
			return c
		}
		c.close()
	}
	return nil
}

func (p *Pool) putIdle(leaf string, c *conn, idle clock.Milli) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.mu.Lock()
	c.usableUntil = 0
	if idle > 0 {
		c.usableUntil = p.Clock.Now() + max(idle-idleMargin, idle/2)
	}
	c.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[leaf] = append(p.idle[leaf], c)
}

// shortError returns an error's text without the addresses, which are separate
// fields of the log line.
func shortError(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}
