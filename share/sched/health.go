package sched

import (
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// health is the state of a leaf apart from its ramp.
type health struct {
	incarnation     uint64
	meanLatency     float64 // moving average in ms
	failures        int     // in a row
	down            bool    // no new calls until a probe or a running call succeeds
	nextProbeAt     clock.Milli
	backoff         clock.Milli // delay of the next probe: minProbeBackoff after the first failure, doubled up to maxProbeBackoff
	draining        bool
	drainReportedAt clock.Milli // when the leaf last reported that it drains
	lastProgress    clock.Milli // when a call or probe last succeeded on any connection
	latency         recentLatency
}

const (
	// ejectAfter is the number of consecutive failures that take a leaf out of
	// service until a probe or a running call succeeds.
	ejectAfter = 3
	// minProbeBackoff and maxProbeBackoff limit the time between probes of a leaf that
	// is down.
	minProbeBackoff clock.Milli = 100
	maxProbeBackoff             = 5 * clock.Second
	// connectInterval is the time between probes of a leaf to which this host has
	// fewer connections than it may use.
	connectInterval clock.Milli = 50
	// drainHold is how long ago a leaf must last have reported a drain before it
	// gets calls again, unless it restarted. The state endpoints of a leaf lag
	// behind each other, so one healthy response doesn't end a drain.
	drainHold = 3 * clock.Second
)

// LeafStatus is what a reply or probe reports about a leaf besides its result.
type LeafStatus struct {
	// Incarnation changes when the server restarts; 0 if unknown.
	Incarnation uint64
	Draining    bool
	// Holds lists the leaf's snapshots; nil if not reported.
	Holds []topo.SnapshotID
}

// restarted reports whether the status comes from another incarnation than the
// last known one.
func (s LeafStatus) restarted(f *leaf) bool {
	return s.Incarnation != 0 && f.health.incarnation != 0 && s.Incarnation != f.health.incarnation
}

// closedReason returns why this host sends no calls to a leaf, or ReasonNone.
func (e *Engine) closedReason(now clock.Milli, f *leaf) query.Reason {
	if f.rank < 0 || e.leases.granted(now, f.server) {
		return query.ReasonNotOwner
	}
	return f.outageReason()
}

// outageReason returns why no host may send calls to a leaf, or ReasonNone.
func (f *leaf) outageReason() query.Reason {
	switch {
	case f.outReason != query.ReasonNone:
		return f.outReason
	case f.health.draining:
		return query.ReasonDraining
	case f.health.down:
		return query.ReasonUnreachable
	}
	return query.ReasonNone
}

// applyStatus updates a leaf from the status in a reply or probe. A restart of
// the server starts the ramp and ends a drain. A drain rejects the queue. It also ends
// with a probe that doesn't report it, drainHold after the last status that did.
func (e *Engine) applyStatus(now clock.Milli, f *leaf, s LeafStatus, fromProbe bool) []Action {
	var out []Action
	h := &f.health
	if s.restarted(f) {
		f.ramp.restart(now, true /* known */)
		h.meanLatency = 0
		h.draining = false
		out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "restarted"})
	}
	if s.Incarnation != 0 {
		h.incarnation = s.Incarnation
	}
	if s.Holds != nil {
		f.holds = s.Holds
	}
	if s.Draining {
		if !h.draining {
			out = append(out, LeafEvent{Leaf: f.Name, Event: "closed", Cause: "draining"})
		}
		h.draining, h.drainReportedAt = true, now
		out = append(out, e.flush(now, f, query.ReasonDraining)...)
	} else if h.draining && fromProbe && now-h.drainReportedAt >= drainHold {
		h.draining = false
		// Its load during the drain is unknown here, so it counts as cold.
		f.ramp.restart(now, true /* known */)
		out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "drain ended"})
	}
	return out
}

// recordSuccess resets the failure state of a leaf, which puts it back into
// service, and ends the backoff of its probes.
func (f *leaf) recordSuccess(now clock.Milli) {
	h := &f.health
	h.failures, h.backoff = 0, 0
	h.down = false
	h.lastProgress = now
	if h.nextProbeAt > now+probeInterval {
		h.nextProbeAt = now + probeInterval
	}
}

// recordFailure counts a failure. It takes the leaf out of service, rejects its
// queue and delays the next probe: at once if the failure is definite (the server
// died or accepts no connection), otherwise after ejectAfter in a row.
func (e *Engine) recordFailure(now clock.Milli, f *leaf, definite bool, cause query.Reason) []Action {
	h := &f.health
	h.failures++
	if !definite && h.failures < ejectAfter {
		return nil
	}
	var out []Action
	if !h.down {
		h.down = true
		out = append(out, LeafEvent{Leaf: f.Name, Event: "closed", Cause: string(cause)})
		out = append(out, e.flush(now, f, query.ReasonUnreachable)...)
	}
	h.backoff = min(max(2*h.backoff, minProbeBackoff), maxProbeBackoff)
	h.nextProbeAt = now + h.backoff
	return out
}

// probeIfDue probes a leaf once per second, over an idle or a new connection.
// Probes keep connections open, detect unresponsive ones, and report restarts,
// drains and snapshots. While the leaf has fewer connections than this host may
// use, each probe opens another and the next follows after connectInterval; a leaf that
// is down gets a new connection only if none is idle. It returns nil if no probe is due,
// this host is not a candidate for the server, or no connection is available.
func (e *Engine) probeIfDue(now clock.Milli, f *leaf) []Action {
	h := &f.health
	if f.rank < 0 || now < h.nextProbeAt {
		return nil
	}
	c, newConn := f.idleConn(true /* leastRecent */), false
	if c == nil || (len(f.conns) < min(f.slotLimit, f.connShare()) && !h.down) {
		if added := e.openConn(now, f); added != nil {
			c, newConn = added, true
		}
	}
	if c == nil {
		return nil
	}
	h.nextProbeAt = now + probeInterval
	if len(f.conns) < min(f.slotLimit, f.connShare()) {
		h.nextProbeAt = now + connectInterval
	}
	c.probing, c.sentAt = true, now
	return []Action{Probe{Leaf: f.Name, Conn: c.id, NewConn: newConn}}
}

// idleConn returns an idle connection, or nil: the least recently used one for
// probes, the most recently used one for calls.
func (f *leaf) idleConn(leastRecent bool) *conn {
	var best *conn
	for _, c := range f.conns {
		if c.call != nil || c.probing || !c.opened {
			continue
		}
		// Of connections used at the same time, the one with the lowest id is
		// chosen, so that runs are reproducible.
		if best == nil || c.lastUsed == best.lastUsed && c.id < best.id || (c.lastUsed < best.lastUsed) == leastRecent && c.lastUsed != best.lastUsed {
			best = c
		}
	}
	return best
}

// openConn adds a connection. It returns nil if this host has used up its share.
func (e *Engine) openConn(now clock.Milli, f *leaf) *conn {
	if len(f.conns) >= f.connShare() {
		return nil
	}
	e.lastConn++
	c := &conn{id: e.lastConn, sentAt: now, lastUsed: now}
	f.conns[c.id] = c
	return c
}

// ProbeDone handles the result of a probe or an abort. An error closes the connection
// and counts as a failure of the leaf. Otherwise it updates the leaf and sends queued
// calls. A successful abort of a lost call frees its slot.
func (e *Engine) ProbeDone(now clock.Milli, leafName string, id ConnID, s LeafStatus, err error) []Action {
	f := e.leaves[leafName]
	if f == nil {
		return []Action{CloseConn{Leaf: leafName, Conn: id, Reason: query.ReasonNotOwner}}
	}
	c := f.conns[id]
	if c == nil {
		return nil
	}
	if err != nil {
		delete(f.conns, id)
		out := []Action{CloseConn{Leaf: leafName, Conn: id, Reason: query.ReasonUnreachable}}
		out = append(out, e.recordFailure(now, f, !c.opened, query.ReasonUnreachable)...)
		return append(out, e.publish(f, now)...)
	}
	if aborted := c.aborting; aborted != (Key{}) {
		f.removeLost(func(lost lostCall) bool { return lost.key == aborted })
	}
	c.probing, c.opened, c.lastUsed, c.aborting = false, true, now, Key{}
	f.recordSuccess(now)
	out := e.applyStatus(now, f, s, true /* fromProbe */)
	out = append(out, e.dispatch(now, f)...)
	return append(out, e.publish(f, now)...)
}

// ConnClosed handles a closed connection. An idle one is removed before a call is
// sent over it: the call would fail, and its request would be blamed for crashing
// the server. A close by the server may mean a restart, so the leaf is probed
// immediately.
func (e *Engine) ConnClosed(now clock.Milli, leafName string, id ConnID) []Action {
	f := e.leaves[leafName]
	if f == nil {
		return nil
	}
	c := f.conns[id]
	if c == nil || c.call != nil || c.probing {
		return nil // its call or probe reports the error
	}
	delete(f.conns, id)
	f.health.nextProbeAt = now
	return e.probeIfDue(now, f)
}

// watchdog closes connections whose call or probe got no reply in time. A device on
// the path may have removed the state of one connection, which then stays silent while
// new ones work. The leaf is only charged with a failure if none of its connections
// made progress in that time. A call on a closed connection ends as Unknown, the leaf
// is asked to abort it, and it counts as a lost call, since the leaf may still be
// working on it.
func (e *Engine) watchdog(now clock.Milli, f *leaf) []Action {
	var out []Action
	callTimeout := e.silenceTimeout(f)
	for _, c := range f.sortedConns() {
		timeout := probeTimeout
		if c.call != nil {
			timeout = callTimeout
		}
		if (c.call == nil && !c.probing) || now-c.sentAt < timeout {
			continue
		}
		lost := c.call
		if lost != nil {
			f.recordAbandoned(now, lost)
		}
		e.detach(f, c)
		out = append(out, CloseConn{Leaf: f.Name, Conn: c.id, Reason: query.ReasonSilent})
		if now-f.health.lastProgress >= timeout {
			out = append(out, e.recordFailure(now, f, !c.opened, query.ReasonSilent)...)
		}
		if lost != nil {
			f.lostCalls = append(f.lostCalls, lostCall{lost.Key, min(lost.Deadline, now+probeTimeout)})
			out = append(out, e.abort(now, f, lost)...)
			out = append(out, e.finish(now, lost, query.Outcome{Kind: query.Unknown, Reason: query.ReasonSilent})...)
		}
	}
	return out
}

// abort asks a leaf to stop working on a call. It returns nil if no connection is
// idle and none may be opened.
func (e *Engine) abort(now clock.Milli, f *leaf, call *activeCall) []Action {
	c, newConn := f.idleConn(true /* leastRecent */), false
	if c == nil {
		c, newConn = e.openConn(now, f), true
	}
	if c == nil {
		return nil
	}
	c.probing, c.sentAt, c.aborting = true, now, call.Key
	return []Action{Abort{Leaf: f.Name, Conn: c.id, NewConn: newConn, Call: call.Call}}
}

// lostCount returns how many calls may still be running at the leaf although
// their connections were closed, and forgets those that have ended. Without it, a leaf
// that is merely slow would get more calls than it has slots, shed, and be treated as
// cold. A lost call ends when the leaf confirms the abort, after probeTimeout, or at its
// deadline.
func (f *leaf) lostCount(now clock.Milli) int {
	f.removeLost(func(lost lostCall) bool { return now >= lost.until })
	return len(f.lostCalls)
}

// removeLost removes the lost calls that match.
func (f *leaf) removeLost(match func(lostCall) bool) {
	kept := f.lostCalls[:0]
	for _, lost := range f.lostCalls {
		if !match(lost) {
			kept = append(kept, lost)
		}
	}
	f.lostCalls = kept
}

// Bounds of the timeout for calls without progress.
const (
	silenceFactor                 = 25 // times the leaf's mean latency
	minSilenceTimeout clock.Milli = 150
)

// silenceTimeout returns how long a call may go without a reply: silenceFactor
// times the leaf's mean latency, so that a straggler keeps its connection, at least
// minSilenceTimeout, and at most Policy.SilenceTimeout, which also applies while the
// mean is unknown.
func (e *Engine) silenceTimeout(f *leaf) clock.Milli {
	timeout := e.Policy.SilenceTimeout
	if timeout == 0 {
		timeout = defaultSilenceTimeout
	}
	if f.health.meanLatency == 0 {
		return timeout
	}
	return min(timeout, max(minSilenceTimeout, clock.Milli(silenceFactor*f.health.meanLatency)))
}

// detach removes a connection and frees the slot of its call, if any.
func (e *Engine) detach(f *leaf, c *conn) {
	if c.call != nil {
		c.call = nil
		f.busy--
	}
	delete(f.conns, c.id)
}

// publish sends the state of a leaf to the entries if the leaf was opened or closed, or
// its limit or snapshots changed. A change of the other figures alone sends nothing.
func (e *Engine) publish(f *leaf, now clock.Milli) []Action {
	if f.rank < 0 || e.leases.granted(now, f.server) {
		return nil // left to the other candidate
	}
	fb := e.feedback(now, f)
	old := f.published
	// old.Leaf is empty until the state is published first.
	if fb.Closed == old.Closed && fb.Limit == old.Limit && slices.Equal(fb.Holds, old.Holds) && old.Leaf != "" {
		return nil
	}
	f.published = fb
	return []Action{Publish{Feedback: fb}}
}

// Feedback returns the state of all leaves, to be sent to a newly connected entry.
func (e *Engine) Feedback(now clock.Milli) []query.Feedback {
	list := make([]query.Feedback, 0, len(e.byName))
	for _, f := range e.byName {
		list = append(list, e.feedback(now, f))
	}
	return list
}

// feedback returns the state of a leaf for the entries. Closed is set only for
// reasons that apply to all hosts: a standby that may not send now leaves it unset.
func (e *Engine) feedback(now clock.Milli, f *leaf) query.Feedback {
	return query.Feedback{
		Leaf: f.Name, Busy: f.busy, Queued: len(f.queue), Limit: e.limit(now, f),
		Holds: f.holds, Closed: f.outageReason() != query.ReasonNone, CallTime: f.health.latency.decayed(now, e.serviceMean(f)),
	}
}
