package sched

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// Submit handles a new call. It is rejected, sent, or queued until a slot is
// free. The canary of a query that a leaf has completed on the same snapshot is also
// rejected, with ReasonProven, so that the entry sends the query to all shards.
func (e *Engine) Submit(now clock.Milli, call Call) []Action {
	e.init(now)
	f := e.leaves[call.Leaf]
	if f == nil {
		return []Action{reject(call.Key, query.ReasonNotOwner, 0)}
	}
	if reason, wait := e.rejectReason(now, f, call); reason != query.ReasonNone {
		r := reject(call.Key, reason, wait)
		if reason != query.ReasonNotOwner { // otherwise another host reports the leaf's state
			fb := e.feedback(now, f)
			r.Outcome.Feedback = &fb
		}
		return []Action{r}
	}
	if call.Canary && !call.Update && e.proven.Has(call.provenKey()) {
		return []Action{reject(call.Key, query.ReasonProven, 0)}
	}
	queued := &activeCall{Call: call, leaf: f, arrived: now}
	e.calls[call.Key] = queued
	f.queue = append(f.queue, queued)
	return e.dispatch(now, f)
}

// provenKey identifies a query and the snapshot it runs on.
func (c Call) provenKey() deny.ProvenKey {
	return deny.ProvenKey{Fingerprint: c.Fingerprint, Layout: c.Pin.Layout, Version: c.Pin.Version}
}

func reject(key Key, reason query.Reason, wait clock.Milli) Reply {
	return Reply{Key: key, Outcome: query.Outcome{Call: key.ID, Kind: query.NotRun, Reason: reason, RetryAfter: wait}}
}

// shortRetryAfter is the Retry-After for rejections whose cause is brief.
const shortRetryAfter = 100 * clock.Milli(1)

// rejectReason returns why a call is rejected and its Retry-After, which may be 0, or
// ReasonNone.
func (e *Engine) rejectReason(now clock.Milli, f *leaf, call Call) (query.Reason, clock.Milli) {
	if now < e.suspendedUntil {
		return query.ReasonSuspended, e.suspendedUntil - now
	}
	if e.leaving {
		return query.ReasonLeaving, 0
	}
	if left, blocked := e.strikes.Blocked(now, call.Fingerprint); blocked && !e.secondCanaryAllowed(now, call) {
		return query.ReasonQuarantined, left
	}
	if reason := e.closedReason(now, f); reason != query.ReasonNone {
		return reason, shortRetryAfter
	}
	if now >= call.Deadline {
		return query.ReasonDeadline, 0
	}
	limit := e.limit(now, f)
	if limit == 0 {
		return query.ReasonCold, f.ramp.remaining(now, f.warmUp)
	}
	if len(f.queue) >= e.queueLimit(f) && !e.canDisplace(f, call) {
		return query.ReasonQueueFull, shortRetryAfter
	}
	return query.ReasonNone, 0
}

// secondCanaryAllowed reports whether a call of a blocked request may run because it
// belongs to the query whose first canary crashed a server. After a second crash, none
// may run.
func (e *Engine) secondCanaryAllowed(now clock.Milli, call Call) bool {
	return call.SecondCanary && e.strikes.Get(now, call.Fingerprint).Count < 2
}

// queueLimit returns how many calls may be queued for a leaf.
func (e *Engine) queueLimit(f *leaf) int {
	perSlot := e.Policy.QueuePerSlot
	if perSlot == 0 {
		perSlot = defaultQueuePerSlot
	}
	return perSlot * max(1, f.slotLimit)
}

// canDisplace reports whether a full queue accepts a call because another caller
// has at least two more calls queued. The queue is then one call too long, which
// the next dispatch corrects (displace).
func (e *Engine) canDisplace(f *leaf, call Call) bool {
	if e.Policy.NoFairness || len(f.queue) > e.queueLimit(f) {
		return false
	}
	ownCount, maxCount := 0, 0
	count := map[string]int{}
	for _, queued := range f.queue {
		count[queued.Caller]++
		maxCount = max(maxCount, count[queued.Caller])
	}
	ownCount = count[call.Caller]
	return maxCount > ownCount+1
}

// dispatch rejects expired calls and sends queued ones while the leaf has free
// slots and a connection is idle or may be opened. Then it rejects the one call by
// which the queue may exceed its limit.
func (e *Engine) dispatch(now clock.Milli, f *leaf) []Action {
	out := e.expire(now, f)
	if len(f.queue) == 0 {
		return out
	}
	if now < e.suspendedUntil || e.closedReason(now, f) != query.ReasonNone {
		return out
	}
	limit := e.limit(now, f)
	for len(f.queue) > 0 && f.busy+f.lostCount(now) < limit {
		i := e.next(f)
		if i < 0 {
			break
		}
		c, newConn := f.idleConn(false /* leastRecent */), false
		if c == nil {
			c, newConn = e.openConn(now, f), true
		}
		if c == nil {
			break
		}
		call := f.dequeue(i)
		call.conn = c.id
		if call.Canary {
			e.canaries[call.Fingerprint] = call.Key
		}
		c.call, c.sentAt = call, now
		f.busy++
		out = append(out, Send{Leaf: f.Name, Conn: c.id, NewConn: newConn, Call: call.Call})
	}
	// Submit may have queued one call above the limit, see canDisplace.
	if excess := len(f.queue) - e.queueLimit(f); excess > 0 {
		out = append(out, e.displace(now, f)...)
	}
	return out
}

// displace rejects the newest call of the caller that has the most calls queued.
func (e *Engine) displace(now clock.Milli, f *leaf) []Action {
	count := map[string]int{}
	for _, queued := range f.queue {
		count[queued.Caller]++
	}
	victim := 0
	for i, queued := range f.queue {
		if count[queued.Caller] >= count[f.queue[victim].Caller] {
			victim = i
		}
	}
	call := f.dequeue(victim)
	return e.finish(now, call, query.Outcome{Kind: query.NotRun, Reason: query.ReasonQueueFull, RetryAfter: shortRetryAfter})
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
		call := f.dequeue(i)
		out = append(out, e.finish(now, call, query.Outcome{Kind: query.NotRun, Reason: query.ReasonDeadline})...)
	}
	return out
}

func (f *leaf) dequeue(i int) *activeCall {
	call := f.queue[i]
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
	return call
}

// next returns the index of the queued call to send, or -1 if none may be sent.
// It selects the caller with the fewest calls in flight at this leaf, unless
// Policy.NoFairness is set, then by Policy.Order.
//
// Only one canary per fingerprint runs at a time: if it crashes its server, the
// others have not run.
func (e *Engine) next(f *leaf) int {
	best := -1
	inFlight := f.inFlightByCaller()
	for i, call := range f.queue {
		if _, running := e.canaries[call.Fingerprint]; running && call.Canary {
			continue
		}
		if best < 0 || e.prefer(call, f.queue[best], inFlight) {
			best = i
		}
	}
	return best
}

// inFlightByCaller counts the calls in flight at a leaf by caller. It returns nil
// if the queue leaves no choice.
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

// prefer reports whether a is sent before b, which is earlier in the queue.
func (e *Engine) prefer(a, b *activeCall, inFlight map[string]int) bool {
	if !e.Policy.NoFairness && inFlight[a.Caller] != inFlight[b.Caller] {
		return inFlight[a.Caller] < inFlight[b.Caller]
	}
	switch e.Policy.Order {
	case OrderOldest:
		return false // the queue is in order of arrival
	case OrderNewest:
		return a.arrived > b.arrived
	case OrderDeadline: // the default, below
	}
	return a.Deadline < b.Deadline
}

// finish reports the outcome of a call with the state of its leaf and removes the call,
// after which another canary of its fingerprint may run. It returns nil for a call
// that already has an outcome, such as one that was cancelled at its leaf.
func (e *Engine) finish(now clock.Milli, call *activeCall, o query.Outcome) []Action {
	if call.answered {
		return nil
	}
	call.answered = true
	delete(e.calls, call.Key)
	if call.Canary && e.canaries[call.Fingerprint] == call.Key {
		delete(e.canaries, call.Fingerprint)
	}
	o.Call = call.Key.ID
	fb := e.feedback(now, call.leaf)
	o.Feedback = &fb
	return []Action{Reply{Key: call.Key, Outcome: o}}
}

// Result is the result of a call on a connection.
type Result struct {
	Leaf string
	Conn ConnID
	Key  Key
	// Outcome holds the kind, reason and rows.
	Outcome query.Outcome
	Status  LeafStatus
	// ConnLost is set if the connection was lost, or delivered a reply to another
	// request. It is not used again.
	ConnLost bool
	// DialFailed is set if the connection could not be opened.
	DialFailed bool
}

// CallDone handles the result of a call: it frees the connection, updates the
// leaf, hands over its server if the other candidate waits for that, replies to the
// entry unless the call was cancelled, and sends the next queued calls.
func (e *Engine) CallDone(now clock.Milli, r Result) []Action {
	f := e.leaves[r.Leaf]
	if f == nil {
		return nil
	}
	c := f.conns[r.Conn]
	if c == nil || c.call == nil || c.call.Key != r.Key {
		return nil // the call was abandoned and has been answered
	}
	call := c.call
	took := now - c.sentAt
	e.freeConn(now, f, c, r)
	o := r.Outcome
	o.Took = took
	if o.Reason == query.ReasonReset && r.Status.restarted(f) {
		o.Kind = query.Died // the server restarted while it had the call
	}
	out := e.applyResult(now, f, call, r, &o)
	out = append(out, e.handOver(now, f.server)...)
	out = append(out, e.finish(now, call, o)...)
	out = append(out, e.dispatch(now, f)...)
	return append(out, e.publish(f, now)...)
}

// freeConn makes the connection of an ended call idle, or removes it if it was
// lost or never opened.
func (e *Engine) freeConn(now clock.Milli, f *leaf, c *conn, r Result) {
	if r.ConnLost || r.DialFailed {
		e.detach(f, c)
		return
	}
	c.call = nil
	f.busy--
	c.opened, c.lastUsed = true, now
}

// applyResult updates the state of the leaf and of its request from a result. It
// may change the kind of the outcome, see recordCrash.
func (e *Engine) applyResult(now clock.Milli, f *leaf, call *activeCall, r Result, o *query.Outcome) []Action {
	out := e.applyStatus(now, f, r.Status, false /* fromProbe */)
	switch o.Kind {
	case query.OK:
		f.recordSuccess(now)
		f.health.latency.record(now, o.Took)
		if call.Canary {
			e.proven.Add(call.provenKey())
		}
		if e.detectColdStart(f, o.Took) {
			f.ramp.restart(now, true /* known */)
			out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "slow"})
		}
	case query.Shed:
		// This host stays within the slots, so a leaf that sheds is colder than
		// assumed, unless another host may be sending to it as well.
		soleSender := e.leases.exclusive(now, f.server) || e.leases.takeoverComplete(now, f.server)
		if soleSender && !r.Status.Draining && now-f.ramp.shedAt >= shedRampInterval {
			f.ramp.shedAt = now
			f.ramp.restart(now, true /* known */)
			out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "shed"})
		}
	case query.Died:
		out = append(out, e.recordCrash(now, call, o)...)
		out = append(out, e.recordFailure(now, f, true /* definite */, query.ReasonReset)...)
	case query.NotRun:
		if r.DialFailed {
			out = append(out, e.recordFailure(now, f, true /* definite */, query.ReasonUnreachable)...)
		}
	case query.Unknown:
		out = append(out, e.recordFailure(now, f, false /* definite */, o.Reason)...)
	}
	return out
}

// recordCrash handles the crash of a server under a call. If the call was a
// canary, its request gets a strike, which is sent to the peers, and its queued calls
// are rejected. Otherwise the outcome becomes Unknown, without a strike: a request that
// crashes every server never gets past its canary, so one that a leaf has completed
// before is not the cause. Without this distinction, the loss of a failure domain would
// quarantine each popular query that was running on two of its servers. In both cases
// the request needs a canary again.
func (e *Engine) recordCrash(now clock.Milli, call *activeCall, o *query.Outcome) []Action {
	e.proven.Remove(call.Fingerprint)
	if !call.Canary {
		o.Kind = query.Unknown
		return nil
	}
	strike := e.strikes.Add(now, call.Fingerprint)
	o.Strikes, o.RetryAfter = strike.Count, strike.TimeLeft
	return append([]Action{ShareStrike{Strike: strike}}, e.purge(now, call.Fingerprint)...)
}

// Cancel abandons a call that its caller no longer needs. A queued call has not
// run. A call at a leaf keeps its connection and slot until the leaf has
// answered: freeing the slot early would exceed the leaf's capacity, and a late
// reply on a reused connection could be taken for the next call's. The leaf is
// asked to abort the call if another connection is idle.
func (e *Engine) Cancel(now clock.Milli, key Key) []Action {
	call := e.calls[key]
	if call == nil {
		return nil
	}
	f := call.leaf
	if call.conn == 0 {
		for i, queued := range f.queue {
			if queued == call {
				f.dequeue(i)
				break
			}
		}
		return e.finish(now, call, query.Outcome{Kind: query.NotRun, Reason: query.ReasonCancelled})
	}
	f.recordAbandoned(now, call)
	out := e.finish(now, call, query.Outcome{Kind: query.Unknown, Reason: query.ReasonCancelled})
	if f.idleConn(true /* leastRecent */) != nil {
		out = append(out, e.abort(now, f, call)...)
	}
	return out
}

// LinkClosed cancels all calls that arrived on a closed link.
func (e *Engine) LinkClosed(now clock.Milli, link uint64) []Action {
	var out []Action
	for _, f := range e.byName {
		keys := make([]Key, 0, f.busy)
		for _, queued := range f.queue {
			keys = append(keys, queued.Key)
		}
		for _, c := range f.sortedConns() {
			if c.call != nil {
				keys = append(keys, c.call.Key)
			}
		}
		for _, key := range keys {
			if key.Link == link {
				out = append(out, e.Cancel(now, key)...)
			}
		}
	}
	return out
}

// Tick runs all timed work. It must be called every few milliseconds. It
// reports whether the process appears to have been paused since the last tick,
// in which case admission is suspended.
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

// SuspendAdmission rejects new calls and holds queued ones after a pause of the
// process. The state may be stale: a failure domain may have been taken out
// meanwhile, the callers of queued calls may have disconnected, and the other
// candidates may have sent calls to this host's servers. Calls are
// admitted again once the configuration is known to be current (ResumeAdmission),
// or after suspendDuration if the host is disconnected from all peers.
func (e *Engine) SuspendAdmission(now clock.Milli) {
	e.suspendedUntil = now + suspendDuration
	e.leases.restartTakeover(now)
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
