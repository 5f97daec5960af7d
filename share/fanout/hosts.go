package fanout

import (
	"sort"

	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

// host is an entry's view of an aggregator.
type host struct {
	up          bool
	leaving     bool
	rtt         float64 // in ms
	lastReplyAt clock.Milli
	inFlight    int         // this entry's calls at the host
	busySince   clock.Milli // when inFlight last rose from 0
}

// hostSilenceTimeout is how long an aggregator with calls may go without a reply
// before others are preferred. A paused process keeps its links for seconds, and
// would otherwise get calls all that time.
const hostSilenceTimeout = 150 * clock.Milli(1)

// recordSend counts a call sent to a host.
func (h *host) recordSend(now clock.Milli) {
	if h.inFlight == 0 {
		h.busySince = now
	}
	h.inFlight++
}

// minCallsForSilence is the number of calls in flight from which silence counts: a
// few calls may all be at slow leaves.
const minCallsForSilence = 4

// silent reports whether a host appears to be stalled: it has at least
// minCallsForSilence calls in flight and has not replied for hostSilenceTimeout plus
// the round trip.
func (h *host) silent(now clock.Milli) bool {
	return h.inFlight >= minCallsForSilence && now-max(h.lastReplyAt, h.busySince) > hostSilenceTimeout+clock.Milli(h.rtt)
}

// HostUp records that an aggregator is connected.
func (e *Engine) HostUp(name string) {
	e.init()
	e.host(name).up = true
}

// HostLeaving sets whether an aggregator is leaving.
func (e *Engine) HostLeaving(name string, leaving bool) {
	e.init()
	e.host(name).leaving = leaving
}

// RecordRTT adds a measured round-trip time in ms to an aggregator's moving average,
// which begins with the first.
func (e *Engine) RecordRTT(name string, rtt float64) {
	e.init()
	h := e.host(name)
	if h.rtt == 0 {
		h.rtt = rtt
	}
	h.rtt += (rtt - h.rtt) / 4
}

// host returns the state of a host, and creates it if there is none.
func (e *Engine) host(name string) *host {
	h, ok := e.hosts[name]
	if !ok {
		h = &host{}
		e.hosts[name] = h
	}
	return h
}

// HostDown handles the loss of the link to an aggregator. Calls and updates sent over it
// end as Unknown, since they may have run. The pins of all services are chosen again.
func (e *Engine) HostDown(now clock.Milli, name string) []Action {
	e.init()
	e.host(name).up = false
	var lost []*attempt
	for _, a := range e.attempts {
		if a.host == name {
			lost = append(lost, a)
		}
	}
	// Sorted, so that runs are reproducible.
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

// aggregatorFor returns the aggregator through which to call a leaf: the first
// candidate that is connected, responsive and not leaving, or else the first that
// is connected, or "" if none is. Hosts in skip have already rejected the call.
func (e *Engine) aggregatorFor(f *leaf, skip map[string]bool) string {
	fallback := ""
	for _, name := range f.owners {
		h := e.hosts[name]
		if h == nil || !h.up || skip[name] {
			continue
		}
		if !h.leaving && !h.silent(e.now) {
			return name
		}
		if fallback == "" {
			fallback = name
		}
	}
	return fallback
}
