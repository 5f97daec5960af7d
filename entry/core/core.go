// Package core is the entry's control loop: it connects the fan-out engine with
// callers' requests and with the links to aggregators and other entries.
package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"

	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/fetch"
	"dandelionstile/share/mesh"
	"dandelionstile/share/meter"
	"dandelionstile/share/node"
	"dandelionstile/share/query"
	"dandelionstile/share/spans"
	"dandelionstile/share/topo"
	"dandelionstile/share/wire"
)

// tickInterval is the interval between ticks, and so the precision of hedges and
// deadlines.
const tickInterval = 2 * time.Millisecond

// Core is a running entry. Fields are set before Start.
type Core struct {
	Settings node.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Tracer   *spans.Tracer
	// OnConfigure is called with each configuration that takes effect; it may be nil.
	// It runs in the control loop and must not wait for the loop.
	OnConfigure func(*topo.Config)

	loop            node.Loop[any]
	node            node.Node
	fanout          fanout.Engine
	http            fetch.Engine
	aggregators     map[string]*mesh.Link // by host
	entries         map[string]*mesh.Link // by host
	queries         map[uint64]*openQuery
	updates         map[uint64]*openUpdate
	pendingForwards map[string][]fanout.Update // by owner; waiting for a link
	forwarded       map[uint64]forwardedUpdate // by the request ID on this entry
	history         queryHistory
	lastID          uint64 // of queries and updates, which share one sequence
}

// openQuery is a query that is not answered yet.
type openQuery struct {
	reply chan QueryResult
	span  spans.Span
	start clock.Milli
	req   fanout.Request
}

// QueryResult is a query's answer and the ID to explain it by.
type QueryResult struct {
	ID     string
	Answer query.Answer
}

// Messages to the control loop, in addition to those of the node.
type (
	tick       struct{}
	startQuery struct {
		req    fanout.Request
		budget clock.Milli
		trace  string
		reply  chan QueryResult
	}
	startUpdate struct {
		req    fanout.Update
		budget clock.Milli
		trace  string
		reply  chan fanout.UpdateResult
	}
	mintIDs struct {
		count int
		reply chan MintResult
	}
	runInLoop struct {
		run func(now clock.Milli)
	}
	announceLeaving struct{ done chan struct{} }
	// callerDisconnected reports that the caller waiting on reply has disconnected.
	callerDisconnected struct{ reply chan QueryResult }
)

// Start starts the control loop, the node and its links.
func (c *Core) Start() error {
	c.aggregators = map[string]*mesh.Link{}
	c.entries = map[string]*mesh.Link{}
	c.queries = map[uint64]*openQuery{}
	c.updates = map[uint64]*openUpdate{}
	c.pendingForwards = map[string][]fanout.Update{}
	c.forwarded = map[uint64]forwardedUpdate{}
	c.loop.Clock = clock.Wall{}
	c.http.Source = c.Settings.Listen.IP()
	if err := c.http.Start(); err != nil {
		return err
	}
	incarnation := node.NewIncarnation()
	c.fanout = fanout.Engine{
		Self: c.Settings.Host.Name, Domain: c.Settings.Host.Domain,
		Random: rand.New(rand.NewPCG(incarnation, uint64(time.Now().UnixNano()))),
	}
	c.fanout.SetIncarnation(incarnation)
	c.node = node.Node{
		Settings: c.Settings, Program: node.Entry, Incarnation: incarnation, Log: c.Log, Meter: c.Meter,
		Delegate: delegate{c}, HTTP: &c.http, Post: func(m node.Message) bool { return c.loop.Post(m) },
	}
	c.loop.Start(c.handle)
	// Runs in the loop because links may come up while the node is still starting.
	if err, _ := inLoop(c, func(clock.Milli) error { return c.node.Start() }); err != nil {
		return err
	}
	c.loop.Every(tickInterval, tick{})
	return nil
}

// handle processes a message in the control loop.
func (c *Core) handle(now clock.Milli, m any) {
	switch m := m.(type) {
	case node.Message:
		c.node.Handle(now, m)
	case startQuery:
		c.startQuery(now, m)
	case startUpdate:
		c.startUpdate(now, m)
	case mintIDs:
		ids, err := c.fanout.Mint(now, m.count)
		m.reply <- MintResult{ids, err}
	case tick:
		c.node.Handle(now, node.Tick{})
		c.execute(now, c.fanout.Tick(now))
	case runInLoop:
		m.run(now)
	case callerDisconnected:
		c.cancelQuery(now, m.reply)
	case announceLeaving:
		c.node.AnnounceLeaving(now)
		close(m.done)
	}
}

// startQuery gives a query its ID, deadline and span, and starts it.
func (c *Core) startQuery(now clock.Milli, m startQuery) {
	c.lastID++
	m.req.ID = c.lastID
	if m.budget == 0 {
		m.budget = c.defaultBudget(m.req.Service)
	}
	m.req.Deadline = now + m.budget
	span := c.Tracer.Start(m.trace, "query",
		attribute.String("service", m.req.Service), attribute.Int64("budget-ms", int64(m.budget)))
	c.queries[c.lastID] = &openQuery{reply: m.reply, span: span, start: now, req: m.req}
	c.execute(now, c.fanout.StartQuery(now, m.req))
}

// cancelQuery cancels the query whose caller waits on reply. An answered query is
// ignored.
func (c *Core) cancelQuery(now clock.Milli, reply chan QueryResult) {
	for id, q := range c.queries {
		if q.reply == reply {
			c.execute(now, c.fanout.CancelQuery(now, id))
			return
		}
	}
}

// defaultBudget returns the time budget of requests that set none: that of the service,
// or a second if the service is unknown.
func (c *Core) defaultBudget(service string) clock.Milli {
	if cfg := c.fanout.Config(); cfg != nil {
		if s, ok := cfg.Service(service); ok {
			return s.Deadline
		}
	}
	return clock.Second
}

// execute carries out the engine's actions.
func (c *Core) execute(now clock.Milli, actions []fanout.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fanout.SendBatch:
			c.sendBatch(now, a)
		case fanout.CancelCalls:
			if l := c.aggregators[a.Host]; l != nil {
				c.node.Send(l, &wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: &wire.Cancel{Calls: a.Calls}}})
			}
		case fanout.Answered:
			c.answerQuery(now, a)
		case fanout.ShareStrike:
			c.node.ShareStrike(now, a.Strike, func(now clock.Milli) {
				if a.Query != 0 {
					c.execute(now, c.fanout.StrikeShared(now, a.Query))
				}
			})
		case fanout.SendUpdate:
			c.sendUpdate(now, a)
		case fanout.Forward:
			c.forward(now, a)
		case fanout.UpdateAnswered:
			c.answerUpdate(a)
		}
	}
}

// sendBatch sends the calls of a query to an aggregator. If that fails, they end as not
// run.
func (c *Core) sendBatch(now clock.Milli, a fanout.SendBatch) {
	trace := ""
	if q := c.queries[a.Query]; q != nil {
		trace = q.span.Traceparent()
	}
	l := c.aggregators[a.Host]
	if l != nil && c.node.Send(l, encodeBatch(a, max(0, a.Deadline-now), trace)) {
		return
	}
	// Nothing was sent, so the calls have not run.
	for _, call := range a.Calls {
		c.execute(now, c.fanout.CallDone(now, query.Outcome{Call: call.ID, Kind: query.NotRun, Reason: query.ReasonBusy}))
	}
}

// answerQuery records a query's answer in the history, metrics and span, and returns it
// to the caller.
func (c *Core) answerQuery(now clock.Milli, a fanout.Answered) {
	q := c.queries[a.Query]
	if q == nil {
		return
	}
	delete(c.queries, a.Query)
	id := fmt.Sprintf("%s.%x.%x", c.Settings.Host.Name, c.node.Incarnation, a.Query)
	c.history.add(HistoryEntry{ID: id, Service: q.req.Service, Arrived: q.start, Answered: now, Answer: a.Answer, Steps: a.Steps})
	c.recordMetrics(now, q, a.Answer)
	for _, s := range a.Steps {
		q.span.Event(string(s.Event), attribute.Int("shard", s.Shard), attribute.String("leaf", s.Leaf),
			attribute.String("host", s.Host), attribute.String("cause", string(s.Cause)))
	}
	q.span.Set(attribute.Int("shards", a.Answer.Coverage.Shards), attribute.Int("answered", a.Answer.Coverage.Answered),
		attribute.Int("extra", a.Answer.Extra), attribute.String("refused", string(a.Answer.Refused)))
	q.span.End()
	q.reply <- QueryResult{ID: id, Answer: a.Answer}
}

// recordMetrics records latency, coverage, extra calls and refusals.
func (c *Core) recordMetrics(now clock.Milli, q *openQuery, a query.Answer) {
	service := meter.Label{Name: "service", Value: c.serviceLabel(q.req.Service)}
	c.Meter.Latency("query_latency", (now - q.start).Duration(), service)
	c.Meter.Count("leaf_calls", int64(a.Calls), service)
	c.Meter.Count("leaf_calls_extra", int64(a.Extra), service)
	switch {
	case a.Refused != query.ReasonNone:
		c.Meter.Count("queries", 1, service, meter.Label{Name: "result", Value: "refused"},
			meter.Label{Name: "reason", Value: string(a.Refused)})
	case a.Coverage.Complete():
		c.Meter.Count("queries", 1, service, meter.Label{Name: "result", Value: "complete"}, meter.Label{Name: "reason", Value: ""})
	default:
		c.Meter.Count("queries", 1, service, meter.Label{Name: "result", Value: "partial"},
			meter.Label{Name: "reason", Value: string(a.Coverage.Missing[0].Reason)})
	}
	c.Meter.Count("shards_asked", int64(a.Coverage.Shards), service)
	c.Meter.Count("shards_answered", int64(a.Coverage.Answered), service)
}

// serviceLabel returns the metric label of a service; services that are not in the
// inventory share one label.
func (c *Core) serviceLabel(service string) string {
	if cfg := c.fanout.Config(); cfg != nil {
		if _, ok := cfg.Service(service); ok {
			return service
		}
	}
	return "other"
}

// replyTimeoutMargin is how long a request waits for the control loop's reply after
// its budget has ended.
const replyTimeoutMargin = 2 * time.Second

// Query runs a query until it is answered or until its context ends because the caller
// has disconnected; the query is then cancelled. A budget of 0 selects the service's
// default. The second result is false if there is no answer: the context or the loop has
// ended, or the loop doesn't reply in time.
func (c *Core) Query(ctx context.Context, req fanout.Request, budget clock.Milli, trace string) (QueryResult, bool) {
	m := startQuery{req: req, budget: budget, trace: trace, reply: make(chan QueryResult, 1)}
	if !c.loop.Post(m) {
		return QueryResult{}, false
	}
	result, ok := awaitContext(ctx, m.reply, budget)
	if !ok && ctx.Err() != nil {
		c.loop.Post(callerDisconnected{m.reply}) // a loop that has ended has no calls to cancel
	}
	return result, ok
}

// await waits for the control loop's reply for the budget plus replyTimeoutMargin. A
// budget of 0, whose default only the loop knows, counts as a minute. The second result
// is false if there is no reply.
func await[T any](reply chan T, budget clock.Milli) (T, bool) {
	return awaitContext(context.Background(), reply, budget)
}

// awaitContext is await with a context that may end the wait earlier.
func awaitContext[T any](ctx context.Context, reply chan T, budget clock.Milli) (T, bool) {
	if budget == 0 {
		budget = clock.Minute
	}
	ctx, cancel := context.WithTimeout(ctx, budget.Duration()+replyTimeoutMargin)
	defer cancel()
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// Config returns the configuration in force, or nil.
func (c *Core) Config() *topo.Config {
	cfg, _ := inLoop(c, func(clock.Milli) *topo.Config { return c.fanout.Config() })
	return cfg
}

// inLoop runs a function in the control loop and returns its result. The second result
// is false if the loop has ended or doesn't reply within a second plus
// replyTimeoutMargin.
func inLoop[T any](c *Core, f func(now clock.Milli) T) (T, bool) {
	reply := make(chan T, 1)
	if !c.loop.Post(runInLoop{run: func(now clock.Milli) { reply <- f(now) }}) {
		var zero T
		return zero, false
	}
	return await(reply, clock.Second)
}

// Leave announces to the peers that this entry is shutting down.
func (c *Core) Leave() {
	m := announceLeaving{done: make(chan struct{})}
	if c.loop.Post(m) {
		<-m.done
	}
}

// Idle reports whether no request is in flight. It is also true if the loop does not
// reply, so that a shutdown does not wait for a loop that has ended.
func (c *Core) Idle() bool {
	idle, ok := inLoop(c, func(clock.Milli) bool { return c.fanout.Idle() && len(c.queries) == 0 })
	return idle || !ok
}

// Close stops everything that Start started, and waits.
func (c *Core) Close() error {
	err := errors.CombineErrors(c.http.Close(), c.node.Close())
	return errors.CombineErrors(err, c.loop.Close())
}
