package sched

import (
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// health is what is known of a leaf's server beyond its ramp.
type health struct {
	incarnation uint64
	usual       float64 // usual service time in ms, smoothed
	failures    int     // in a row
	down        bool    // no new work until a probe succeeds
	nextProbe   clock.Milli
	backoff     clock.Milli
	draining    bool
	drainedAt   clock.Milli // when the leaf last said that it drains
	progress    clock.Milli // when any connection last made progress
	pace        pace
}

const (
	// ejectAfter is how many failures in a row close a leaf until a probe
	// succeeds.
	ejectAfter = 3
	// probeMax bounds the pause between probes of a leaf that is down.
	probeMax = 5 * clock.Second
	// drainHold is how long a leaf must have stopped saying that it drains
	// before it gets work again, unless it restarted. Its endpoints lag, and
	// one of them alone never brings it back.
	drainHold = 3 * clock.Second
)

// LeafStatus is what a reply or probe tells of a leaf besides its result.
type LeafStatus struct {
	// Incarnation changes when the server restarts; 0 when unknown.
	Incarnation uint64
	Draining    bool
	// Holds are the leaf's snapshots; nil when not told.
	Holds []topo.SnapshotID
}

// restarted tells whether the sign comes from another incarnation than the one
// known of.
func (s LeafStatus) restarted(f *leaf) bool {
	return s.Incarnation != 0 && f.health.incarnation != 0 && s.Incarnation != f.health.incarnation
}

// closed tells why a leaf takes no new work, or ReasonNone.
func (e *Engine) closed(now clock.Milli, f *leaf) query.Reason {
	if f.rank < 0 || e.leases.promised(now, f.server) {
		return query.ReasonNotOwner
	}
	return f.shut()
}

// shut tells why a leaf takes no new work from anyone, or ReasonNone.
func (f *leaf) shut() query.Reason {
	switch {
	case f.out != query.ReasonNone:
		return f.out
	case f.health.draining:
		return query.ReasonDraining
	case f.health.down:
		return query.ReasonUnreachable
	}
	return query.ReasonNone
}

// observe takes the signs of a reply or probe.
func (e *Engine) observe(now clock.Milli, f *leaf, s LeafStatus, probe bool) []Action {
	var out []Action
	h := &f.health
	if s.restarted(f) {
		f.ramp.begin(now, true)
		h.usual = 0
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
		h.draining, h.drainedAt = true, now
		out = append(out, e.flush(now, f, query.ReasonDraining)...)
	} else if h.draining && probe && now-h.drainedAt >= drainHold {
		h.draining = false
		// What it did while it drained is not known here: start from cold.
		f.ramp.begin(now, true)
		out = append(out, LeafEvent{Leaf: f.Name, Event: "ramp started", Cause: "drain ended"})
	}
	return out
}

// succeed clears what failures left behind.
func (f *leaf) succeed(now clock.Milli) {
	h := &f.health
	h.failures, h.backoff = 0, 0
	h.down = false
	h.progress = now
	if h.nextProbe > now+probeEvery {
		h.nextProbe = now + probeEvery
	}
}

// fail counts a failure; certain ones close the leaf at once.
func (e *Engine) fail(now clock.Milli, f *leaf, certain bool, cause query.Reason) []Action {
	h := &f.health
	h.failures++
	if !certain && h.failures < ejectAfter {
		return nil
	}
	var out []Action
	if !h.down {
		h.down = true
		out = append(out, LeafEvent{Leaf: f.Name, Event: "closed", Cause: string(cause)})
		out = append(out, e.flush(now, f, query.ReasonUnreachable)...)
	}
	h.backoff = min(max(2*h.backoff, 100), probeMax)
	h.nextProbe = now + h.backoff
	return out
}

// probes sends what is due: a probe per leaf and second, over an idle
// connection or a new one. It keeps connections warm, finds silent ones, and
// learns restarts, drains and snapshots.
func (e *Engine) probes(now clock.Milli, f *leaf) []Action {
	h := &f.health
	if f.rank < 0 || now < h.nextProbe {
		return nil
	}
	c, fresh := f.idle(true), false
	if c == nil || (len(f.conns) < min(f.cap, f.share()) && !h.down) {
		if n := e.open(now, f); n != nil {
			c, fresh = n, true
		}
	}
	if c == nil {
		return nil
	}
	h.nextProbe = now + probeEvery
	if len(f.conns) < min(f.cap, f.share()) {
		h.nextProbe = now + 50
	}
	c.probe, c.since = true, now
	return []Action{Probe{Leaf: f.Name, Conn: c.id, NewConn: fresh}}
}

// idle returns a free connection: the least recently used for a probe, the most
// recently used for a call.
func (f *leaf) idle(oldest bool) *conn {
	var best *conn
	for _, c := range f.conns {
		if c.call != nil || c.probe || !c.opened {
			continue
		}
		if best == nil || c.used == best.used && c.id < best.id || (c.used < best.used) == oldest && c.used != best.used {
			best = c
		}
	}
	return best
}

// open makes a new connection if the share allows one more.
func (e *Engine) open(now clock.Milli, f *leaf) *conn {
	if len(f.conns) >= f.share() {
		return nil
	}
	e.lastConn++
	c := &conn{id: e.lastConn, since: now, used: now}
	f.conns[c.id] = c
	return c
}

// ProbeDone takes the result of a probe.
func (e *Engine) ProbeDone(now clock.Milli, leafName string, id ConnID, s LeafStatus, err error) []Action {
	f := e.leafs[leafName]
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
		out = append(out, e.fail(now, f, !c.opened, query.ReasonUnreachable)...)
		return append(out, e.publish(f, now)...)
	}
	if aborted := c.aborts; aborted != (Key{}) {
		f.endGhosts(func(g ghost) bool { return g.key == aborted })
	}
	c.probe, c.opened, c.used, c.aborts = false, true, now, Key{}
	f.succeed(now)
	out := e.observe(now, f, s, true)
	out = append(out, e.dispatch(now, f)...)
	return append(out, e.publish(f, now)...)
}

// ConnClosed says that a connection was closed. One that was idle is dropped before
// a call is put on it: the call would fail, and its request would be taken for
// what brought the server down. A close by the server hints at a restart, so
// the leaf is looked at right away.
func (e *Engine) ConnClosed(now clock.Milli, leafName string, id ConnID) []Action {
	f := e.leafs[leafName]
	if f == nil {
		return nil
	}
	c := f.conns[id]
	if c == nil || c.call != nil || c.probe {
		return nil // what is on it ends with an error of its own
	}
	delete(f.conns, id)
	f.health.nextProbe = now
	return e.probes(now, f)
}

// watchdog condemns connections that make no progress. Something between the
// two ends may have lost track of a connection: it is silent for good while new
// ones work. The connection goes; the leaf is blamed only when none of its
// other connections makes progress either.
func (e *Engine) watchdog(now clock.Milli, f *leaf) []Action {
	var out []Action
	limit := e.silentAfter(f)
	for _, c := range f.sorted() {
		span := probeTimeout
		if c.call != nil {
			span = limit
		}
		if (c.call == nil && !c.probe) || now-c.since < span {
			continue
		}
		lost := c.call
		if lost != nil {
			f.overtaken(now, lost)
		}
		e.detach(f, c)
		out = append(out, CloseConn{Leaf: f.Name, Conn: c.id, Reason: query.ReasonSilent})
		if now-f.health.progress >= span {
			out = append(out, e.fail(now, f, !c.opened, query.ReasonSilent)...)
		}
		if lost != nil {
			f.lost = append(f.lost, ghost{lost.Key, min(lost.Deadline, now+probeTimeout)})
			out = append(out, e.abort(now, f, lost)...)
			out = append(out, e.finish(now, lost, query.Outcome{Kind: query.Unknown, Reason: query.ReasonSilent})...)
		}
	}
	return out
}

// abort asks the leaf to stop working on a call.
func (e *Engine) abort(now clock.Milli, f *leaf, k *call) []Action {
	c, fresh := f.idle(true), false
	if c == nil {
		c, fresh = e.open(now, f), true
	}
	if c == nil {
		return nil
	}
	c.probe, c.since, c.aborts = true, now, k.Key
	return []Action{Abort{Leaf: f.Name, Conn: c.id, NewConn: fresh, Call: k.Call}}
}

// ghosts counts the calls that may still run at the leaf although their
// connections were condemned. A leaf that is only slow would otherwise get more
// than its slots: it sheds, and is taken for cold. A ghost ends when the leaf
// confirms that it has stopped, or with its deadline.
func (f *leaf) ghosts(now clock.Milli) int {
	f.endGhosts(func(g ghost) bool { return now >= g.until })
	return len(f.lost)
}

func (f *leaf) endGhosts(ended func(ghost) bool) {
	kept := f.lost[:0]
	for _, g := range f.lost {
		if !ended(g) {
			kept = append(kept, g)
		}
	}
	f.lost = kept
}

// Bounds of silentAfter.
const (
	silentFactor             = 25
	silentMin    clock.Milli = 150
)

// silentAfter is how long a call may go without a reply: many times what the
// leaf usually takes, so that a mere straggler keeps its connection.
func (e *Engine) silentAfter(f *leaf) clock.Milli {
	most := e.Policy.SilenceTimeout
	if most == 0 {
		most = defaultSilent
	}
	if f.health.usual == 0 {
		return most
	}
	return min(most, max(silentMin, clock.Milli(silentFactor*f.health.usual)))
}

// detach takes a call off its connection and forgets the connection.
func (e *Engine) detach(f *leaf, c *conn) {
	if c.call != nil {
		c.call = nil
		f.busy--
	}
	delete(f.conns, c.id)
}

// publish tells the entries when something they choose by has changed.
func (e *Engine) publish(f *leaf, now clock.Milli) []Action {
	if f.rank < 0 || e.leases.promised(now, f.server) {
		return nil // the other candidate knows better
	}
	fb := e.feedback(now, f)
	old := f.feeding
	if fb.Closed == old.Closed && fb.Limit == old.Limit && slices.Equal(fb.Holds, old.Holds) && old.Leaf != "" {
		return nil
	}
	f.feeding = fb
	return []Action{Publish{Feedback: fb}}
}

// Feedback lists the state of all leafs, for an entry that has just linked up.
func (e *Engine) Feedback(now clock.Milli) []query.Feedback {
	list := make([]query.Feedback, 0, len(e.order))
	for _, f := range e.order {
		list = append(list, e.feedback(now, f))
	}
	return list
}

func (e *Engine) feedback(now clock.Milli, f *leaf) query.Feedback {
	return query.Feedback{
		Leaf: f.Name, Busy: f.busy, Queued: len(f.queue), Limit: e.limit(now, f),
		Holds: f.holds, Closed: f.shut() != query.ReasonNone, CallTime: f.health.pace.at(now, e.usualOf(f)),
	}
}
