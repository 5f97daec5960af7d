package sched

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// Submit takes a new call. It is answered at once, put on a connection, or
// queued for a short while.
func (e *Engine) Submit(now clock.Milli, c Call) []Action {
	e.init(now)
	f := e.leafs[c.Leaf]
	if f == nil {
		return []Action{refuse(c.Key, query.ReasonNotOwner, 0)}
	}
	if why, wait := e.refusal(now, f, c); why != query.ReasonNone {
		r := refuse(c.Key, why, wait)
		if why != query.ReasonNotOwner {
			fb := e.feedback(now, f)
			r.Outcome.Feedback = &fb
		}
		return []Action{r}
	}
	if c.Canary && !c.Update && e.proven.Has(c.proof()) {
		return []Action{refuse(c.Key, query.ReasonProven, 0)}
	}
	k := &call{Call: c, leaf: f, arrived: now}
	e.calls[c.Key] = k
	f.queue = append(f.queue, k)
	return e.dispatch(now, f)
}

// proof names a query on its snapshot.
func (c Call) proof() deny.ProvenKey {
	return deny.ProvenKey{Fingerprint: c.Fingerprint, Layout: c.Pin.Layout, Version: c.Pin.Version}
}

func refuse(k Key, why query.Reason, wait clock.Milli) Reply {
	return Reply{Key: k, Outcome: query.Outcome{Call: k.ID, Kind: query.NotRun, Reason: why, RetryAfter: wait}}
}

// retrySoon is the advice for refusals that pass within moments.
const retrySoon = 100 * clock.Milli(1)

// refusal tells why a call is not taken at all.
func (e *Engine) refusal(now clock.Milli, f *leaf, c Call) (query.Reason, clock.Milli) {
	if now < e.fenced {
		return query.ReasonWaking, e.fenced - now
	}
	if e.leaving {
		return query.ReasonLeaving, 0
	}
	if left, blocked := e.strikes.Blocked(now, c.Fingerprint); blocked && !e.secondChance(now, c) {
		return query.ReasonQuarantined, left
	}
	if why := e.closed(now, f); why != query.ReasonNone {
		return why, retrySoon
	}
	if now >= c.Deadline {
		return query.ReasonDeadline, 0
	}
	limit := e.limit(now, f)
	if limit == 0 {
		return query.ReasonCold, f.ramp.left(now, f.warm)
	}
	if len(f.queue) >= e.queueCap(f) && !e.makeRoom(f, c) {
		return query.ReasonQueueFull, retrySoon
	}
	return query.ReasonNone, 0
}

// secondChance tells whether a request that brought down one server may run once
// more: only for the query whose canary that was.
func (e *Engine) secondChance(now clock.Milli, c Call) bool {
	return c.SecondCanary && e.strikes.Get(now, c.Fingerprint).Count < 2
}

func (e *Engine) queueCap(f *leaf) int {
	per := e.Policy.QueuePerSlot
	if per == 0 {
		per = defaultQueuePerSlot
	}
	return per * max(1, f.cap)
}

// makeRoom tells whether a full queue is to take a call all the same, because
// another caller has far more than its share in it. That one's newest call is
// displaced by the next dispatch.
func (e *Engine) makeRoom(f *leaf, c Call) bool {
	if e.Policy.NoFairness || len(f.queue) > e.queueCap(f) {
		return false
	}
	mine, most := 0, 0
	count := map[string]int{}
	for _, q := range f.queue {
		count[q.Caller]++
		most = max(most, count[q.Caller])
	}
	mine = count[c.Caller]
	return most > mine+1
}

// dispatch sends waiting calls while the leaf has room.
func (e *Engine) dispatch(now clock.Milli, f *leaf) []Action {
	out := e.expire(now, f)
	if len(f.queue) == 0 {
		return out
	}
	if now < e.fenced || e.closed(now, f) != query.ReasonNone {
		return out
	}
	limit := e.limit(now, f)
	for len(f.queue) > 0 && f.busy+f.ghosts(now) < limit {
		i := e.next(f)
		if i < 0 {
			break
		}
		c, fresh := f.idle(false), false
		if c == nil {
			c, fresh = e.open(now, f), true
		}
		if c == nil {
			break
		}
		k := f.take(i)
		k.conn = c.id
		if k.Canary {
			e.canaries[k.Fingerprint] = k.Key
		}
		c.call, c.since = k, now
		f.busy++
		out = append(out, Send{Leaf: f.Name, Conn: c.id, NewConn: fresh, Call: k.Call})
	}
	if over := len(f.queue) - e.queueCap(f); over > 0 {
		out = append(out, e.displace(now, f)...)
	}
	return out
}

// displace refuses the newest waiting call of the caller that has most.
func (e *Engine) displace(now clock.Milli, f *leaf) []Action {
	count := map[string]int{}
	for _, q := range f.queue {
		count[q.Caller]++
	}
	worst := 0
	for i, q := range f.queue {
		if count[q.Caller] >= count[f.queue[worst].Caller] {
			worst = i
		}
	}
	k := f.take(worst)
	return e.finish(now, k, query.Outcome{Kind: query.NotRun, Reason: query.ReasonQueueFull, RetryAfter: retrySoon})
}

// expire answers waiting calls whose deadline has passed; a leaf is never
// asked for what nobody waits for any more.
func (e *Engine) expire(now clock.Milli, f *leaf) []Action {
	var out []Action
	for i := 0; i < len(f.queue); {
		if now < f.queue[i].Deadline {
			i++
			continue
		}
		k := f.take(i)
		out = append(out, e.finish(now, k, query.Outcome{Kind: query.NotRun, Reason: query.ReasonDeadline})...)
	}
	return out
}

func (f *leaf) take(i int) *call {
	k := f.queue[i]
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
	return k
}

// next picks the waiting call to send: of the caller with the fewest calls at
// this leaf, the one that the order prefers. It returns -1 when none may go.
//
// Of several canaries with one fingerprint only one runs at a time: if it
// crashes its server, the others have not run.
func (e *Engine) next(f *leaf) int {
	best := -1
	at := f.atLeaf()
	for i, k := range f.queue {
		if _, running := e.canaries[k.Fingerprint]; running && k.Canary {
			continue
		}
		if best < 0 || e.prefer(k, f.queue[best], at) {
			best = i
		}
	}
	return best
}

func (f *leaf) atLeaf() map[string]int {
	if len(f.queue) < 2 {
		return nil
	}
	at := make(map[string]int, f.busy)
	for _, c := range f.conns {
		if c.call != nil {
			at[c.call.Caller]++
		}
	}
	return at
}

func (e *Engine) prefer(a, b *call, at map[string]int) bool {
	if !e.Policy.NoFairness && at[a.Caller] != at[b.Caller] {
		return at[a.Caller] < at[b.Caller]
	}
	switch e.Policy.Order {
	case OrderOldest:
		return false
	case OrderNewest:
		return a.arrived > b.arrived
	case OrderDeadline:
	}
	return a.Deadline < b.Deadline
}

// finish gives a call its outcome and forgets it. A call that was cancelled at
// its leaf has been answered before, and gets no second outcome.
func (e *Engine) finish(now clock.Milli, k *call, o query.Outcome) []Action {
	if k.answered {
		return nil
	}
	k.answered = true
	delete(e.calls, k.Key)
	if k.Canary && e.canaries[k.Fingerprint] == k.Key {
		delete(e.canaries, k.Fingerprint)
	}
	o.Call = k.Key.ID
	fb := e.feedback(now, k.leaf)
	o.Feedback = &fb
	return []Action{Reply{Key: k.Key, Outcome: o}}
}

// Result is what came back for a call on a connection.
type Result struct {
	Leaf string
	Conn ConnID
	Key  Key
	// Outcome has the kind, reason and rows.
	Outcome query.Outcome
	Status  LeafStatus
	// ConnLost: the connection is gone.
	ConnLost bool
	// NotOpened: the connection could not even be opened.
	DialFailed bool
}

// CallDone takes the result of a call.
func (e *Engine) CallDone(now clock.Milli, r Result) []Action {
	f := e.leafs[r.Leaf]
	if f == nil {
		return nil
	}
	c := f.conns[r.Conn]
	if c == nil || c.call == nil || c.call.Key != r.Key {
		return nil // given up on earlier; its caller has its answer
	}
	k := c.call
	took := now - c.since
	e.release(now, f, c, r)
	o := r.Outcome
	o.Took = took
	if o.Reason == query.ReasonReset && r.Status.restarted(f) {
		o.Kind = query.Died
	}
	out := e.judge(now, f, k, r, &o)
	out = append(out, e.handOver(now, f.server)...)
	out = append(out, e.finish(now, k, o)...)
	out = append(out, e.dispatch(now, f)...)
	return append(out, e.publish(f, now)...)
}

func (e *Engine) release(now clock.Milli, f *leaf, c *conn, r Result) {
	if r.ConnLost || r.DialFailed {
		e.detach(f, c)
		return
	}
	c.call = nil
	f.busy--
	c.opened, c.used = true, now
}

// judge learns from a result.
func (e *Engine) judge(now clock.Milli, f *leaf, k *call, r Result, o *query.Outcome) []Action {
	out := e.observe(now, f, r.Status, false)
	switch o.Kind {
	case query.OK:
		f.succeed(now)
		f.health.pace.learn(now, o.Took)
		if k.Canary {
			e.proven.Add(k.proof())
		}
		if e.coldBySlowness(f, o.Took) {
			f.ramp.begin(now, true)
			out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "slow"})
		}
	case query.Shed:
		// This host sends no more than the slots, so a leaf that sheds is
		// colder than it seemed; unless another host may send to it as well.
		own := e.leases.exclusive(now, f.server) || e.leases.settled(now, f.server)
		if own && !r.Status.Draining && now-f.ramp.sheds >= shedPause {
			f.ramp.sheds = now
			f.ramp.begin(now, true)
			out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "shed"})
		}
	case query.Died:
		out = append(out, e.blame(now, k, o)...)
		out = append(out, e.fail(now, f, true, query.ReasonReset)...)
	case query.NotRun:
		if r.DialFailed {
			out = append(out, e.fail(now, f, true, query.ReasonUnreachable)...)
		}
	case query.Unknown:
		out = append(out, e.fail(now, f, false, o.Reason)...)
	}
	return out
}

// blame looks whether a request brought down the server that it was on. Only a
// canary is blamed: a request that crashes each server it runs on never gets
// past its canary, and what a leaf has survived before is innocent. Without the
// distinction, the loss of a whole failure domain would quarantine whatever
// popular queries ran there, on two servers each.
func (e *Engine) blame(now clock.Milli, k *call, o *query.Outcome) []Action {
	e.proven.Drop(k.Fingerprint)
	if !k.Canary {
		o.Kind = query.Unknown
		return nil
	}
	strike := e.strikes.Add(now, k.Fingerprint)
	o.Strikes, o.RetryAfter = strike.Count, strike.TimeLeft
	return append([]Action{ShareStrike{Strike: strike}}, e.purge(now, k.Fingerprint)...)
}

// Cancel gives up on a call whose caller no longer needs it. A waiting call
// has not run. One at a leaf keeps its connection and its slot until the leaf
// has answered: a slot that is counted free too early sends the leaf more than
// it bears, and a late reply on a reused connection could be taken for the next
// call's.
func (e *Engine) Cancel(now clock.Milli, key Key) []Action {
	k := e.calls[key]
	if k == nil {
		return nil
	}
	f := k.leaf
	if k.conn == 0 {
		for i, q := range f.queue {
			if q == k {
				f.take(i)
				break
			}
		}
		return e.finish(now, k, query.Outcome{Kind: query.NotRun, Reason: query.ReasonCancelled})
	}
	f.overtaken(now, k)
	out := e.finish(now, k, query.Outcome{Kind: query.Unknown, Reason: query.ReasonCancelled})
	if f.idle(true) != nil {
		out = append(out, e.abort(now, f, k)...)
	}
	return out
}

// LinkClosed cancels every call that came on a link which is closed.
func (e *Engine) LinkClosed(now clock.Milli, link uint64) []Action {
	var out []Action
	for _, f := range e.order {
		keys := make([]Key, 0, f.busy)
		for _, q := range f.queue {
			keys = append(keys, q.Key)
		}
		for _, c := range f.sorted() {
			if c.call != nil {
				keys = append(keys, c.call.Key)
			}
		}
		for _, k := range keys {
			if k.Link == link {
				out = append(out, e.Cancel(now, k)...)
			}
		}
	}
	return out
}

// Tick runs what is due. Call it every few milliseconds. It tells whether the
// process seems to have been paused since the last tick.
func (e *Engine) Tick(now clock.Milli) (out []Action, paused bool) {
	e.init(now)
	if now-e.lastTick >= pauseGap {
		paused = true
		e.SuspendAdmission(now)
	}
	e.lastTick = now
	e.average()
	out = e.claim(now)
	for _, f := range e.order {
		out = append(out, e.watchdog(now, f)...)
		out = append(out, e.probes(now, f)...)
		out = append(out, e.dispatch(now, f)...)
		out = append(out, e.publish(f, now)...)
	}
	return out, paused
}

// SuspendAdmission holds new work back after a pause. A process that slept still believes
// what was true before: a failure domain may have been taken out meanwhile, and
// its queue holds work that nobody waits for. No new work goes out until the
// configuration is known to be current (Unfence), or, when the host is cut off
// from everyone, for a short span.
func (e *Engine) SuspendAdmission(now clock.Milli) {
	e.fenced = now + fenceSpan
	e.leases.unsettle(now)
}

// ResumeAdmission ends a fence: a peer has confirmed the configuration in force.
func (e *Engine) ResumeAdmission() { e.fenced = 0 }

// CallOnConn returns the call that is on a connection, if any.
func (e *Engine) CallOnConn(leafName string, id ConnID) (Key, bool) {
	f := e.leafs[leafName]
	if f == nil || f.conns[id] == nil || f.conns[id].call == nil {
		return Key{}, false
	}
	return f.conns[id].call.Key, true
}
