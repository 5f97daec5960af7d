// Package core is the entry's control loop: it joins the fan-out's decisions
// with the callers' requests and the links to aggregators and other entries.
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

// tickEvery is the pause between two ticks: hedges and deadlines are as exact.
const tickEvery = 2 * time.Millisecond

// Core is a running entry. Fields are set before Start.
type Core struct {
	Settings node.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Tracer   *spans.Tracer
	// Configured is told of each configuration that comes in force; it may be
	// nil. It is called in the control loop and must not wait for it.
	Configured func(*topo.Config)

	loop    node.Loop[any]
	node    node.Node
	fan     fanout.Engine
	http    fetch.Engine
	aggs    map[string]*mesh.Link // by host
	entries map[string]*mesh.Link // by host
	queries map[uint64]*openQuery
	updates map[uint64]*openUpdate
	away    map[string][]fanout.Update // by owner: waiting for a link
	remote  map[uint64]remote
	recent  recent
	last    uint64
}

// openQuery is a query that its caller waits for.
type openQuery struct {
	reply chan Answered
	span  spans.Span
	start clock.Milli
	req   fanout.Request
}

// Answered is a query's answer with the id to explain it by.
type Answered struct {
	ID     string
	Answer query.Answer
}

// Messages of the control loop besides the node's.
type (
	tick  struct{}
	start struct {
		req    fanout.Request
		budget clock.Milli
		trace  string
		reply  chan Answered
	}
	update struct {
		req    fanout.Update
		budget clock.Milli
		trace  string
		reply  chan fanout.UpdateResult
	}
	mint struct {
		count int
		reply chan Minted
	}
	ask struct {
		run func(now clock.Milli)
	}
	leave struct{ done chan struct{} }
	// left says that the caller that waits for a reply has gone.
	left struct{ reply chan Answered }
)

// Start links up and begins to serve.
func (c *Core) Start() error {
	c.aggs = map[string]*mesh.Link{}
	c.entries = map[string]*mesh.Link{}
	c.queries = map[uint64]*openQuery{}
	c.updates = map[uint64]*openUpdate{}
	c.away = map[string][]fanout.Update{}
	c.remote = map[uint64]remote{}
	c.loop.Clock = clock.Wall{}
	c.http.Source = c.Settings.Listen.IP()
	if err := c.http.Start(); err != nil {
		return err
	}
	incarnation := node.NewIncarnation()
	c.fan = fanout.Engine{
		Self: c.Settings.Host.Name, Domain: c.Settings.Host.Domain,
		Random: rand.New(rand.NewPCG(incarnation, uint64(time.Now().UnixNano()))),
	}
	c.fan.SetIncarnation(incarnation)
	c.node = node.Node{
		Settings: c.Settings, Program: node.Entry, Incarnation: incarnation, Log: c.Log, Meter: c.Meter,
		Delegate: owner{c}, HTTP: &c.http, Post: func(m node.Message) bool { return c.loop.Post(m) },
	}
	c.loop.Start(c.handle)
	// In the loop, since links may come up while the node still starts.
	if err, _ := inLoop(c, func(clock.Milli) error { return c.node.Start() }); err != nil {
		return err
	}
	c.loop.Every(tickEvery, tick{})
	return nil
}

func (c *Core) handle(now clock.Milli, m any) {
	switch m := m.(type) {
	case node.Message:
		c.node.Handle(now, m)
	case start:
		c.start(now, m)
	case update:
		c.update(now, m)
	case mint:
		ids, err := c.fan.Mint(now, m.count)
		m.reply <- Minted{ids, err}
	case tick:
		c.node.Handle(now, node.Tick{})
		c.act(now, c.fan.Tick(now))
	case ask:
		m.run(now)
	case left:
		c.left(now, m.reply)
	case leave:
		c.node.AnnounceLeaving(now)
		close(m.done)
	}
}

func (c *Core) start(now clock.Milli, m start) {
	c.last++
	m.req.ID = c.last
	if m.budget == 0 {
		m.budget = c.deadline(m.req.Service)
	}
	m.req.Deadline = now + m.budget
	span := c.Tracer.Start(m.trace, "query",
		attribute.String("service", m.req.Service), attribute.Int64("budget-ms", int64(m.budget)))
	c.queries[c.last] = &openQuery{reply: m.reply, span: span, start: now, req: m.req}
	c.act(now, c.fan.StartQuery(now, m.req))
}

// left ends the query whose caller waited for a reply.
func (c *Core) left(now clock.Milli, reply chan Answered) {
	for id, q := range c.queries {
		if q.reply == reply {
			c.act(now, c.fan.CancelQuery(now, id))
			return
		}
	}
}

// deadline is the budget of a query that names none.
func (c *Core) deadline(service string) clock.Milli {
	if cfg := c.fan.Config(); cfg != nil {
		if s, ok := cfg.Service(service); ok {
			return s.Deadline
		}
	}
	return clock.Second
}

// act carries out the decisions.
func (c *Core) act(now clock.Milli, actions []fanout.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fanout.SendBatch:
			c.sendBatch(now, a)
		case fanout.CancelCalls:
			if l := c.aggs[a.Host]; l != nil {
				c.node.Send(l, &wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: &wire.Cancel{Calls: a.Calls}}})
			}
		case fanout.Answered:
			c.answer(now, a)
		case fanout.ShareStrike:
			c.node.ShareStrike(now, a.Strike, func(now clock.Milli) {
				if a.Query != 0 {
					c.act(now, c.fan.StrikeShared(now, a.Query))
				}
			})
		case fanout.SendUpdate:
			c.sendUpdate(now, a)
		case fanout.Forward:
			c.forward(now, a)
		case fanout.UpdateAnswered:
			c.updated(a)
		}
	}
}

func (c *Core) sendBatch(now clock.Milli, a fanout.SendBatch) {
	trace := ""
	if q := c.queries[a.Query]; q != nil {
		trace = q.span.Parent()
	}
	l := c.aggs[a.Host]
	if l != nil && c.node.Send(l, batchTo(a, max(0, a.Deadline-now), trace)) {
		return
	}
	// Nothing left this host, so the calls have not run.
	for _, call := range a.Calls {
		c.act(now, c.fan.CallDone(now, query.Outcome{Call: call.ID, Kind: query.NotRun, Reason: query.ReasonBusy}))
	}
}

func (c *Core) answer(now clock.Milli, a fanout.Answered) {
	q := c.queries[a.Query]
	if q == nil {
		return
	}
	delete(c.queries, a.Query)
	id := fmt.Sprintf("%s.%x.%x", c.Settings.Host.Name, c.node.Incarnation, a.Query)
	c.recent.add(Explained{ID: id, Service: q.req.Service, Arrived: q.start, Answered: now, Answer: a.Answer, Trail: a.Steps})
	c.count(now, q, a.Answer)
	for _, s := range a.Steps {
		q.span.Event(string(s.Event), attribute.Int("shard", s.Shard), attribute.String("leaf", s.Leaf),
			attribute.String("host", s.Host), attribute.String("cause", string(s.Cause)))
	}
	q.span.Set(attribute.Int("shards", a.Answer.Coverage.Shards), attribute.Int("answered", a.Answer.Coverage.Answered),
		attribute.Int("extra", a.Answer.Extra), attribute.String("refused", string(a.Answer.Refused)))
	q.span.End()
	q.reply <- Answered{ID: id, Answer: a.Answer}
}

// count records the measures: latency, coverage, extra load and refusals.
func (c *Core) count(now clock.Milli, q *openQuery, a query.Answer) {
	service := meter.Label{Name: "service", Value: c.known(q.req.Service)}
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

// known maps names that are not in the inventory to one label.
func (c *Core) known(service string) string {
	if cfg := c.fan.Config(); cfg != nil {
		if _, ok := cfg.Service(service); ok {
			return service
		}
	}
	return "other"
}

// slack is how long past its deadline a request waits for the control loop
// before it is answered without it.
const slack = 2 * time.Second

// Query runs a query, until it is answered or its context ends because its
// caller has gone. The budget is in milliseconds; 0 takes the service's. The
// second result is false when there is no answer.
func (c *Core) Query(ctx context.Context, req fanout.Request, budget clock.Milli, trace string) (Answered, bool) {
	m := start{req: req, budget: budget, trace: trace, reply: make(chan Answered, 1)}
	if !c.loop.Post(m) {
		return Answered{}, false
	}
	got, ok := awaitIn(ctx, m.reply, budget)
	if !ok && ctx.Err() != nil {
		c.loop.Post(left{m.reply}) // a loop that has ended has no calls left
	}
	return got, ok
}

// await waits for the control loop's reply, a while longer than the budget.
func await[T any](reply chan T, budget clock.Milli) (T, bool) {
	return awaitIn(context.Background(), reply, budget)
}

func awaitIn[T any](ctx context.Context, reply chan T, budget clock.Milli) (T, bool) {
	if budget == 0 {
		budget = clock.Minute
	}
	ctx, cancel := context.WithTimeout(ctx, budget.Duration()+slack)
	defer cancel()
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// Config returns the configuration in force, or nil.
func (c *Core) Config() *topo.Config {
	got, _ := inLoop(c, func(clock.Milli) *topo.Config { return c.fan.Config() })
	return got
}

// inLoop runs a function in the control loop and returns its result.
func inLoop[T any](c *Core, f func(now clock.Milli) T) (T, bool) {
	reply := make(chan T, 1)
	if !c.loop.Post(ask{run: func(now clock.Milli) { reply <- f(now) }}) {
		var none T
		return none, false
	}
	return await(reply, clock.Second)
}

// Leave tells the peers that this entry goes.
func (c *Core) Leave() {
	m := leave{done: make(chan struct{})}
	if c.loop.Post(m) {
		<-m.done
	}
}

// Idle tells whether no request is under way.
func (c *Core) Idle() bool {
	idle, ok := inLoop(c, func(clock.Milli) bool { return c.fan.Idle() && len(c.queries) == 0 })
	return idle || !ok
}

// Close ends everything that Start began, and waits.
func (c *Core) Close() error {
	err := errors.CombineErrors(c.http.Close(), c.node.Close())
	return errors.CombineErrors(err, c.loop.Close())
}
