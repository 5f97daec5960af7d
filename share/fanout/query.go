package fanout

import (
	"strconv"

	"dandelionstile/share/clock"
	"dandelionstile/share/invent"
	"dandelionstile/share/poison"
	"dandelionstile/share/query"
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
	pin         invent.Pin
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

// Start takes a query. The answer may come at once.
func (e *Engine) Start(now clock.Milli, r Request) []Action {
	e.init()
	e.now = now
	s := e.services[r.Service]
	if s == nil {
		return refused(r.ID, query.ReasonNotReady, lonelyAdvice)
	}
	fingerprint := poison.Fingerprint(r.Service, r.Text)
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
	if !e.Policy.NoCanary && (e.strikes.Struck(fingerprint) || !e.good.Has(q.proof())) {
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

// maxWaits is how often a shard waits for room before it is given up.
const maxWaits = 3

// maxCanaries is how many leafs may run a query before one has answered it, and
// so how many servers a query that crashes them can bring down.
const maxCanaries = 2

// proof names the query on the snapshot that it is pinned to.
func (q *running) proof() poison.Proof {
	return poison.Proof{Fingerprint: q.fingerprint, Layout: q.pin.Layout, Version: q.pin.Version}
}

// lonelyAdvice is when to come back to a host that is not ready yet.
const lonelyAdvice = 500 * clock.Milli(1)

func refused(id uint64, why query.Reason, wait clock.Milli) []Action {
	return []Action{Answered{Query: id, Answer: query.Answer{Refused: why, RetryAfter: wait}}}
}

func (q *running) pinTo(pin invent.Pin, shards int) {
	q.past, _ = q.load()
	q.pin = pin
	q.pins++
	q.rows = nil
	q.first = 0
	q.shards = make([]shard, shards)
	q.open = shards
}

// sendCanary sends the query to one leaf before all others see it.
func (e *Engine) sendCanary(now clock.Milli, q *running) ([]Action, bool) {
	c, shard, ok := e.canaryLeaf(now, q)
	if !ok {
		return nil, false
	}
	q.canaries++
	q.canaryTries++
	b := batches{}
	e.send(now, q, shard, c, true, EventCanary, &b)
	return b.actions(), true
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
	b.add(q, c.host, CallSpec{ID: e.lastCall, Leaf: c.leaf.name, Shard: i, Canary: canary, Again: q.deaths > 0})
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

// Outcome takes the final word on a call. A late one, whose query has its
// answer or was pinned anew, changes nothing.
func (e *Engine) Outcome(now clock.Milli, o query.Outcome) []Action {
	if o.Feedback != nil {
		e.Feedback(*o.Feedback)
	}
	a := e.attempts[o.Call]
	if a == nil {
		return nil
	}
	delete(e.attempts, o.Call)
	a.leaf.flying--
	e.now = now
	h := e.host(a.host)
	h.flying--
	h.heard = now
	q := a.query
	q.landed(a)
	st := &q.shards[a.shard]
	st.flying--
	if o.Kind == query.NotRun {
		st.reached--
	}
	if q.done || st.settled {
		return nil
	}
	if o.Kind == query.OK {
		return e.succeeded(now, q, a, o)
	}
	return e.failed(now, q, a, o)
}

func (e *Engine) succeeded(now clock.Milli, q *running, a *attempt, o query.Outcome) []Action {
	took := now - a.sent
	q.service.timing.record(now, took)
	a.leaf.learn(now, took)
	q.rows = append(q.rows, o.Rows...)
	e.settle(now, q, a.shard, query.ReasonNone)
	e.beaten(now, q, a.shard)
	out := e.cancelShard(q, a.shard)
	if q.canary {
		e.good.Add(q.proof())
		return append(out, e.fan(now, q)...)
	}
	return append(out, e.complete(now, q)...)
}

// learn smooths the usual time of a leaf.
func (f *leaf) learn(now, took clock.Milli) {
	f.learnt = now
	if f.usual == 0 {
		f.usual = float64(took)
		return
	}
	f.usual += (float64(took) - f.usual) / 8
}

// settle ends a shard: with a result when the reason is none.
func (e *Engine) settle(now clock.Milli, q *running, i int, why query.Reason) {
	st := &q.shards[i]
	if st.settled {
		return
	}
	st.settled = true
	st.missing = why
	q.open--
	if why != query.ReasonNone {
		q.note(now, Step{Event: EventMissing, Shard: i, Cause: why})
	}
}

// cancelShard cancels the calls of a shard that are still out.
func (e *Engine) cancelShard(q *running, shard int) []Action {
	if q.shards[shard].flying == 0 {
		return nil
	}
	return e.cancel(q, func(a *attempt) bool { return a.shard == shard })
}

// beaten learns from calls of a shard that another call has overtaken: they
// took at least as long as they have run. Else a straggler whose calls are
// always overtaken would keep the reputation it had before.
func (e *Engine) beaten(now clock.Milli, q *running, shard int) {
	for _, a := range q.flying {
		if a.shard == shard && float64(now-a.sent) > a.leaf.usual {
			a.leaf.learn(now, now-a.sent)
		}
	}
}

// cancelAll cancels all calls of a query that are still out.
func (e *Engine) cancelAll(q *running) []Action {
	return e.cancel(q, func(*attempt) bool { return true })
}

func (e *Engine) cancel(q *running, match func(*attempt) bool) []Action {
	byHost := map[string][]uint64{}
	kept := q.flying[:0]
	for _, a := range q.flying {
		if !match(a) {
			kept = append(kept, a)
			continue
		}
		byHost[a.host] = append(byHost[a.host], a.id)
		a.leaf.flying--
		e.host(a.host).flying--
		q.shards[a.shard].flying--
		delete(e.attempts, a.id)
	}
	q.flying = kept
	return cancelActions(byHost)
}

// landed takes an attempt off its query's list.
func (q *running) landed(a *attempt) {
	for i, other := range q.flying {
		if other == a {
			last := len(q.flying) - 1
			q.flying[i] = q.flying[last]
			q.flying = q.flying[:last]
			return
		}
	}
}

// failed decides what follows a call without a result.
func (e *Engine) failed(now clock.Milli, q *running, a *attempt, o query.Outcome) []Action {
	st := &q.shards[a.shard]
	if o.Reason == query.ReasonProven {
		return e.provenElsewhere(now, q, a)
	}
	st.last = o.Reason
	q.note(now, Step{Event: EventFailed, Shard: a.shard, Leaf: a.leaf.name, Host: a.host, Cause: o.Reason})
	switch {
	case o.Kind == query.Died:
		e.died(now, q.fingerprint, o.Strikes, o.RetryAfter)
		return e.crashed(now, q)
	case o.Reason == query.ReasonQuarantined && q.deaths > 0 && q.canary:
		// Its own first canary's death was heard of there before the second ran.
		return e.canaryFailed(now, q, o)
	case o.Reason == query.ReasonQuarantined:
		left := max(o.RetryAfter, e.strikes.Get(now, q.fingerprint).Left, poison.Suspect)
		return e.answerRefused(now, q, query.ReasonQuarantined, left)
	case q.canary:
		return e.canaryFailed(now, q, o)
	case st.flying > 0:
		return nil // a hedge is still out
	}
	b := batches{}
	if e.retry(now, q, a, o, &b) {
		return b.actions()
	}
	if wait, again := e.waits(now, q, st, o); again {
		st.retryAt = now + wait
		return nil
	}
	if o.Reason == query.ReasonSnapshot || o.Reason == query.ReasonNoReplica {
		if out, ok := e.repin(now, q); ok {
			return out
		}
	}
	e.settle(now, q, a.shard, st.last)
	return e.complete(now, q)
}

// provenElsewhere takes an aggregator's word that a leaf has survived the query
// before: it goes out to all shards, and to the leaf that did not have to run
// the canary.
func (e *Engine) provenElsewhere(now clock.Milli, q *running, a *attempt) []Action {
	st := &q.shards[a.shard]
	delete(st.tried, a.leaf.name)
	e.good.Add(q.proof())
	if q.canary {
		return e.fan(now, q)
	}
	b := batches{}
	if list := e.candidates(now, q, a.shard); len(list) > 0 && st.flying == 0 {
		e.send(now, q, a.shard, e.choose(list), false, EventSent, &b)
	}
	return b.actions()
}

// canaryFailed moves the canary to another leaf. A leaf that refused has not
// run it and proves nothing; but only two may ever have run it.
func (e *Engine) canaryFailed(now clock.Milli, q *running, o query.Outcome) []Action {
	if !o.Kind.Ran() || o.Reason == query.ReasonSilent {
		// A connection that went silent says nothing of the request: a server
		// that it had brought down would have closed the connection.
		q.canaries--
	}
	if len(q.flying) > 0 {
		return nil
	}
	if q.canaries < maxCanaries && q.canaryTries < maxTries {
		if out, sent := e.sendCanary(now, q); sent {
			return out
		}
	}
	return e.answerPartial(now, q, o.Reason)
}

// retry asks another replica, or the same leaf through its other candidate.
func (e *Engine) retry(now clock.Milli, q *running, a *attempt, o query.Outcome, b *batches) bool {
	st := &q.shards[a.shard]
	if now >= q.until || st.tries >= maxTries+e.Policy.FixedRetries {
		return false
	}
	if c, ok := e.sidestep(now, q, a, o); ok {
		e.send(now, q, a.shard, c, false, EventRetried, b)
		return true
	}
	list := e.candidates(now, q, a.shard)
	if len(list) == 0 {
		return false
	}
	// A call that never reached a leaf costs leafs nothing when it is made
	// again; all others draw on the budget.
	if o.Kind != query.NotRun && !e.extra(q.service) {
		q.note(now, Step{Event: EventHeld, Shard: a.shard, Cause: o.Reason})
		st.last = o.Reason
		return false
	}
	e.send(now, q, a.shard, e.choose(list), false, EventRetried, b)
	return true
}

// sidestep reaches the same leaf through its other candidate, when the first
// refused for reasons of its own.
func (e *Engine) sidestep(now clock.Milli, q *running, a *attempt, o query.Outcome) (candidate, bool) {
	if o.Kind != query.NotRun {
		return candidate{}, false
	}
	switch o.Reason {
	case query.ReasonNotOwner, query.ReasonLeaving, query.ReasonWaking, query.ReasonCold, query.ReasonBusy:
	default:
		return candidate{}, false
	}
	st := &q.shards[a.shard]
	if st.hosts == nil {
		st.hosts = map[string]bool{}
	}
	st.hosts[a.host] = true
	return e.candidate(now, a.leaf, st.hosts)
}

// extra takes one extra call from the budget.
func (e *Engine) extra(s *service) bool {
	return e.Policy.FixedRetries > 0 || s.budget.spend(1)
}

// waits tells whether a shard is to be asked again a little later: nothing ran,
// and the cause passes within moments. A leaf that changes hands or warms up is
// waited for by all services; one without room only by those that weigh coverage
// above all.
func (e *Engine) waits(now clock.Milli, q *running, st *shard, o query.Outcome) (clock.Milli, bool) {
	if o.Kind != query.NotRun || st.waits >= maxWaits {
		return 0, false
	}
	switch o.Reason {
	case query.ReasonCold, query.ReasonWaking, query.ReasonNotOwner, query.ReasonLeaving, query.ReasonBusy:
	case query.ReasonQueueFull:
		if q.service.Patience < 100 {
			return 0, false
		}
	default:
		return 0, false
	}
	wait := max(waitLeast, min(o.RetryAfter, waitMost))
	if now+wait >= q.until {
		return 0, false
	}
	st.waits++
	return wait, true
}

// waitLeast and waitMost bound one wait.
const (
	waitLeast clock.Milli = 10
	waitMost  clock.Milli = 50
)

// repin starts a query over on the snapshot that is now best, when its own is
// gone. What it gathered is thrown away: an answer rests on one snapshot.
func (e *Engine) repin(now clock.Milli, q *running) ([]Action, bool) {
	q.service.dirty = true
	pin, ok := e.choosePin(q.service)
	late := now-q.arrived > (q.until-q.arrived)/2
	if !ok || pin == q.pin || q.pins > 1 || late {
		return nil, false
	}
	if !q.service.budget.spend(min(budgetBurst, float64(q.first))) {
		return nil, false
	}
	out := e.cancelAll(q)
	q.note(now, Step{Event: EventRepinned, Cause: query.Reason(pin.String())})
	q.pinTo(pin, len(q.service.shards[pin.Layout]))
	return append(out, e.fan(now, q)...), true
}

// crashed follows the death of a server under a query's canary. One server may
// have died for another reason, so the query gets a second canary; when that
// dies too, it is quarantined. In between, and before it is refused, the peers
// are told, so that a resend through another host does not run meanwhile.
func (e *Engine) crashed(now clock.Milli, q *running) []Action {
	q.deaths++
	strike := e.strikes.Get(now, q.fingerprint)
	if q.deaths >= maxCanaries && strike.Count < maxCanaries {
		// Each server's aggregator counts one crash and cannot know of the
		// other's.
		strike.Count, strike.Left = maxCanaries, poison.Quarantine
		e.strikes.Merge(now, strike)
	}
	if strike.Count < maxCanaries && len(q.flying) > 0 {
		return []Action{ShareStrike{Strike: strike}} // the other canary decides
	}
	q.struck = true
	q.strikeUntil = now + strikeWait
	return append(e.cancelAll(q), ShareStrike{Query: q.ID, Strike: strike})
}

// died takes a crash report. The aggregators count; an entry only learns, or one
// crash would count twice.
func (e *Engine) died(now clock.Milli, fingerprint uint64, strikes int, left clock.Milli) {
	e.strikes.Merge(now, poison.Strike{Fingerprint: fingerprint, Count: max(1, strikes), Left: left})
	e.good.Drop(fingerprint)
}

// Shared says that the peers know of a query's strike.
func (e *Engine) Shared(now clock.Milli, id uint64) []Action {
	q := e.queries[id]
	if q == nil || !q.struck {
		return nil
	}
	strike := e.strikes.Get(now, q.fingerprint)
	if strike.Count < maxCanaries && q.canaries < maxCanaries && now < q.until {
		if out, sent := e.sendCanary(now, q); sent {
			q.struck = false
			return out
		}
	}
	return e.answerRefused(now, q, query.ReasonCrashed, strike.Left)
}

// complete answers a query when no shard is open.
func (e *Engine) complete(now clock.Milli, q *running) []Action {
	if q.open > 0 || q.done || q.struck {
		return nil
	}
	return e.answer(now, q)
}

// answerPartial settles all open shards and answers.
func (e *Engine) answerPartial(now clock.Milli, q *running, why query.Reason) []Action {
	for i := range q.shards {
		st := &q.shards[i]
		if st.settled {
			continue
		}
		reason := why
		if st.last != query.ReasonNone && st.flying == 0 {
			reason = st.last
		}
		e.settle(now, q, i, reason)
	}
	return e.answer(now, q)
}

// answer counts coverage over the shards of the pinned partition map, one by
// one; it is never inferred from what came back.
func (e *Engine) answer(now clock.Milli, q *running) []Action {
	out := e.cancelAll(q)
	c := query.Coverage{Shards: len(q.shards)}
	for i := range q.shards {
		if q.shards[i].missing == query.ReasonNone && q.shards[i].settled {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, query.Missing{Shard: i, Reason: q.shards[i].missing})
	}
	e.forget(now, q, c)
	calls, extra := q.load()
	return append(out, Answered{Query: q.ID, Trail: q.trail, Answer: query.Answer{
		Pin: q.pin, Rows: query.Merge(q.rows, q.Limit), Coverage: c, Calls: calls, Extra: extra,
	}})
}

func (e *Engine) answerRefused(now clock.Milli, q *running, why query.Reason, wait clock.Milli) []Action {
	out := e.cancelAll(q)
	q.note(now, Step{Event: EventRefused, Cause: why})
	e.forget(now, q, query.Coverage{})
	calls, extra := q.load()
	return append(out, Answered{Query: q.ID, Trail: q.trail, Answer: query.Answer{
		Refused: why, RetryAfter: wait, Calls: calls, Extra: extra,
	}})
}

// load counts the leaf calls of a query, and those beyond the first per shard.
func (q *running) load() (calls, extra int) {
	calls, extra = q.past, q.past
	for i := range q.shards {
		calls += q.shards[i].reached
		extra += max(0, q.shards[i].reached-1)
	}
	return calls, extra
}

func (e *Engine) forget(now clock.Milli, q *running, c query.Coverage) {
	q.done = true
	q.service.door.leave(now, q.Caller, c)
	delete(e.queries, q.ID)
}

// Abandon gives up on a query whose caller is gone.
func (e *Engine) Abandon(now clock.Milli, id uint64) []Action {
	q := e.queries[id]
	if q == nil {
		return nil
	}
	out := e.cancelAll(q)
	e.forget(now, q, query.Coverage{})
	return out
}

// Idle tells whether no query or update is under way.
func (e *Engine) Idle() bool { return len(e.queries) == 0 && e.updates.idle() }

// Tick runs what is due: answers, retries and hedges. Call it every few
// milliseconds.
func (e *Engine) Tick(now clock.Milli) []Action {
	e.init()
	e.now = now
	var out []Action
	kept := e.order[:0]
	for _, q := range e.order {
		if !q.done {
			out = append(out, e.tick(now, q)...)
		}
		if !q.done {
			kept = append(kept, q)
		}
	}
	clear(e.order[len(kept):])
	e.order = kept
	return append(out, e.tickUpdates(now)...)
}

func (e *Engine) tick(now clock.Milli, q *running) []Action {
	if q.struck {
		if now >= q.strikeUntil {
			return e.Shared(now, q.ID)
		}
		return nil
	}
	if now >= q.until {
		why := query.ReasonDeadline
		if q.service.Patience < 100 {
			why = query.ReasonPatience
		}
		return e.answerPartial(now, q, why)
	}
	if q.canary {
		return e.hedgeCanary(now, q)
	}
	b := batches{}
	delay := q.service.timing.delay(now, e.hedgeQuantile())
	for i := range q.shards {
		st := &q.shards[i]
		if st.settled {
			continue
		}
		if st.retryAt != 0 && now >= st.retryAt {
			e.again(now, q, i, &b)
			continue
		}
		if st.flying == 1 && !st.hedged && now-st.sentAt >= delay {
			e.hedge(now, q, i, &b)
		}
	}
	return append(b.actions(), e.complete(now, q)...)
}

func (e *Engine) hedgeQuantile() float64 {
	if e.Policy.HedgeQuantile == 0 {
		return defaultHedgeQuantile
	}
	return e.Policy.HedgeQuantile
}

// again asks a shard whose leafs had no room a moment ago.
func (e *Engine) again(now clock.Milli, q *running, i int, b *batches) {
	st := &q.shards[i]
	st.retryAt = 0
	st.tries = 0
	st.tried = nil
	st.hosts = nil
	list := e.candidates(now, q, i)
	if len(list) == 0 {
		e.settle(now, q, i, e.whyMissing(q, i))
		return
	}
	e.send(now, q, i, e.choose(list), false, EventRetried, b)
}

// hedge asks a second replica when a call takes unusually long. Only a leaf
// that seems free is asked, and only while the budget lasts: a hedge that waits
// in a queue helps nobody.
func (e *Engine) hedge(now clock.Milli, q *running, i int, b *batches) {
	if e.Policy.NoHedge {
		return
	}
	st := &q.shards[i]
	list := e.candidates(now, q, i)
	free := list[:0]
	for _, c := range list {
		if c.leaf.free() && now+clock.Milli(c.rtt) < q.until {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return
	}
	st.hedged = true
	if !e.extra(q.service) {
		q.note(now, Step{Event: EventHeld, Shard: i})
		return
	}
	e.send(now, q, i, e.choose(free), false, EventHedged, b)
}

// hedgeCanary sends a second canary when the first takes unusually long. There
// is never a third: a request may bring down two servers at the most.
func (e *Engine) hedgeCanary(now clock.Milli, q *running) []Action {
	if e.Policy.NoHedge || q.canaries >= maxCanaries {
		return nil
	}
	delay := q.service.timing.delay(now, e.hedgeQuantile())
	for i := range q.shards {
		if st := &q.shards[i]; st.flying > 0 && now-st.sentAt < delay {
			return nil
		}
	}
	if !e.extra(q.service) {
		q.canaries = maxCanaries
		return nil
	}
	out, sent := e.sendCanary(now, q)
	if !sent {
		q.canaries = maxCanaries
	}
	return out
}
