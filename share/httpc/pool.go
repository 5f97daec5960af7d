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
	"dandelionstile/share/httpd"
	"dandelionstile/share/quota"
	"dandelionstile/share/router"
)

// dialTimeout bounds the opening of a connection. It covers several cross-region
// round trips of 2 x 40 ms. A leaf that has not accepted by then is not listening, or
// its accept queue is full and the kernel sends the next SYN only after 1 s.
const dialTimeout = 400 * time.Millisecond

// Pool holds the connections to leaves and other hosts. Send, Forward and Cancel do not
// block. Each call ends with one call of OnDone, unless the pool is closed before.
type Pool struct {
	Dialect Dialect
	// Source is the local IP of connections; empty lets the operating system
	// choose.
	Source string
	Clock  clock.Clock
	// Memory bounds the memory of all replies together.
	Memory quota.Bytes
	// OnDone receives the result of a call, OnProbed that of a probe, and OnConnRefused
	// the refusal of a connection check. They are called from any goroutine.
	OnDone        func(router.CallDone)
	OnProbed      func(router.ProbeResult)
	OnConnRefused func(router.ConnRefused)

	mu   sync.Mutex
	idle map[string][]*conn // by leaf, or by address of another host
	// opening counts the connections being opened ahead of use, by address.
	opening map[string]int
	calls   map[uint64]*activeCall
	closed  bool
	wait    sync.WaitGroup
	// ctx is for work that belongs to no call; Close cancels it. It is nil until the first
	// such work.
	ctx    context.Context
	cancel context.CancelFunc
}

// activeCall is a call in flight.
type activeCall struct {
	leaf   string // the leaf, or the address of another host
	cancel context.CancelFunc
	// sent is set before the request is sent; a call that was cancelled by then sends none.
	sent bool
	// forgotten is set when the leaf gets no more requests.
	forgotten bool
}

// Send starts a call to a leaf.
func (p *Pool) Send(send router.Send) { p.start(send, p.newRequest(send)) }

// start starts a call unless the pool is closed.
func (p *Pool) start(send router.Send, request *http.Request) {
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
	p.calls[send.Call] = &activeCall{leaf: send.Leaf, cancel: cancel}
	p.wait.Go(func() { p.run(ctx, send, request) })
}

// Forward sends a request to another host. Like Send, it ends with one call of OnDone.
// It also opens a spare connection for the next forwarded request if few are idle.
func (p *Pool) Forward(forward router.Forward) {
	send := router.Send{Call: forward.Call, Request: forward.Request, Leaf: forward.Address, Address: forward.Address, Timeout: forward.Timeout}
	request := p.newRequest(send)
	delete(request.Header, p.Dialect.ExpectLeaf) // the receiver is not a leaf
	request.Header[HeaderForwardTarget] = []string{strconv.FormatInt(int64(forward.Target), 10)}
	request.Header[HeaderForwardShards] = []string{strings.Join(forward.Shards, ",")}
	request.Header[HeaderForwardVersion] = []string{strconv.FormatUint(forward.Version, 10)}
	if forward.Late {
		request.Header[HeaderForwardLate] = []string{"1"}
	}
	p.start(send, request)
	p.Preconnect(forward.Address)
}

// maxSpareConns bounds the idle connections opened ahead to another host.
const maxSpareConns = 2

// hostIdleTimeout is when another host closes an idle connection. Its replies do not say so.
const hostIdleTimeout = clock.Milli(httpd.DefaultIdleTimeout / time.Millisecond)

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
	p.startWork(func(ctx context.Context) {
		netConn, err := p.dial(ctx, address)
		p.mu.Lock()
		p.opening[address]--
		p.mu.Unlock()
		if err == nil {
			p.putIdle(address, newConn(netConn, &p.Dialect, &p.Memory), hostIdleTimeout)
		}
		// An unreachable host is detected by the next request.
	})
}

// probeTimeout bounds a probe. A leaf whose health check waits for a slot longer
// than this has no capacity for requests either.
const probeTimeout = 800 * time.Millisecond

// Probe checks a leaf's health over a new connection, which proves that the leaf
// accepts connections.
func (p *Pool) Probe(probe router.Probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.startWork(func(closing context.Context) {
		ctx, cancel := context.WithTimeout(closing, probeTimeout)
		defer cancel()
		healthy := p.healthy(ctx, probe)
		if closing.Err() == nil {
			p.OnProbed(router.ProbeResult{Leaf: probe.Leaf, Healthy: healthy})
		}
	})
}

// CheckConn opens and closes a connection to a leaf to find out whether its address
// still listens. Only a refused connection is reported: a timeout may be due to the
// network.
func (p *Pool) CheckConn(check router.CheckConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.startWork(func(ctx context.Context) {
		netConn, err := p.dial(ctx, check.Address)
		if err == nil {
			_ = netConn.Close() // nothing was sent
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.OnConnRefused(router.ConnRefused{Leaf: check.Leaf})
		}
	})
}

// healthy reports whether the expected leaf, not another one at its address,
// replies that it is healthy. Any other reply counts as unhealthy.
func (p *Pool) healthy(ctx context.Context, probe router.Probe) bool {
	netConn, err := p.dial(ctx, probe.Address)
	if err != nil {
		return false
	}
	c := newConn(netConn, &p.Dialect, &p.Memory)
	defer c.close()
	h := http.Header{"Connection": {"close"}}
	j := &job{request: &http.Request{Method: http.MethodGet, Host: probe.Address, Header: h}, stampOptional: true, done: make(chan result, 1)}
	if !c.begin(j) || c.write(j.request, probe.Path, nil) != nil {
		return false
	}
	select {
	case r := <-j.done:
		return r.err == nil && r.reply.Successful() && r.reply.Header.Get(p.Dialect.LeafID) == probe.Leaf
	case <-ctx.Done():
		return false
	}
}

// Cancel aborts a call by closing its connection, which signals the leaf to stop
// the work.
func (p *Pool) Cancel(id uint64) {
	p.mu.Lock()
	active := p.calls[id]
	p.mu.Unlock()
	if active != nil {
		active.cancel()
	}
}

// Forget closes the idle connections to a leaf that gets no more requests, and withdraws
// the calls to it that wait for a connection.
func (p *Pool) Forget(leaf string) {
	p.mu.Lock()
	list := p.idle[leaf]
	delete(p.idle, leaf)
	for _, active := range p.calls {
		if active.leaf != leaf {
			continue
		}
		active.forgotten = true
		if !active.sent {
			active.cancel()
		}
	}
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// markSent records that a call's request is about to be sent. It reports false if the call
// was cancelled before.
func (p *Pool) markSent(ctx context.Context, id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	p.calls[id].sent = true
	return true
}

// markUnsent records that nothing of a call's request was written. The call is cancelled if its
// leaf has been forgotten meanwhile.
func (p *Pool) markUnsent(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := p.calls[id]
	active.sent = false
	if active.forgotten {
		active.cancel()
	}
}

// startWork starts work that belongs to no call, with a context that Close cancels. The caller
// holds the lock of the pool, which is not closed.
func (p *Pool) startWork(work func(context.Context)) {
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithCancel(context.Background())
	}
	ctx := p.ctx
	p.wait.Go(func() { work(ctx) })
}

// Close cancels all calls, probes and checks, closes all connections and waits for them to
// end. What it cancels is not reported.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	if p.cancel != nil {
		p.cancel()
	}
	for _, active := range p.calls {
		active.cancel()
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

// run makes a call and reports its result.
func (p *Pool) run(ctx context.Context, send router.Send, request *http.Request) {
	done := p.call(ctx, send, request)
	done.Call = send.Call
	p.mu.Lock()
	active := p.calls[send.Call]
	delete(p.calls, send.Call)
	closed := p.closed
	p.mu.Unlock()
	if active != nil {
		active.cancel()
	}
	if !closed {
		p.OnDone(done)
	}
}

// call makes one call over an idle or a new connection. An idle connection may end before
// anything is written to it; the call then takes another one.
func (p *Pool) call(ctx context.Context, send router.Send, request *http.Request) router.CallDone {
	for {
		j := &job{request: request, stampOptional: isForwarded(request), done: make(chan result, 1)}
		c := p.takeIdle(send.Leaf, j)
		wasIdle := c != nil
		if !wasIdle {
			var failed router.CallDone
			if c, failed = p.open(ctx, send, j); c == nil {
				return failed
			}
		}
		if !p.markSent(ctx, send.Call) {
			c.close()
			return router.CallDone{Kind: call.Withdrawn, Cause: "not sent yet"}
		}
		done := p.exchange(ctx, c, j, send)
		if !wasIdle || done.Kind != call.NotSent {
			return done
		}
		p.markUnsent(send.Call)
	}
}

// open opens a connection and assigns a call to it. It returns nil and the result of the call
// if that fails.
func (p *Pool) open(ctx context.Context, send router.Send, j *job) (*conn, router.CallDone) {
	dialedAt := p.Clock.Now()
	netConn, err := p.dial(ctx, send.Address)
	if err != nil {
		return nil, dialFailure(ctx, err)
	}
	c := newConn(netConn, &p.Dialect, &p.Memory)
	if send.AwaitRejection && c.awaitReset((p.Clock.Now() - dialedAt).Duration()) {
		return nil, router.CallDone{Kind: call.Full, Cause: "the leaf ended a new connection"}
	}
	if !c.begin(j) {
		return nil, router.CallDone{Kind: call.NotSent, Cause: ErrIdleClosed.Error()}
	}
	return c, router.CallDone{}
}

// dialFailure classifies a failed dial: Withdrawn if the call was cancelled, Full if the
// leaf reset the connection, NotSent otherwise.
func dialFailure(ctx context.Context, err error) router.CallDone {
	switch {
	case ctx.Err() != nil:
		return router.CallDone{Kind: call.Withdrawn, Cause: "no connection yet"}
	case errors.Is(err, syscall.ECONNRESET):
		return router.CallDone{Kind: call.Full, Cause: shortError(err)}
	}
	return router.CallDone{Kind: call.NotSent, Cause: shortError(err)}
}

// isForwarded reports whether a request goes to another host.
func isForwarded(request *http.Request) bool { return len(request.Header[HeaderForwardTarget]) > 0 }

// exchange sends the request and waits for the result of the call, or until it is
// cancelled.
func (p *Pool) exchange(ctx context.Context, c *conn, j *job, send router.Send) router.CallDone {
	// The reply may arrive before the whole body is written. The leaf then keeps
	// reading, and the connection is not reused unless the body was written.
	written, endWait := make(chan error, 1), func() {}
	if len(send.Request.Body) > inlineBodyBytes {
		endWait = c.awaitSlowReader()
		go func() { written <- c.write(j.request, send.Request.Target, send.Request.Body) }()
	} else {
		written <- c.write(j.request, send.Request.Target, send.Request.Body)
	}
	select {
	case r := <-j.done:
		endWait()
		return p.completeCall(c, send.Leaf, j, r, written)
	case <-ctx.Done():
		c.close()
		endWait()
		return router.CallDone{Kind: call.Cancelled, Cause: "no reply"}
	}
}

// inlineBodyBytes is the largest body written without a separate goroutine: with
// its headers it fits any socket's send buffer.
const inlineBodyBytes = 4 << 10

// completeCall handles the result of a call: it keeps the connection for further calls if
// possible, or closes it, and classifies the reply. A call of which nothing was written is not
// sent; once the socket has taken a byte, it may have run.
func (p *Pool) completeCall(c *conn, leaf string, j *job, r result, written chan error) router.CallDone {
	if r.err != nil {
		c.close() // ends the write
		if errors.Is(<-written, errNothingWritten) {
			return router.CallDone{Kind: call.NotSent, Cause: ErrIdleClosed.Error()}
		}
		return router.CallDone{Kind: call.Broken, Cause: shortError(r.err)}
	}
	keep := r.keep
	select {
	case err := <-written:
		if errors.Is(err, errNothingWritten) { // not a reply to this request
			c.close()
			return router.CallDone{Kind: call.NotSent, Cause: ErrIdleClosed.Error()}
		}
		keep = keep && err == nil
	default:
		keep = false // the body is not fully written
	}
	if keep {
		idleTimeout := r.idleTimeout
		if isForwarded(j.request) && (idleTimeout == 0 || idleTimeout > hostIdleTimeout) {
			idleTimeout = hostIdleTimeout
		}
		p.putIdle(leaf, c, idleTimeout)
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

// classify distinguishes an answer from a rejection by the leaf, or by another leaf at its
// address, which has not run the request.
func (p *Pool) classify(reply *call.Reply) router.CallDone {
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		return router.CallDone{Kind: call.Foreign, Cause: "address belongs to another leaf"}
	case reply.Header.Get(p.Dialect.NotRun) != "":
		return router.CallDone{Kind: call.Shed, Cause: "rejected: " + strconv.Itoa(reply.Status) + " " + reply.Header.Get(p.Dialect.NotRun)}
	}
	return router.CallDone{Kind: call.Answered, Reply: reply}
}

// readMergedHeaders reads the headers of another host's merged answer.
func (p *Pool) readMergedHeaders(done *router.CallDone) {
	ms, err := strconv.ParseInt(done.Reply.Header.Get(HeaderForwardProcessingTime), 10, 64)
	if err == nil {
		done.ProcessingTime = clock.Milli(ms)
	}
	// An unreadable time counts as absent: the round trip is then not measured.
	reply := done.Reply
	reply.Version, err = strconv.ParseUint(reply.Header.Get(HeaderForwardVersion), 10, 64)
	if err != nil {
		reply.Version = 0 // hosts of an earlier version don't send it
	}
	reply.Stamp = reply.Header.Get(p.Dialect.PartStamps)
	if list := reply.Header.Get(HeaderForwardMissing); list != "" {
		reply.Missing = strings.Split(list, ",")
	}
}

// newRequest builds the request to a leaf from the caller's headers, which no longer hold
// those of the caller's connection, and the headers of the dialect.
func (p *Pool) newRequest(send router.Send) *http.Request {
	h := make(http.Header, len(send.Request.Header)+2)
	for name, values := range send.Request.Header {
		h[name] = values
	}
	h[p.Dialect.RequestID] = []string{send.Request.ID}
	h[p.Dialect.Deadline] = []string{strconv.FormatInt(int64(send.Timeout), 10)}
	h[p.Dialect.ExpectLeaf] = []string{send.Leaf}
	if len(send.Request.Body) > 0 || expectsBody(send.Request.Method) {
		h["Content-Length"] = []string{strconv.Itoa(len(send.Request.Body))}
	}
	return &http.Request{Method: send.Request.Method, Host: send.Request.Host, Header: h}
}

// expectsBody reports whether a method has a body by definition, so that its length
// is sent even when it is 0.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// dial opens a connection to a leaf or another host.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	// A negative KeepAlive turns off TCP's keep-alive probes.
	d := net.Dialer{Timeout: dialTimeout, Control: setSocketOptions, KeepAlive: -1, LocalAddr: fetch.SourceAddr(p.Source)}
	return d.DialContext(ctx, "tcp", address)
}

// takeIdle assigns a call to the most recently used idle connection, and returns nil if
// there is none. That connection has been idle for the shortest time, so the leaf is the
// least likely to close it. takeIdle closes the connections that it finds no longer usable.
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

// putIdle keeps a connection for the next call, or closes it if the pool is closed.
func (p *Pool) putIdle(leaf string, c *conn, idleTimeout clock.Milli) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.mu.Lock()
	c.usableUntil = 0
	if idleTimeout > 0 {
		// A timeout shorter than twice the margin has half of itself as margin.
		c.usableUntil = p.Clock.Now() + max(idleTimeout-idleMargin, idleTimeout/2)
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
