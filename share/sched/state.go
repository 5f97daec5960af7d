package sched

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// Idle reports whether every call has an outcome. Leaves may still be working on
// cancelled calls.
func (e *Engine) Idle() bool { return len(e.calls) == 0 }

// Strikes returns the requests that are currently blocked.
func (e *Engine) Strikes(now clock.Milli) []deny.Strike { return e.strikes.Active(now) }

// MergeStrike applies a strike reported by another host and reports whether it
// was new. A new strike removes the request from those that a leaf is known to have
// completed, so that a canary of it runs again; if it blocks the request, the queued
// calls with its fingerprint are rejected as not run.
func (e *Engine) MergeStrike(now clock.Milli, s deny.Strike) (bool, []Action) {
	e.init(now)
	if !e.strikes.Merge(now, s) {
		return false, nil
	}
	e.proven.Remove(s.Fingerprint)
	if _, blocked := e.strikes.Blocked(now, s.Fingerprint); !blocked {
		return true, nil
	}
	return true, e.purge(now, s.Fingerprint)
}

// HostDown handles the loss of the link to another host. It ends the leases
// granted to that host, except on servers whose leaves are all cold, since they may
// still be running its calls.
func (e *Engine) HostDown(now clock.Milli, host string) {
	e.init(now)
	for _, f := range e.byName {
		l := e.leases.servers[f.server]
		if l != nil && l.peer == host && f.ramp.remaining(now, f.warmUp) == 0 && now < l.grantedUntil {
			l.grantedUntil, l.changedAt = now, now
		}
	}
}

// purge rejects all queued calls with a fingerprint.
func (e *Engine) purge(now clock.Milli, fingerprint uint64) []Action {
	var out []Action
	for _, f := range e.byName {
		kept := f.queue[:0]
		var matched []*activeCall
		for _, call := range f.queue {
			if call.Fingerprint == fingerprint {
				matched = append(matched, call)
			} else {
				kept = append(kept, call)
			}
		}
		f.queue = kept
		for _, call := range matched {
			out = append(out, e.finish(now, call, query.Outcome{Kind: query.NotRun, Reason: query.ReasonQuarantined})...)
		}
	}
	return out
}

// LeafState is the state of a leaf as shown to operators.
type LeafState struct {
	Leaf    string
	Server  string
	Service string
	// Primary is set if this host is the first candidate for the leaf's server.
	Primary bool
	// Exclusive is set if this host holds the server's lease or is the only candidate.
	Exclusive bool
	Busy      int
	Queued    int
	// Limit is how many concurrent calls this host may send to the leaf now, at most
	// Slots.
	Limit int
	Slots int
	Conns int
	// RampLeft is the time until the leaf counts as warm.
	RampLeft clock.Milli
	// ClosedReason is why this host sends no calls to the leaf, or ReasonNone.
	ClosedReason query.Reason
}

// State returns the state of all leaves, sorted by name.
func (e *Engine) State(now clock.Milli) []LeafState {
	list := make([]LeafState, 0, len(e.byName))
	for _, f := range e.byName {
		list = append(list, LeafState{
			Leaf: f.Name, Server: f.server, Service: f.service,
			Primary: f.rank == 0, Exclusive: e.leases.exclusive(now, f.server),
			Busy: f.busy, Queued: len(f.queue), Limit: e.limit(now, f), Slots: f.slotLimit,
			Conns: len(f.conns), RampLeft: f.ramp.remaining(now, f.warmUp),
			ClosedReason: e.closedReason(now, f),
		})
	}
	return list
}
