package runner

import (
	"fmt"
	"strings"
	"time"
)

const (
	// cancelBound is the time after a caller disconnected within which leaves may
	// still receive its request or run it. It is well below the time at which a
	// query would be answered anyway, which ends the work as well.
	cancelBound = 250 * time.Millisecond
	// maxLateRequests is the number of such requests tolerated per run: on a busy
	// machine, a host may not have been scheduled in time.
	maxLateRequests = 3
	// maxUnstoppedShare is the tolerated share of requests that leaves still run
	// after the bound, among those that would have run longer without a cancellation.
	maxUnstoppedShare = 0.25
)

// checkCancelled checks that hosts and leaves stop working on a request once its
// caller has disconnected.
func (t *testbed) checkCancelled(traces map[string]*requestTrace) {
	sentLate, unstopped, stoppable := 0, 0, 0
	lastSentLate, lastUnstopped := "", ""
	for _, r := range t.results.requests {
		trace := traces[r.id]
		if !r.cancelled || trace == nil {
			continue
		}
		deadline := r.ended.Add(cancelBound)
		for _, a := range trace.arrivals {
			if a.At.After(deadline) && !t.hostHadFault(a.SourceIP, r.sent, a.At) {
				sentLate++
				lastSentLate = fmt.Sprintf("%s, from %s %s later", r.id, a.SourceIP, a.At.Sub(r.ended))
			}
		}
		for _, run := range trace.runs {
			// Only queries count whose run a fault of a leaf, such as a stall, may have
			// extended; without one, a run ends soon even if it isn't cancelled.
			if strings.HasPrefix(r.path, "/set/") || t.hostHadFault(run.SourceIP, r.sent, deadline) || !t.leavesHadFault(run.At, deadline) {
				continue
			}
			stoppable++
			if run.Ended.IsZero() || run.Ended.After(deadline) {
				unstopped++
				lastUnstopped = fmt.Sprintf("%s, from %s", r.id, run.SourceIP)
			}
		}
	}
	if sentLate > maxLateRequests {
		t.results.addViolation("GONE: %d requests were sent to leaves after their callers had disconnected, the last is %s", sentLate, lastSentLate)
	}
	if unstopped > maxLateRequests && float64(unstopped) > maxUnstoppedShare*float64(stoppable) {
		t.results.addViolation("GONE: leaves still ran %d of %d requests whose callers had disconnected, the last is %s", unstopped, stoppable, lastUnstopped)
	}
}

// leavesHadFault reports whether any leaf had a fault within an interval, so that a run
// may have lasted that long.
func (t *testbed) leavesHadFault(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return overlaps(t.leafFaults, from, to)
}

// hostHadFault reports whether a fault affected the host with an IP address within
// an interval or up to one second before it, or whether the host was shutting down within
// the interval. It reports true if no host has the address.
func (t *testbed) hostHadFault(ip string, from, to time.Time) bool {
	for _, h := range t.hosts {
		if h.ip != ip {
			continue
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return overlaps(h.faults, from.Add(-time.Second), to) || overlaps(h.terminations, from, to)
	}
	return true // not from a host, so it is not checked
}
