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

// openUpdate is an update of a caller of this entry that is not answered yet.
type openUpdate struct {
	reply chan fanout.UpdateResult
	span  spans.Span
}

// forwardedUpdate is an update that another entry has forwarded to this one.
type forwardedUpdate struct {
	link *mesh.Link
	id   uint64
}

// MintResult holds new IDs, or the reason why there are none.
type MintResult struct {
	IDs []dedup.ID
	Err error
}

// startUpdate gives an update its request ID, deadline and span, and starts it. An
// update without an ID gets a new one.
func (c *Core) startUpdate(now clock.Milli, m startUpdate) {
	c.lastID++
	m.req.RequestID = c.lastID
	if m.budget == 0 {
		m.budget = c.defaultBudget(m.req.Service)
	}
	m.req.Deadline = now + m.budget
	if m.req.ID == (dedup.ID{}) {
		ids, err := c.fanout.Mint(now, 1)
		if err != nil {
			m.reply <- fanout.UpdateResult{Kind: query.NotRun, Reason: query.ReasonNotReady}
			return
		}
		m.req.ID = ids[0]
	}
	span := c.Tracer.Start(m.trace, "update",
		attribute.String("service", m.req.Service), attribute.String("id", m.req.ID.String()))
	c.updates[c.lastID] = &openUpdate{reply: m.reply, span: span}
	c.execute(now, c.fanout.StartUpdate(now, m.req))
}

// sendUpdate sends an update to an aggregator. If that fails, it ends as not run.
func (c *Core) sendUpdate(now clock.Milli, a fanout.SendUpdate) {
	trace := ""
	if u := c.updates[a.Update.RequestID]; u != nil {
		trace = u.span.Traceparent()
	}
	l := c.aggregators[a.Host]
	if l != nil && c.node.Send(l, encodeUpdate(a, max(0, a.Update.Deadline-now), trace)) {
		return
	}
	c.execute(now, c.fanout.UpdateDone(now, a.Call, fanout.UpdateResult{Kind: query.NotRun, Reason: query.ReasonBusy}))
}

// forward sends an update to the entry that minted its ID. Without a link it dials that
// entry first. If the entry's host is not in the host list, the outcome is unknown, since
// an earlier request with the same ID may have run there.
func (c *Core) forward(now clock.Milli, a fanout.Forward) {
	if l := c.entries[a.Host]; l != nil {
		if !c.node.Send(l, encodeForward(a.Update, max(0, a.Update.Deadline-now))) {
			c.execute(now, c.fanout.ForwardFailed(a.Update.RequestID))
		}
		return
	}
	for _, h := range c.node.Hosts() {
		if h.Name == a.Host {
			c.pendingForwards[a.Host] = append(c.pendingForwards[a.Host], a.Update)
			c.node.Dial(h.Entry)
			return
		}
	}
	c.execute(now, c.fanout.ForwardDone(a.Update.RequestID, fanout.UpdateResult{
		Kind: query.Unknown, Reason: query.ReasonOwnerGone,
	}))
}

// answerUpdate returns the result of an update to the caller, or to the entry that
// forwarded the update.
func (c *Core) answerUpdate(a fanout.UpdateAnswered) {
	c.Meter.Count("updates", 1, meter.Label{Name: "result", Value: a.Result.Kind.String()},
		meter.Label{Name: "reason", Value: string(a.Result.Reason)})
	if r, ok := c.forwarded[a.RequestID]; ok {
		delete(c.forwarded, a.RequestID)
		c.node.Send(r.link, encodeUpdateReply(r.id, a.Result))
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

// Update runs an update. A budget of 0 selects the service's default. The second
// result is false if the loop has ended or doesn't reply in time.
func (c *Core) Update(req fanout.Update, budget clock.Milli, trace string) (fanout.UpdateResult, bool) {
	m := startUpdate{req: req, budget: budget, trace: trace, reply: make(chan fanout.UpdateResult, 1)}
	if !c.loop.Post(m) {
		return fanout.UpdateResult{}, false
	}
	return await(m.reply, budget)
}

// Mint returns new IDs. The second result is false if the loop has ended or doesn't
// reply in time.
func (c *Core) Mint(count int) (MintResult, bool) {
	m := mintIDs{count: count, reply: make(chan MintResult, 1)}
	if !c.loop.Post(m) {
		return MintResult{}, false
	}
	return await(m.reply, clock.Second)
}

// handleForwarded runs an update that another entry has forwarded to this one. It never
// forwards the update again: if this host did not mint the ID, the outcome is unknown.
func (c *Core) handleForwarded(now clock.Milli, l *mesh.Link, w *wire.Update) {
	id, err := dedup.Parse(w.GetTicket())
	if err != nil || id.Host != c.Settings.Host.Name {
		c.node.Send(l, encodeUpdateReply(w.GetId(), fanout.UpdateResult{Kind: query.Unknown, Reason: query.ReasonOwnerGone}))
		return
	}
	c.lastID++
	c.forwarded[c.lastID] = forwardedUpdate{link: l, id: w.GetId()}
	c.execute(now, c.fanout.StartUpdate(now, fanout.Update{
		RequestID: c.lastID, ID: id, Service: w.GetService(), Operation: w.GetOperation(),
		Key: w.GetKey(), Body: w.GetBody(), Deadline: now + clock.Milli(w.GetBudgetMs()),
	}))
}
