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

// Finished reports a call's result to the control loop.
type Finished struct{ Result sched.Result }

// Probed reports a probe's result to the control loop.
type Probed struct {
	Leaf   string
	Conn   sched.ConnID
	Status sched.LeafStatus
	Err    error
}

// Closed reports to the control loop that a connection was closed.
type Closed struct {
	Leaf string
	Conn sched.ConnID
}

// Pool holds the connections to leafs. Its methods are called from the control
// loop; results come back through Report. Fields are set before use.
type Pool struct {
	HTTP   *fetch.Engine
	Clock  clock.Clock
	Tracer *spans.Tracer
	// Report takes a Finished, Probed or Closed; it may block.
	Report func(any)

	mu     sync.Mutex
	conns  map[sched.ConnID]*fetch.Conn
	closed bool
	wait   sync.WaitGroup
}

func (p *Pool) conn(id sched.ConnID, address, leaf string) *fetch.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[id]
	if !ok {
		if p.conns == nil {
			p.conns = map[sched.ConnID]*fetch.Conn{}
		}
		c = &fetch.Conn{Engine: p.HTTP, Address: address, OnClose: func() {
			go p.Report(Closed{Leaf: leaf, Conn: id})
		}}
		p.conns[id] = c
	}
	return c
}

// Send makes a call.
func (p *Pool) Send(address string, s sched.Send) {
	job, ok := s.Call.Request.(*Job)
	if !ok {
		return
	}
	c := p.conn(s.Conn, address, s.Leaf)
	budget := s.Call.Deadline - p.Clock.Now()
	span := p.Tracer.Start(job.Parent, "leaf-call",
		attribute.String("leaf", s.Leaf), attribute.Bool("canary", s.Call.Canary))
	result := sched.Result{Leaf: s.Leaf, Conn: s.Conn, Key: s.Call.Key}
	r, err := job.request(address, s.Leaf, budget)
	if err != nil {
		result.Outcome = query.Outcome{Kind: query.NotRun, Reason: query.ReasonLeafError}
		p.finish(span, result)
		return
	}
	if parent := span.Parent(); parent != "" {
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

// verifyTimeout is how long a server whose connection broke may take to show
// that it is alive.
const verifyTimeout = 250 * time.Millisecond

// verify looks whether the server behind a broken connection is down. One that
// still answers has only lost the connection; the gate compares its incarnation
// to find one that went down and is back already.
func (p *Pool) verify(r sched.Result, address string) sched.Result {
	reply, err := fetch.Get(p.HTTP, address, "/v1/leafs/"+r.Leaf+"/state", verifyTimeout)
	if err != nil {
		return r
	}
	r.Status = sign(reply.Header)
	r.Outcome.Kind = query.Unknown
	return r
}

// do runs a call on a goroutine of its own, since opening a connection blocks.
func (p *Pool) do(c *fetch.Conn, r *http.Request, done func(fetch.Reply, error)) {
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.wait.Add(1)
	}
	p.mu.Unlock()
	if closed {
		return // nobody waits for the result any more
	}
	go c.Do(r, func(reply fetch.Reply, err error) {
		// The library holds the connection's lock here, and the control loop
		// may be about to take it.
		go func() {
			defer p.wait.Done()
			done(reply, err)
		}()
	})
}

func (p *Pool) finish(span spans.Span, r sched.Result) {
	span.Set(attribute.String("outcome", r.Outcome.Kind.String()), attribute.String("reason", string(r.Outcome.Reason)))
	span.End()
	p.Report(Finished{r})
}

// complete turns a reply or error into a result.
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
	r.Status = sign(reply.Header)
	o, err := j.outcome(reply)
	if err != nil {
		// The connection delivers what was not asked for: it goes.
		r.ConnLost = true
		o = query.Outcome{Kind: query.Unknown, Reason: query.ReasonForeign}
	}
	r.Outcome = o
	return r
}

// Probe asks for a leaf's state.
func (p *Pool) Probe(address string, a sched.Probe) {
	p.probe(address, http.MethodGet, "/v1/leafs/"+a.Leaf+"/state", a.Leaf, a.Conn)
}

// Abort asks a leaf to stop working on a call.
func (p *Pool) Abort(address string, a sched.Abort) {
	if job, ok := a.Call.Request.(*Job); ok {
		p.probe(address, http.MethodDelete, "/v1/leafs/"+a.Leaf+"/attempts/"+job.Attempt, a.Leaf, a.Conn)
	}
}

// ErrStatus means that a probe was answered with an error.
var ErrStatus = errors.New("probe was refused")

func (p *Pool) probe(address, method, path, leaf string, id sched.ConnID) {
	c := p.conn(id, address, leaf)
	r, err := fetch.Request(method, address, path, nil)
	if err != nil {
		p.Report(Probed{Leaf: leaf, Conn: id, Err: err})
		return
	}
	p.do(c, r, func(reply fetch.Reply, err error) {
		if err == nil && reply.Status >= http.StatusInternalServerError {
			err = ErrStatus
		}
		p.Report(Probed{Leaf: leaf, Conn: id, Status: sign(reply.Header), Err: err})
	})
}

// Shut closes a connection.
func (p *Pool) Shut(id sched.ConnID) {
	p.mu.Lock()
	c := p.conns[id]
	delete(p.conns, id)
	p.mu.Unlock()
	if c != nil {
		p.wait.Go(c.Close)
	}
}

// Close closes all connections and waits for the calls.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	ids := make([]sched.ConnID, 0, len(p.conns))
	for id := range p.conns {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.Shut(id)
	}
	p.wait.Wait()
	return nil
}
