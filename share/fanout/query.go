package fanout

import (
	"strconv"

	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// Request is a caller's query.
type Request struct {
	ID       uint64
	Service  string
	Text     string
	Caller   string
	Limit    int
	Deadline clock.Milli
}

// running is a query that has no answer yet.
type running struct {
	Request
	service     *service
	fingerprint uint64
	key         string // the fingerprint as a placement key
	arrived     clock.Milli
	until       clock.Milli // when it is answered with what is there
	pin         topo.SnapshotID
	pins        int // how often it was pinned
	shards      []shard
	open        int // shards without a result or reason
	canary      bool
	canaries    int // canaries that run or have run
	canaryTries int
	flying      []*attempt
	rows        []query.Row
	past        int // calls for pins that were given up
	first       int // shards of the current pin that were asked
	deaths      int // servers that died under its canaries
	struck      bool
	strikeUntil clock.Milli
	done        bool
	trail       []Step
}

// shard is where one shard of a query stands.
type shard struct {
	settled bool
	missing query.Reason // why it has no result; set when settled without one
	tries   int
	reached int // calls that may have reached a leaf
	flying  int
	tried   map[string]bool // leafs asked
	hosts   map[string]bool // aggregators that refused as not the owner
	last    query.Reason
	retryAt clock.Milli
	waits   int
	sentAt  clock.Milli // when the newest attempt was sent
	hedged  bool
}

// attempt is one call that has no outcome yet.
type attempt struct {
	id    uint64
	query *running
	shard int
	leaf  *leaf
	host  string
	sent  clock.Milli
}

func (q *running) note(now clock.Milli, s Step) {
	s.At = now
	q.trail = append(q.trail, s)
}

// StartQuery takes a query. The answer may come at once.
func (e *Engine) StartQuery(now clock.Milli, r Request) []Action {
	e.init()
	e.now = now
	s := e.services[r.Service]
	if s == nil {
		return refused(r.ID, query.ReasonNotReady, lonelyAdvice)
	}
	fingerprint := deny.Fingerprint(r.Service, r.Text)
	if left, blocked := e.strikes.Blocked(now, fingerprint); blocked {
		return refused(r.ID, query.ReasonQuarantined, left)
	}
	pin, ok := e.choosePin(s)
	if !ok {
		return refused(r.ID, query.ReasonNotReady, lonelyAdvice)
	}
	if !s.door.enter(r.Caller, e.Policy.NoBackpressure) {
		return refused(r.ID, query.ReasonOverload, doorAdvice+clock.Milli(e.Random.IntN(int(doorAdvice))))
	}
	q := &running{
		Request: r, service: s, fingerprint: fingerprint,
		key: strconv.FormatUint(fingerprint, 16), arrived: now,
	}
	span := max(0, r.Deadline-now-reserve)
	q.until = now + span*clock.Milli(s.Patience)/100
	e.queries[r.ID] = q
	e.order = append(e.order, q)
	q.note(now, Step{Event: EventPinned, Cause: query.Reason(pin.String())})
	q.pinTo(pin, len(s.shards[pin.Layout]))
	if !e.Policy.NoCanary && (e.strikes.HasStrikes(fingerprint) || !e.good.Has(q.proof())) {
		q.canary = true
		// A server that the query brought down earlier counts as a canary.
		q.canaries = min(e.strikes.Get(now, fingerprint).Count, maxCanaries-1)
		if out, sent := e.sendCanary(now, q); sent {
			if s.Patience < 100 && q.canaries < maxCanaries {
				// The service weighs tail latency: whichever canary is back
				// first lets the rest go.
				more, _ := e.sendCanary(now, q)
				out = append(out, more...)
			}
			return out
		}
		q.canary = false
	}
	return e.fan(now, q)
}

// lonelyAdvice is when to come back to a host that is not ready yet.
const lonelyAdvice = 500 * clock.Milli(1)

func refused(id uint64, why query.Reason, wait clock.Milli) []Action {
	return []Action{Answered{Query: id, Answer: query.Answer{Refused: why, RetryAfter: wait}}}
}

func (q *running) pinTo(pin topo.SnapshotID, shards int) {
	q.past, _ = q.load()
	q.pin = pin
	q.pins++
	q.rows = nil
	q.first = 0
	q.shards = make([]shard, shards)
	q.open = shards
}

// fan asks all shards that have no result yet and no call under way.
func (e *Engine) fan(now clock.Milli, q *running) []Action {
	q.canary = false
	b := batches{}
	for i := range q.shards {
		st := &q.shards[i]
		if st.settled || st.flying > 0 {
			continue
		}
		list := e.candidates(now, q, i)
		if len(list) == 0 {
			e.settle(now, q, i, e.whyMissing(q, i))
			continue
		}
		e.send(now, q, i, e.choose(list), false, EventSent, &b)
	}
	q.service.budget.earn(q.first, e.budgetPercent())
	return append(b.actions(), e.complete(now, q)...)
}

func (e *Engine) budgetPercent() int {
	if e.Policy.BudgetPercent == 0 {
		return defaultBudgetPercent
	}
	return e.Policy.BudgetPercent
}

func (e *Engine) whyMissing(q *running, shard int) query.Reason {
	if last := q.shards[shard].last; last != query.ReasonNone {
		return last
	}
	return e.whyNone(q.service.shards[q.pin.Layout][shard])
}

// send adds a call to a batch.
func (e *Engine) send(now clock.Milli, q *running, i int, c candidate, canary bool, ev Event, b *batches) {
	st := &q.shards[i]
	if st.tried == nil {
		st.tried = map[string]bool{}
	}
	if st.reached == 0 {
		q.first++
	}
	st.tried[c.leaf.name] = true
	st.tries++
	st.reached++
	st.flying++
	st.sentAt = now
	st.retryAt = 0
	c.leaf.flying++
	e.host(c.host).send(now)
	e.lastCall++
	a := &attempt{id: e.lastCall, query: q, shard: i, leaf: c.leaf, host: c.host, sent: now}
	e.attempts[a.id] = a
	q.flying = append(q.flying, a)
	if ev != EventSent {
		q.note(now, Step{Event: ev, Shard: i, Leaf: c.leaf.name, Host: c.host, Cause: st.last})
	}
	b.add(q, c.host, CallSpec{ID: e.lastCall, Leaf: c.leaf.name, Shard: i, Canary: canary, SecondCanary: q.deaths > 0})
}

// batches gathers a query's calls by aggregator.
type batches struct {
	list []SendBatch
}

func (b *batches) add(q *running, host string, c CallSpec) {
	for i := range b.list {
		if b.list[i].Host == host && b.list[i].Query == q.ID {
			b.list[i].Calls = append(b.list[i].Calls, c)
			return
		}
	}
	b.list = append(b.list, SendBatch{
		Host: host, Query: q.ID, Service: q.Service, Text: q.Text, Caller: q.Caller, Pin: q.pin,
		Limit: q.Limit, Deadline: q.Deadline, Fingerprint: q.fingerprint, Calls: []CallSpec{c},
	})
}

func (b *batches) actions() []Action {
	out := make([]Action, len(b.list))
	for i := range b.list {
		out[i] = b.list[i]
	}
	return out
}
