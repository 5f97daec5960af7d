package leaves

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"dandelionstile/share/clock"
	"dandelionstile/share/fetch"
	"dandelionstile/share/query"
	"dandelionstile/share/sched"
	"dandelionstile/share/spans"
)

// CallDone reports a call's result to the control loop.
type CallDone struct{ Result sched.Result }

// ProbeDone reports a probe's result to the control loop.
type ProbeDone struct {
	Leaf   string
	Conn   sched.ConnID
	Status sched.LeafStatus
	Err    error
}

// ConnClosed reports to the control loop that a connection was closed.
type ConnClosed struct {
	Leaf string
	Conn sched.ConnID
}

// Pool holds the connections to leaves. The control loop calls its methods; results
// are delivered through Report. The exported fields are set before use.
type Pool struct {
	HTTP   *fetch.Engine
	Clock  clock.Clock
	Tracer *spans.Tracer
	// Report receives CallDone, ProbeDone and ConnClosed messages. It may block.
	Report func(any)

	mu     sync.Mutex
	conns  map[sched.ConnID]*fetch.Conn
	closed bool
	wait   sync.WaitGroup
}

// ensureConn returns the connection with an ID. If there is none, it adds one to a leaf's
// address, which is opened by the first request.
func (p *Pool) ensureConn(id sched.ConnID, address, leaf string) *fetch.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[id]
	if !ok {
		if p.conns == nil {
			p.conns = map[sched.ConnID]*fetch.Conn{}
		}
		c = &fetch.Conn{Engine: p.HTTP, Address: address, OnClose: func() {
			go p.Report(ConnClosed{Leaf: leaf, Conn: id})
		}}
		p.conns[id] = c
	}
	return c
}

// Send sends a call, whose Request must be a *Job, to a leaf. The result arrives as
// CallDone.
func (p *Pool) Send(address string, s sched.Send) {
	job, ok := s.Call.Request.(*Job)
	if !ok {
		return
	}
	c := p.ensureConn(s.Conn, address, s.Leaf)
	budget := s.Call.Deadline - p.Clock.Now()
	span := p.Tracer.Start(job.TraceParent, "leaf-call",
		attribute.String("leaf", s.Leaf), attribute.Bool("canary", s.Call.Canary))
	result := sched.Result{Leaf: s.Leaf, Conn: s.Conn, Key: s.Call.Key}
	r, err := job.newRequest(address, s.Leaf, budget)
	if err != nil {
		result.Outcome = query.Outcome{Kind: query.NotRun, Reason: query.ReasonLeafError}
		p.finish(span, result)
		return
	}
	if parent := span.Traceparent(); parent != "" {
		r.Header.Set("traceparent", parent)
	}
	p.do(c, r, func(reply fetch.Reply, err error) {
		result = job.complete(result, reply, err)
		if result.Outcome.Kind == query.Died {
			result = p.verify(result, address)
		}
		p.finish(span, result)
	})
}

// verifyTimeout is the time for a server whose connection broke to answer the check
// whether it is still running.
const verifyTimeout = 250 * time.Millisecond

// verify checks whether the server behind a broken connection is down. If it does not
// answer, the outcome stays query.Died. If it answers, the outcome becomes query.Unknown:
// only the connection was lost, or the server crashed and has already restarted, which
// the scheduler detects by comparing incarnations.
func (p *Pool) verify(r sched.Result, address string) sched.Result {
	reply, err := fetch.Get(p.HTTP, address, "/v1/leafs/"+r.Leaf+"/state", verifyTimeout)
	if err != nil {
		return r
	}
	r.Status = parseLeafStatus(reply.Header)
	r.Outcome.Kind = query.Unknown
	return r
}

// do sends a request on its own goroutine, because opening a connection blocks, and calls
// done on another. After Close it does nothing.
func (p *Pool) do(c *fetch.Conn, r *http.Request, done func(fetch.Reply, error)) {
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.wait.Add(1)
	}
	p.mu.Unlock()
	if closed {
		return // the result is no longer needed
	}
	go c.Do(r, func(reply fetch.Reply, err error) {
		// The HTTP library holds the connection's lock here. done posts to the control
		// loop, which may be waiting for that lock.
		go func() {
			defer p.wait.Done()
			done(reply, err)
		}()
	})
}

// finish ends a call's span and reports its result to the control loop.
func (p *Pool) finish(span spans.Span, r sched.Result) {
	span.Set(attribute.String("outcome", r.Outcome.Kind.String()), attribute.String("reason", string(r.Outcome.Reason)))
	span.End()
	p.Report(CallDone{r})
}

// complete fills in a call's result from the leaf's reply, or from the error if there
// is none. A broken connection counts as a crash of the server until verify has checked.
func (j *Job) complete(r sched.Result, reply fetch.Reply, err error) sched.Result {
	switch {
	case errors.Is(err, fetch.ErrNotOpened):
		r.DialFailed = true
		r.Outcome = query.Outcome{Kind: query.NotRun, Reason: query.ReasonUnreachable}
		return r
	case err != nil:
		r.ConnLost = true
		r.Outcome = query.Outcome{Kind: query.Died, Reason: query.ReasonReset}
		return r
	}
	r.Status = parseLeafStatus(reply.Header)
	o, err := j.decodeOutcome(reply)
	if err != nil {
		// The connection delivers replies to other requests, so it is closed.
		r.ConnLost = true
		o = query.Outcome{Kind: query.Unknown, Reason: query.ReasonForeign}
	}
	r.Outcome = o
	return r
}

// Probe requests the state of a leaf. The answer arrives as ProbeDone.
func (p *Pool) Probe(address string, a sched.Probe) {
	p.probe(address, http.MethodGet, "/v1/leafs/"+a.Leaf+"/state", a.Leaf, a.Conn)
}

// Abort asks a leaf to stop working on a call. The answer arrives as ProbeDone.
func (p *Pool) Abort(address string, a sched.Abort) {
	if job, ok := a.Call.Request.(*Job); ok {
		p.probe(address, http.MethodDelete, "/v1/leafs/"+a.Leaf+"/attempts/"+job.Attempt, a.Leaf, a.Conn)
	}
}

// ErrProbeFailed means that a probe or an abort was answered with a 5xx status.
var ErrProbeFailed = errors.New("probe was answered with a server error")

// probe sends a request without a body and reports the answer as ProbeDone.
func (p *Pool) probe(address, method, path, leaf string, id sched.ConnID) {
	c := p.ensureConn(id, address, leaf)
	r, err := fetch.Request(method, address, path, nil)
	if err != nil {
		p.Report(ProbeDone{Leaf: leaf, Conn: id, Err: err})
		return
	}
	p.do(c, r, func(reply fetch.Reply, err error) {
		if err == nil && reply.Status >= http.StatusInternalServerError {
			err = ErrProbeFailed
		}
		p.Report(ProbeDone{Leaf: leaf, Conn: id, Status: parseLeafStatus(reply.Header), Err: err})
	})
}

// CloseConn closes a connection in the background. An unknown ID is ignored.
func (p *Pool) CloseConn(id sched.ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[id]
	delete(p.conns, id)
	// A connection that was added after Close has never been opened.
	if c != nil && !p.closed {
		p.wait.Go(c.Close)
	}
}

// Close closes all connections and waits for the running calls.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.conns {
		p.wait.Go(c.Close)
	}
	p.conns = nil
	p.mu.Unlock()
	p.wait.Wait()
	return nil
}
