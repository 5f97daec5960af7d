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

// dialTimeout bounds the opening of a connection. It covers a way of 2 x 40 ms
// between regions several times; a leaf that has not accepted by then does not
// listen, or its queue of new connections is full and the next try of the
// system comes a second later.
const dialTimeout = 400 * time.Millisecond

// Pool holds the connections to all leafs. Send and Cancel do not block; each
// call ends with one report.
type Pool struct {
	Dialect Dialect
	// Source is the IP that connections are opened from; empty leaves it to
	// the system.
	Source string
	Clock  clock.Clock
	// OnDone takes the end of a call, Probed that of a probe, and Absent the
	// news that a connection check found nobody, from any goroutine.
	OnDone        func(router.Done)
	OnProbed      func(router.ProbeResult)
	OnConnRefused func(router.ConnRefused)

	mu   sync.Mutex
	idle map[string][]*conn // by leaf, or by address of another host
	// opening counts connections that are being opened ahead.
	opening map[string]int
	calls   map[uint64]*flight
	closed  bool
	wait    sync.WaitGroup
}

// flight is a call under way.
type flight struct{ cancel context.CancelFunc }

// Send starts a call.
func (p *Pool) Send(s router.Send) { p.start(s, p.request(s)) }

func (p *Pool) start(s router.Send, q *http.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		cancel()
		return
	}
	if p.calls == nil {
		p.calls = map[uint64]*flight{}
	}
	p.calls[s.Call] = &flight{cancel: cancel}
	p.wait.Go(func() { p.run(ctx, s, q) })
}

// Forward hands a request to another host; it ends with a report as Send does.
func (p *Pool) Forward(r router.Forward) {
	s := router.Send{Call: r.Call, Request: r.Request, Leaf: r.Address, Address: r.Address, Timeout: r.Timeout}
	q := p.request(s)
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

// mostSpare bounds the idle connections that are opened ahead to another host.
const mostSpare = 2

// Preconnect opens a connection ahead to another host if few are idle, so that the
// next forwarded request does not pay for the way there and back once more.
func (p *Pool) Preconnect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address])+p.opening[address] >= mostSpare {
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
			p.put(address, newConn(n, &p.Dialect), 0)
		}
		// A host that cannot be reached shows so with the next request.
	})
}

// probeTimeout bounds a probe: a leaf whose health check waits for a slot
// longer than this has no room for work either.
const probeTimeout = 800 * time.Millisecond

// Probe asks a leaf for its health over a connection of its own, which proves
// that new ones can be opened.
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

// CheckConn opens a connection to a leaf, and closes it, to see whether anybody
// listens there. A connection that is not answered tells nothing: the way may be
// cut.
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

// healthy tells whether the leaf itself, and not another at its address, says
// that it is well. Whatever else comes back counts as not.
func (p *Pool) healthy(ctx context.Context, a router.Probe) bool {
	n, err := p.dial(ctx, a.Address)
	if err != nil {
		return false
	}
	c := newConn(n, &p.Dialect)
	defer c.shut()
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

// Cancel gives up on a call: its connection is closed, which tells the leaf to
// stop.
func (p *Pool) Cancel(id uint64) {
	p.mu.Lock()
	f := p.calls[id]
	p.mu.Unlock()
	if f != nil {
		f.cancel()
	}
}

// Forget closes the idle connections to a leaf that is gone.
func (p *Pool) Forget(leaf string) {
	p.mu.Lock()
	list := p.idle[leaf]
	delete(p.idle, leaf)
	p.mu.Unlock()
	for _, c := range list {
		c.shut()
	}
}

// Close ends all calls and connections and waits for them.
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
			c.shut()
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

// call makes one call over an idle connection or a new one.
func (p *Pool) call(ctx context.Context, s router.Send, q *http.Request) router.Done {
	j := &job{request: q, unsigned: forwarded(q), done: make(chan result, 1)}
	c := p.take(s.Leaf, j)
	if c == nil {
		began := p.Clock.Now()
		n, err := p.dial(ctx, s.Address)
		if err != nil {
			return unopened(ctx, err)
		}
		c = newConn(n, &p.Dialect)
		if s.Watch && c.turnedAway((p.Clock.Now() - began).Duration()) {
			return router.Done{Kind: call.Full, Cause: "the leaf ended a new connection"}
		}
		if !c.begin(j) {
			return router.Done{Kind: call.NotSent, Cause: ErrIdleClosed.Error()}
		}
	}
	return p.exchange(ctx, c, j, s)
}

// unopened tells why there is no connection.
func unopened(ctx context.Context, err error) router.Done {
	switch {
	case ctx.Err() != nil:
		return router.Done{Kind: call.Withdrawn, Cause: "given up"}
	case errors.Is(err, syscall.ECONNRESET):
		return router.Done{Kind: call.Full, Cause: short(err)}
	}
	return router.Done{Kind: call.NotSent, Cause: short(err)}
}

// forwarded tells whether a request goes to another host.
func forwarded(q *http.Request) bool { return len(q.Header[HeaderForwardTarget]) > 0 }

// exchange sends the request and waits for the end of the call.
func (p *Pool) exchange(ctx context.Context, c *conn, j *job, s router.Send) router.Done {
	// The reply may come before the whole body is written; the leaf then reads
	// on, and the connection is not used again until the body is through.
	written := make(chan error, 1)
	if len(s.Request.Body) > inlineBody {
		go func() { written <- c.write(j.request, s.Request.Target, s.Request.Body) }()
	} else {
		written <- c.write(j.request, s.Request.Target, s.Request.Body)
	}
	select {
	case r := <-j.done:
		return p.ended(c, s.Leaf, j, r, written)
	case <-ctx.Done():
		c.shut()
		return router.Done{Kind: call.Cancelled, Cause: "given up"}
	}
}

// inlineBody is the largest body that is written without a goroutine of its
// own: with its headers it fits any socket's buffer.
const inlineBody = 4 << 10

func (p *Pool) ended(c *conn, leaf string, j *job, r result, written chan error) router.Done {
	if r.err != nil {
		c.shut()
		return router.Done{Kind: call.Broken, Cause: short(r.err)}
	}
	keep := r.keep
	select {
	case err := <-written:
		keep = keep && err == nil
	default:
		keep = false // the body is not through
	}
	if keep {
		p.put(leaf, c, r.idle)
	} else {
		c.shut()
	}
	done := p.classify(r.reply)
	if forwarded(j.request) {
		done.Refusal = router.ParseRefusal(r.reply.Header.Get(p.Dialect.NotRun))
	}
	if done.Kind == call.Answered && forwarded(j.request) {
		p.merged(&done)
	}
	return done
}

// classify tells a leaf's refusal from its reply.
func (p *Pool) classify(r *call.Reply) router.Done {
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		return router.Done{Kind: call.Foreign, Cause: "another leaf has the address"}
	case r.Header.Get(p.Dialect.NotRun) != "":
		return router.Done{Kind: call.Shed, Cause: "turned down: " + strconv.Itoa(r.Status) + " " + r.Header.Get(p.Dialect.NotRun)}
	}
	return router.Done{Kind: call.Answered, Reply: r}
}

// merged reads what another host tells of its merged answer.
func (p *Pool) merged(d *router.Done) {
	ms, err := strconv.ParseInt(d.Reply.Header.Get(HeaderForwardProcessingTime), 10, 64)
	if err == nil {
		d.ProcessingTime = clock.Milli(ms)
	}
	// A time that cannot be read is as one not told: the way is not learnt.
	r := d.Reply
	r.Stamp = r.Header.Get(p.Dialect.PartStamps)
	if list := r.Header.Get(HeaderForwardMissing); list != "" {
		r.Missing = strings.Split(list, ",")
	}
}

// request builds what a leaf is sent: the caller's request without the headers
// of its connection, with the tier's own.
func (p *Pool) request(s router.Send) *http.Request {
	h := make(http.Header, len(s.Request.Header)+2)
	for name, values := range s.Request.Header {
		h[name] = values
	}
	h[p.Dialect.RequestID] = []string{s.Request.ID}
	h[p.Dialect.Deadline] = []string{strconv.FormatInt(int64(s.Timeout), 10)}
	h[p.Dialect.ExpectLeaf] = []string{s.Leaf}
	if len(s.Request.Body) > 0 || bodied(s.Request.Method) {
		h["Content-Length"] = []string{strconv.Itoa(len(s.Request.Body))}
	}
	return &http.Request{Method: s.Request.Method, Host: s.Request.Host, Header: h}
}

// bodied tells whether a method has a body by its nature, so that its length
// is stated even when it is 0.
func bodied(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: control, KeepAlive: -1, LocalAddr: fetch.SourceAddr(p.Source)}
	return d.DialContext(ctx, "tcp", address)
}

// take puts a call on an idle connection, the one used last: the others may
// reach their idle timeout and close.
func (p *Pool) take(leaf string, j *job) *conn {
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
		c.shut()
	}
	return nil
}

func (p *Pool) put(leaf string, c *conn, idle clock.Milli) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.shut()
		return
	}
	c.mu.Lock()
	c.until = 0
	if idle > 0 {
		c.until = p.Clock.Now() + max(idle-idleMargin, idle/2)
	}
	c.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[leaf] = append(p.idle[leaf], c)
}

// short is an error's text without the addresses, which the log line names
// anyway.
func short(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}
