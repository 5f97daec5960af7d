package sched

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// Submit handles a new call: it is rejected, sent, or queued briefly.
func (e *Engine) Submit(now clock.Milli, c Call) []Action {
	e.init(now)
	f := e.leaves[c.Leaf]
	if f == nil {
		return []Action{refuse(c.Key, query.ReasonNotOwner, 0)}
	}
	if reason, wait := e.refusalReason(now, f, c); reason != query.ReasonNone {
		r := refuse(c.Key, reason, wait)
		if reason != query.ReasonNotOwner {
			fb := e.feedback(now, f)
			r.Outcome.Feedback = &fb
		}
		return []Action{r}
	}
	if c.Canary && !c.Update && e.proven.Has(c.provenKey()) {
		return []Action{refuse(c.Key, query.ReasonProven, 0)}
	}
	k := &call{Call: c, leaf: f, arrived: now}
	e.calls[c.Key] = k
	f.queue = append(f.queue, k)
	return e.dispatch(now, f)
}

// provenKey identifies a query and the snapshot it runs on.
func (c Call) provenKey() deny.ProvenKey {
	return deny.ProvenKey{Fingerprint: c.Fingerprint, Layout: c.Pin.Layout, Version: c.Pin.Version}
}

func refuse(k Key, reason query.Reason, wait clock.Milli) Reply {
	return Reply{Key: k, Outcome: query.Outcome{Call: k.ID, Kind: query.NotRun, Reason: reason, RetryAfter: wait}}
}

// shortRetryAfter is the Retry-After for rejections whose cause is brief.
const shortRetryAfter = 100 * clock.Milli(1)

// refusalReason returns why a call is rejected and when to retry, or ReasonNone.
func (e *Engine) refusalReason(now clock.Milli, f *leaf, c Call) (query.Reason, clock.Milli) {
	if now < e.suspendedUntil {
		return query.ReasonSuspended, e.suspendedUntil - now
	}
	if e.leaving {
		return query.ReasonLeaving, 0
	}
	if left, blocked := e.strikes.Blocked(now, c.Fingerprint); blocked && !e.secondCanaryAllowed(now, c) {
		return query.ReasonQuarantined, left
	}
	if reason := e.closedReason(now, f); reason != query.ReasonNone {
		return reason, shortRetryAfter
	}
	if now >= c.Deadline {
		return query.ReasonDeadline, 0
	}
	limit := e.limit(now, f)
	if limit == 0 {
		return query.ReasonCold, f.ramp.remaining(now, f.warmUp)
	}
	if len(f.queue) >= e.queueLimit(f) && !e.canDisplace(f, c) {
		return query.ReasonQueueFull, shortRetryAfter
	}
	return query.ReasonNone, 0
}

// secondCanaryAllowed reports whether a request that crashed one server may run
// a second time. Only the query whose canary crashed it may.
func (e *Engine) secondCanaryAllowed(now clock.Milli, c Call) bool {
	return c.SecondCanary && e.strikes.Get(now, c.Fingerprint).Count < 2
}

func (e *Engine) queueLimit(f *leaf) int {
	perSlot := e.Policy.QueuePerSlot
	if perSlot == 0 {
		perSlot = defaultQueuePerSlot
	}
	return perSlot * max(1, f.slotLimit)
}

// canDisplace reports whether a full queue accepts a call because another caller
// has at least two more calls queued. The next dispatch then rejects the newest
// call of the caller with the most.
func (e *Engine) canDisplace(f *leaf, c Call) bool {
	if e.Policy.NoFairness || len(f.queue) > e.queueLimit(f) {
		return false
	}
	own, most := 0, 0
	count := map[string]int{}
	for _, q := range f.queue {
		count[q.Caller]++
		most = max(most, count[q.Caller])
	}
	own = count[c.Caller]
	return most > own+1
}

// dispatch sends queued calls while the leaf has free slots.
func (e *Engine) dispatch(now clock.Milli, f *leaf) []Action {
	out := e.expire(now, f)
	if len(f.queue) == 0 {
		return out
	}
	if now < e.suspendedUntil || e.closedReason(now, f) != query.ReasonNone {
		return out
	}
	limit := e.limit(now, f)
	for len(f.queue) > 0 && f.busy+f.orphanCount(now) < limit {
		i := e.next(f)
		if i < 0 {
			break
		}
		c, newConn := f.idleConn(false), false
		if c == nil {
			c, newConn = e.openConn(now, f), true
		}
		if c == nil {
			break
		}
		k := f.dequeue(i)
		k.conn = c.id
		if k.Canary {
			e.canaries[k.Fingerprint] = k.Key
		}
		c.call, c.sentAt = k, now
		f.busy++
		out = append(out, Send{Leaf: f.Name, Conn: c.id, NewConn: newConn, Call: k.Call})
	}
	if over := len(f.queue) - e.queueLimit(f); over > 0 {
		out = append(out, e.displace(now, f)...)
	}
	return out
}

// displace rejects the newest queued call of the caller with the most.
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
	k := f.dequeue(worst)
	return e.finish(now, k, query.Outcome{Kind: query.NotRun, Reason: query.ReasonQueueFull, RetryAfter: shortRetryAfter})
}

// expire rejects queued calls whose deadline has passed, so that no leaf works
// on a call without a waiting caller.
func (e *Engine) expire(now clock.Milli, f *leaf) []Action {
	var out []Action
	for i := 0; i < len(f.queue); {
		if now < f.queue[i].Deadline {
			i++
			continue
		}
		k := f.dequeue(i)
		out = append(out, e.finish(now, k, query.Outcome{Kind: query.NotRun, Reason: query.ReasonDeadline})...)
	}
	return out
}

func (f *leaf) dequeue(i int) *call {
	k := f.queue[i]
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
	return k
}

// next returns the index of the queued call to send, or -1. It selects the
// caller with the fewest calls at this leaf, then by Policy.Order.
//
// Only one canary per fingerprint runs at a time: if it crashes its server, the
// others have not run.
func (e *Engine) next(f *leaf) int {
	best := -1
	inFlight := f.inFlightByCaller()
	for i, k := range f.queue {
		if _, running := e.canaries[k.Fingerprint]; running && k.Canary {
			continue
		}
		if best < 0 || e.prefer(k, f.queue[best], inFlight) {
			best = i
		}
	}
	return best
}

func (f *leaf) inFlightByCaller() map[string]int {
	if len(f.queue) < 2 {
		return nil
	}
	count := make(map[string]int, f.busy)
	for _, c := range f.conns {
		if c.call != nil {
			count[c.call.Caller]++
		}
	}
	return count
}

func (e *Engine) prefer(a, b *call, inFlight map[string]int) bool {
	if !e.Policy.NoFairness && inFlight[a.Caller] != inFlight[b.Caller] {
		return inFlight[a.Caller] < inFlight[b.Caller]
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

// finish reports the outcome of a call and removes it. A call that was cancelled
// at its leaf already has an outcome and gets no second one.
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

// Result is the result of a call on a connection.
type Result struct {
	Leaf string
	Conn ConnID
	Key  Key
	// Outcome holds the kind, reason and rows.
	Outcome query.Outcome
	Status  LeafStatus
	// ConnLost is set if the connection was lost.
	ConnLost bool
	// DialFailed is set if the connection could not be opened.
	DialFailed bool
}

// CallDone handles the result of a call.
func (e *Engine) CallDone(now clock.Milli, r Result) []Action {
	f := e.leaves[r.Leaf]
	if f == nil {
		return nil
	}
	c := f.conns[r.Conn]
	if c == nil || c.call == nil || c.call.Key != r.Key {
		return nil // the call was abandoned and has been answered
	}
	k := c.call
	took := now - c.sentAt
	e.freeConn(now, f, c, r)
	o := r.Outcome
	o.Took = took
	if o.Reason == query.ReasonReset && r.Status.restarted(f) {
		o.Kind = query.Died
	}
	out := e.applyResult(now, f, k, r, &o)
	out = append(out, e.handOver(now, f.server)...)
	out = append(out, e.finish(now, k, o)...)
	out = append(out, e.dispatch(now, f)...)
	return append(out, e.publish(f, now)...)
}

func (e *Engine) freeConn(now clock.Milli, f *leaf, c *conn, r Result) {
	if r.ConnLost || r.DialFailed {
		e.detach(f, c)
		return
	}
	c.call = nil
	f.busy--
	c.opened, c.lastUsed = true, now
}

// applyResult updates the state of the leaf and of its request from a result.
func (e *Engine) applyResult(now clock.Milli, f *leaf, k *call, r Result, o *query.Outcome) []Action {
	out := e.applyStatus(now, f, r.Status, false)
	switch o.Kind {
	case query.OK:
		f.recordSuccess(now)
		f.health.latency.record(now, o.Took)
		if k.Canary {
			e.proven.Add(k.provenKey())
		}
		if e.detectColdStart(f, o.Took) {
			f.ramp.restart(now, true)
			out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "slow"})
		}
	case query.Shed:
		// This host stays within the slots, so a leaf that sheds is colder than
		// assumed, unless another host may be sending to it as well.
		soleSender := e.leases.exclusive(now, f.server) || e.leases.settled(now, f.server)
		if soleSender && !r.Status.Draining && now-f.ramp.shedAt >= shedRampInterval {
			f.ramp.shedAt = now
			f.ramp.restart(now, true)
			out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "shed"})
		}
	case query.Died:
		out = append(out, e.recordCrash(now, k, o)...)
		out = append(out, e.recordFailure(now, f, true, query.ReasonReset)...)
	case query.NotRun:
		if r.DialFailed {
			out = append(out, e.recordFailure(now, f, true, query.ReasonUnreachable)...)
		}
	case query.Unknown:
		out = append(out, e.recordFailure(now, f, false, o.Reason)...)
	}
	return out
}

// recordCrash adds a strike to the request if it was a canary. A request that
// crashes every server never gets past its canary, and a request that a leaf has
// completed before is not the cause. Without this distinction, the loss of a
// failure domain would quarantine the popular queries running there, each on two
// servers.
func (e *Engine) recordCrash(now clock.Milli, k *call, o *query.Outcome) []Action {
	e.proven.Drop(k.Fingerprint)
	if !k.Canary {
		o.Kind = query.Unknown
		return nil
	}
	strike := e.strikes.Add(now, k.Fingerprint)
	o.Strikes, o.RetryAfter = strike.Count, strike.TimeLeft
	return append([]Action{ShareStrike{Strike: strike}}, e.purge(now, k.Fingerprint)...)
}

// Cancel abandons a call that its caller no longer needs. A queued call has not
// run. A call at a leaf keeps its connection and slot until the leaf has
// answered: freeing the slot early would exceed the leaf's capacity, and a late
// reply on a reused connection could be taken for the next call's.
func (e *Engine) Cancel(now clock.Milli, key Key) []Action {
	k := e.calls[key]
	if k == nil {
		return nil
	}
	f := k.leaf
	if k.conn == 0 {
		for i, q := range f.queue {
			if q == k {
				f.dequeue(i)
				break
			}
		}
		return e.finish(now, k, query.Outcome{Kind: query.NotRun, Reason: query.ReasonCancelled})
	}
	f.recordAbandoned(now, k)
	out := e.finish(now, k, query.Outcome{Kind: query.Unknown, Reason: query.ReasonCancelled})
	if f.idleConn(true) != nil {
		out = append(out, e.abort(now, f, k)...)
	}
	return out
}

// LinkClosed cancels all calls that arrived on a closed link.
func (e *Engine) LinkClosed(now clock.Milli, link uint64) []Action {
	var out []Action
	for _, f := range e.byName {
		keys := make([]Key, 0, f.busy)
		for _, q := range f.queue {
			keys = append(keys, q.Key)
		}
		for _, c := range f.sortedConns() {
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

// Tick runs all timed work. It must be called every few milliseconds. It
// reports whether the process appears to have been paused since the last tick.
func (e *Engine) Tick(now clock.Milli) (out []Action, paused bool) {
	e.init(now)
	if now-e.lastTick >= pauseThreshold {
		paused = true
		e.SuspendAdmission(now)
	}
	e.lastTick = now
	e.updateServiceMeans()
	out = e.renewClaims(now)
	for _, f := range e.byName {
		out = append(out, e.watchdog(now, f)...)
		out = append(out, e.probeIfDue(now, f)...)
		out = append(out, e.dispatch(now, f)...)
		out = append(out, e.publish(f, now)...)
	}
	return out, paused
}

// SuspendAdmission rejects new calls after a pause of the process. The state may
// be stale: a failure domain may have been taken out meanwhile, and the callers
// of queued calls may have given up. Calls are admitted again once the
// configuration is known to be current (ResumeAdmission), or after
// suspendDuration if the host is disconnected from all peers.
func (e *Engine) SuspendAdmission(now clock.Milli) {
	e.suspendedUntil = now + suspendDuration
	e.leases.resetSettled(now)
}

// ResumeAdmission ends a suspension after a peer confirmed the configuration.
func (e *Engine) ResumeAdmission() { e.suspendedUntil = 0 }

// CallOnConn returns the call that a connection is running, if any.
func (e *Engine) CallOnConn(leafName string, id ConnID) (Key, bool) {
	f := e.leaves[leafName]
	if f == nil || f.conns[id] == nil || f.conns[id].call == nil {
		return Key{}, false
	}
	return f.conns[id].call.Key, true
}
