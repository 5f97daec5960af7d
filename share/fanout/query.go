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
	Limit    int // of rows in the answer
	Deadline clock.Milli
}

// activeQuery is a query that has not been answered yet.
type activeQuery struct {
	Request
	service        *service
	fingerprint    uint64
	key            string // the fingerprint in hexadecimal, for rendezvous hashing
	arrived        clock.Milli
	answerBy       clock.Milli     // when it is answered with the results so far
	pin            topo.SnapshotID // the snapshot that it runs on
	pinCount       int             // how often it was pinned
	shards         []shardState
	openShards     int  // shards that are not settled
	canaryPhase    bool // only canaries are sent; the other calls wait for one to succeed
	canaries       int  // canaries that are running or may have run; maxCanaries if no more may be sent
	canaryAttempts int  // canaries sent, also those that were rejected
	inFlight       []*attempt
	rows           []query.Row
	priorCalls     int         // calls for former pins
	firstCalls     int         // calls for the current pin to shards whose former calls, if any, were all NotRun
	crashes        int         // servers that crashed under its canaries
	sharingStrike  bool        // the answer or next canary waits for StrikeShared
	strikeDeadline clock.Milli // when it stops waiting
	done           bool
	steps          []Step
}

// shardState is the state of one shard of a query.
type shardState struct {
	settled       bool         // has a result or was given up
	missingReason query.Reason // why it has no result; set when settled without one
	attempts      int          // calls since the last wait, also those that did not run
	reached       int          // calls without an outcome, or with another than NotRun
	inFlight      int
	tried         map[string]bool // leaves that were called since the last wait
	rejectedBy    map[string]bool // aggregators that rejected a call since then for reasons of their own
	lastReason    query.Reason    // why the last call failed
	retryAt       clock.Milli     // when to retry after a wait; 0 if not waiting
	waits         int             // how often it was retried after a wait
	sentAt        clock.Milli     // when the latest attempt was sent
	hedged        bool            // a hedge was sent, or withheld by the budget; there is no other
}

// attempt is a call without an outcome yet.
type attempt struct {
	id     uint64
	query  *activeQuery
	shard  int
	leaf   *leaf
	host   string
	sentAt clock.Milli
}

func (q *activeQuery) addStep(now clock.Milli, s Step) {
	s.At = now
	q.steps = append(q.steps, s)
}

// StartQuery starts a query: it is refused, or pinned to a snapshot and sent to
// canaries or to all shards. The answer may be among the returned actions.
func (e *Engine) StartQuery(now clock.Milli, r Request) []Action {
	e.init()
	e.now = now
	s := e.services[r.Service]
	if s == nil {
		return refuse(r.ID, query.ReasonNotReady, defaultRetryAfter)
	}
	fingerprint := deny.Fingerprint(r.Service, r.Text)
	if left, blocked := e.strikes.Blocked(now, fingerprint); blocked {
		return refuse(r.ID, query.ReasonQuarantined, left)
	}
	pin, ok := e.choosePin(s)
	if !ok {
		return refuse(r.ID, query.ReasonNotReady, defaultRetryAfter)
	}
	if !s.admission.admit(r.Caller, e.Policy.NoBackpressure) {
		// The random part spreads the retries of the rejected callers.
		return refuse(r.ID, query.ReasonOverload, overloadRetryAfter+clock.Milli(e.Random.IntN(int(overloadRetryAfter))))
	}
	q := &activeQuery{
		Request: r, service: s, fingerprint: fingerprint,
		key: strconv.FormatUint(fingerprint, 16), arrived: now,
	}
	// Patience is the part of the time, in percent, after which a partial answer is
	// returned.
	timeLeft := max(0, r.Deadline-now-replyReserve)
	q.answerBy = now + timeLeft*clock.Milli(s.Patience)/100
	e.queries[r.ID] = q
	e.arrivals = append(e.arrivals, q)
	q.addStep(now, Step{Event: EventPinned, Cause: query.Reason(pin.String())})
	q.pinTo(pin, len(s.shards[pin.Layout]))
	if !e.Policy.NoCanary && (e.strikes.HasStrikes(fingerprint) || !e.proven.Has(q.provenKey())) {
		q.canaryPhase = true
		// A server that the query crashed earlier counts as a canary, but one
		// canary may still be sent.
		q.canaries = min(e.strikes.Get(now, fingerprint).Count, maxCanaries-1)
		if out, sent := e.sendCanary(now, q); sent {
			if s.Patience < 100 && q.canaries < maxCanaries {
				// The service favors tail latency: the first canary to return
				// releases the other calls.
				parallelCanary, _ := e.sendCanary(now, q)
				out = append(out, parallelCanary...)
			}
			return out
		}
		q.canaryPhase = false // no leaf can run a canary
	}
	return e.fanOut(now, q)
}

// defaultRetryAfter is the Retry-After of a host that is not ready yet and of
// updates without a result.
const defaultRetryAfter = 500 * clock.Milli(1)

// refuse answers a query that was not started.
func refuse(id uint64, reason query.Reason, wait clock.Milli) []Action {
	return []Action{Answered{Query: id, Answer: query.Answer{Refused: reason, RetryAfter: wait}}}
}

// pinTo pins a query to a snapshot and discards its results and the state of its shards
// for the former pin.
func (q *activeQuery) pinTo(pin topo.SnapshotID, shards int) {
	q.priorCalls, _ = q.callCounts()
	q.pin = pin
	q.pinCount++
	q.rows = nil
	q.firstCalls = 0
	q.shards = make([]shardState, shards)
	q.openShards = shards
}

// fanOut ends the canary phase: it calls a leaf for every open shard without a call
// in flight, gives up the shards that no leaf can serve, and answers the query if
// none is left open. The first calls earn budget.
func (e *Engine) fanOut(now clock.Milli, q *activeQuery) []Action {
	q.canaryPhase = false
	b := batches{}
	for i := range q.shards {
		st := &q.shards[i]
		if st.settled || st.inFlight > 0 {
			continue
		}
		list := e.candidates(now, q, i)
		if len(list) == 0 {
			e.settle(now, q, i, e.missingReason(q, i))
			continue
		}
		e.addCall(now, q, i, e.choose(list), false /* canary */, EventSent, &b)
	}
	q.service.budget.earn(q.firstCalls, e.budgetPercent())
	return append(b.actions(), e.answerIfComplete(now, q)...)
}

func (e *Engine) budgetPercent() int {
	if e.Policy.BudgetPercent == 0 {
		return defaultBudgetPercent
	}
	return e.Policy.BudgetPercent
}

// missingReason returns why a shard has no result: the reason of its last failed
// call, or else why no replica can be called.
func (e *Engine) missingReason(q *activeQuery, shard int) query.Reason {
	if lastReason := q.shards[shard].lastReason; lastReason != query.ReasonNone {
		return lastReason
	}
	return e.noReplicaReason(q.service.shards[q.pin.Layout][shard])
}

// addCall adds a call to a batch and counts it as in flight.
func (e *Engine) addCall(now clock.Milli, q *activeQuery, shard int, c candidate, canary bool, event Event, b *batches) {
	st := &q.shards[shard]
	if st.tried == nil {
		st.tried = map[string]bool{}
	}
	if st.reached == 0 {
		q.firstCalls++
	}
	st.tried[c.leaf.name] = true
	st.attempts++
	st.reached++
	st.inFlight++
	st.sentAt = now
	st.retryAt = 0
	c.leaf.inFlight++
	e.host(c.host).recordSend(now)
	e.lastCall++
	a := &attempt{id: e.lastCall, query: q, shard: shard, leaf: c.leaf, host: c.host, sentAt: now}
	e.attempts[a.id] = a
	q.inFlight = append(q.inFlight, a)
	if event != EventSent { // calls that are no canary, retry or hedge are not recorded
		q.addStep(now, Step{Event: event, Shard: shard, Leaf: c.leaf.name, Host: c.host, Cause: st.lastReason})
	}
	b.add(q, c.host, CallSpec{ID: e.lastCall, Leaf: c.leaf.name, Shard: shard, Canary: canary, SecondCanary: q.crashes > 0})
}

// batches groups the calls of a query by aggregator.
type batches struct {
	list []SendBatch
}

func (b *batches) add(q *activeQuery, host string, c CallSpec) {
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
