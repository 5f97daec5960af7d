package sched

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// Idle tells whether no call is waiting or at a leaf.
func (e *Engine) Idle() bool { return len(e.calls) == 0 }

// Strikes lists the requests refused now.
func (e *Engine) Strikes(now clock.Milli) []deny.Strike { return e.strikes.Active(now) }

// MergeStrike takes a strike from another host and tells whether it was news.
// Waiting calls with that fingerprint are answered as not run.
func (e *Engine) MergeStrike(now clock.Milli, s deny.Strike) (bool, []Action) {
	e.init(now)
	if !e.strikes.Merge(now, s) {
		return false, nil
	}
	e.proven.Drop(s.Fingerprint)
	if _, blocked := e.strikes.Blocked(now, s.Fingerprint); !blocked {
		return true, nil
	}
	return true, e.purge(now, s.Fingerprint)
}

// HostDown says that the link to another host is lost: promises to keep off its leafs end, except where a leaf is cold and may
// still have its work.
func (e *Engine) HostDown(now clock.Milli, host string) {
	e.init(now)
	for _, f := range e.order {
		l := e.leases.servers[f.server]
		if l != nil && l.other == host && f.ramp.left(now, f.warm) == 0 && now < l.given {
			l.given, l.moved = now, now
		}
	}
}

// purge answers the waiting calls of a fingerprint.
func (e *Engine) purge(now clock.Milli, fingerprint uint64) []Action {
	var out []Action
	for _, f := range e.order {
		kept := f.queue[:0]
		var gone []*call
		for _, c := range f.queue {
			if c.Fingerprint == fingerprint {
				gone = append(gone, c)
			} else {
				kept = append(kept, c)
			}
		}
		f.queue = kept
		for _, c := range gone {
			out = append(out, e.finish(now, c, query.Outcome{Kind: query.NotRun, Reason: query.ReasonQuarantined})...)
		}
	}
	return out
}

// LeafState is a leaf as operators see it.
type LeafState struct {
	Leaf         string
	Server       string
	Service      string
	Primary      bool
	Exclusive    bool
	Busy         int
	Queued       int
	Limit        int
	Slots        int
	Conns        int
	RampLeft     clock.Milli
	ClosedReason query.Reason
}

// State lists all leafs by name.
func (e *Engine) State(now clock.Milli) []LeafState {
	list := make([]LeafState, 0, len(e.order))
	for _, f := range e.order {
		list = append(list, LeafState{
			Leaf: f.Name, Server: f.server, Service: f.service,
			Primary: f.rank == 0, Exclusive: e.leases.exclusive(now, f.server),
			Busy: f.busy, Queued: len(f.queue), Limit: e.limit(now, f), Slots: f.cap,
			Conns: len(f.conns), RampLeft: f.ramp.left(now, f.warm),
			ClosedReason: e.closed(now, f),
		})
	}
	return list
}
