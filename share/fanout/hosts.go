package fanout

import (
	"sort"

	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// host is an entry's view of one aggregator.
type host struct {
	up      bool
	leaving bool
	rtt     float64 // in ms
	heard   clock.Milli
	flying  int         // our calls at it
	since   clock.Milli // since when calls have been out without a break
}

// hostSilent is how long an aggregator with calls of ours may give no word on
// any of them before others are preferred. A paused process keeps its links for
// seconds; without this, calls go into it all the while.
const hostSilent = 150 * clock.Milli(1)

func (h *host) send(now clock.Milli) {
	if h.flying == 0 {
		h.since = now
	}
	h.flying++
}

// hostLeast is how many calls must be out for silence to mean anything: a few
// may all be at leafs that are slow.
const hostLeast = 4

// silent tells whether a host seems to stand still.
func (h *host) silent(now clock.Milli) bool {
	return h.flying >= hostLeast && now-max(h.heard, h.since) > hostSilent+clock.Milli(h.rtt)
}

// HostUp says that an aggregator is linked.
func (e *Engine) HostUp(name string) {
	e.init()
	e.host(name).up = true
}

// HostLeaving says whether an aggregator is on its way out.
func (e *Engine) HostLeaving(name string, leaving bool) {
	e.init()
	e.host(name).leaving = leaving
}

// RecordRTT gives a measured round trip to an aggregator, in milliseconds.
func (e *Engine) RecordRTT(name string, rtt float64) {
	e.init()
	h := e.host(name)
	if h.rtt == 0 {
		h.rtt = rtt
	}
	h.rtt += (rtt - h.rtt) / 4
}

func (e *Engine) host(name string) *host {
	h, ok := e.hosts[name]
	if !ok {
		h = &host{}
		e.hosts[name] = h
	}
	return h
}

// HostDown says that the link to an aggregator is gone. What was sent over it
// may have run.
func (e *Engine) HostDown(now clock.Milli, name string) []Action {
	e.init()
	e.host(name).up = false
	var lost []*attempt
	for _, a := range e.attempts {
		if a.host == name {
			lost = append(lost, a)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].id < lost[j].id })
	var out []Action
	for _, a := range lost {
		out = append(out, e.CallDone(now, query.Outcome{Call: a.id, Kind: query.Unknown, Reason: query.ReasonUnreachable})...)
	}
	for _, s := range e.services {
		s.dirty = true
	}
	return append(out, e.updatesHostDown(now, name)...)
}

// owner returns the aggregator to reach a leaf through: the first candidate
// that is linked, answers and stays, or else one that is linked. The skip names
// hosts that have refused already.
func (e *Engine) owner(f *leaf, skip map[string]bool) string {
	second := ""
	for _, name := range f.owners {
		h := e.hosts[name]
		if h == nil || !h.up || skip[name] {
			continue
		}
		if !h.leaving && !h.silent(e.now) {
			return name
		}
		if second == "" {
			second = name
		}
	}
	return second
}
