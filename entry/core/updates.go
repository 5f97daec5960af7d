package core

import (
	"go.opentelemetry.io/otel/attribute"

	"dandelionstile/share/clock"
	"dandelionstile/share/dedup"
	"dandelionstile/share/fanout"
	"dandelionstile/share/mesh"
	"dandelionstile/share/meter"
	"dandelionstile/share/query"
	"dandelionstile/share/spans"
	"dandelionstile/share/wire"
)

// openUpdate is an update that its caller waits for.
type openUpdate struct {
	reply chan fanout.UpdateResult
	span  spans.Span
}

// remote is an update that another entry waits for.
type remote struct {
	link *mesh.Link
	id   uint64
}

// Minted is the answer to Mint.
type Minted struct {
	IDs []dedup.ID
	Err error
}

func (c *Core) update(now clock.Milli, m update) {
	c.last++
	m.req.RequestID = c.last
	if m.budget == 0 {
		m.budget = c.deadline(m.req.Service)
	}
	m.req.Deadline = now + m.budget
	if m.req.ID == (dedup.ID{}) {
		ids, err := c.fan.Mint(now, 1)
		if err != nil {
			m.reply <- fanout.UpdateResult{Kind: query.NotRun, Reason: query.ReasonNotReady}
			return
		}
		m.req.ID = ids[0]
	}
	span := c.Tracer.Start(m.trace, "update",
		attribute.String("service", m.req.Service), attribute.String("id", m.req.ID.String()))
	c.updates[c.last] = &openUpdate{reply: m.reply, span: span}
	c.act(now, c.fan.StartUpdate(now, m.req))
}

func (c *Core) sendUpdate(now clock.Milli, a fanout.SendUpdate) {
	trace := ""
	if u := c.updates[a.Update.RequestID]; u != nil {
		trace = u.span.Parent()
	}
	l := c.aggs[a.Host]
	if l != nil && c.node.Send(l, updateTo(a, max(0, a.Update.Deadline-now), trace)) {
		return
	}
	c.act(now, c.fan.UpdateDone(now, a.Call, fanout.UpdateResult{Kind: query.NotRun, Reason: query.ReasonBusy}))
}

// forward hands an update to the entry that minted its id, dialing it first if
// need be.
func (c *Core) forward(now clock.Milli, a fanout.Forward) {
	if l := c.entries[a.Host]; l != nil {
		if !c.node.Send(l, forwardTo(a.Update, max(0, a.Update.Deadline-now))) {
			c.act(now, c.fan.ForwardFailed(a.Update.RequestID))
		}
		return
	}
	for _, h := range c.node.Hosts() {
		if h.Name == a.Host {
			c.away[a.Host] = append(c.away[a.Host], a.Update)
			c.node.Dial(h.Entry)
			return
		}
	}
	c.act(now, c.fan.ForwardDone(a.Update.RequestID, fanout.UpdateResult{
		Kind: query.Unknown, Reason: query.ReasonOwnerGone,
	}))
}

func (c *Core) updated(a fanout.UpdateAnswered) {
	c.Meter.Count("updates", 1, meter.Label{Name: "result", Value: a.Result.Kind.String()},
		meter.Label{Name: "reason", Value: string(a.Result.Reason)})
	if r, ok := c.remote[a.RequestID]; ok {
		delete(c.remote, a.RequestID)
		c.node.Send(r.link, updateReplyTo(r.id, a.Result))
		return
	}
	u := c.updates[a.RequestID]
	if u == nil {
		return
	}
	delete(c.updates, a.RequestID)
	u.span.Set(attribute.String("result", a.Result.Kind.String()), attribute.String("reason", string(a.Result.Reason)))
	u.span.End()
	u.reply <- a.Result
}

// Update runs an update.
func (c *Core) Update(req fanout.Update, budget clock.Milli, trace string) (fanout.UpdateResult, bool) {
	m := update{req: req, budget: budget, trace: trace, reply: make(chan fanout.UpdateResult, 1)}
	if !c.loop.Post(m) {
		return fanout.UpdateResult{}, false
	}
	return await(m.reply, budget)
}

// Mint returns new ids.
func (c *Core) Mint(count int) (Minted, bool) {
	m := mint{count: count, reply: make(chan Minted, 1)}
	if !c.loop.Post(m) {
		return Minted{}, false
	}
	return await(m.reply, clock.Second)
}

// forwarded takes an update whose id this host is said to have minted. It is
// never forwarded again.
func (c *Core) forwarded(now clock.Milli, l *mesh.Link, w *wire.Update) {
	id, err := dedup.Parse(w.GetTicket())
	if err != nil || id.Host != c.Settings.Host.Name {
		c.node.Send(l, updateReplyTo(w.GetId(), fanout.UpdateResult{Kind: query.Unknown, Reason: query.ReasonOwnerGone}))
		return
	}
	c.last++
	c.remote[c.last] = remote{link: l, id: w.GetId()}
	c.act(now, c.fan.StartUpdate(now, fanout.Update{
		RequestID: c.last, ID: id, Service: w.GetService(), Operation: w.GetOperation(),
		Key: w.GetKey(), Body: w.GetBody(), Deadline: now + clock.Milli(w.GetBudgetMs()),
	}))
}
