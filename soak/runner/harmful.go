package runner

import (
	"strings"
	"time"

	"dandelionstile/platform/fake"
)

const (
	// harmfulInterval is the interval between two harmful requests.
	harmfulInterval = 700 * time.Millisecond
	// harmfulCrashLimit is the number of leaves that a harmful request may crash
	// before all hosts must reject it. Up to maxHarmfulArrivals requests may still
	// reach leaves after that.
	harmfulCrashLimit  = 3
	maxHarmfulArrivals = 3
	// leafRestartDelay is the time until a crashed leaf is replaced.
	leafRestartDelay = 1500 * time.Millisecond
	harmfulCaller    = "harm"
)

// sendHarmful repeatedly sends a request that crashes each leaf that runs it, through
// all hosts in turn, like callers that retry after they get no answer.
func (t *testbed) sendHarmful() {
	c := caller{testbed: t, name: harmfulCaller}
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(harmfulInterval):
		}
		c.host = t.hosts[n%len(t.hosts)]
		c.fetchStatus("/one" + fake.HarmfulPath)
	}
}

// onHarmful closes a leaf that ran a harmful request, and later starts a
// replacement.
func (t *testbed) onHarmful(l *leaf) {
	t.mu.Lock()
	if l.closed {
		t.mu.Unlock()
		return
	}
	l.closed = true
	t.harmfulCrashes = append(t.harmfulCrashes, time.Now())
	t.mu.Unlock()
	t.closeLeaf(l)
	select {
	case <-t.stop:
		return
	case <-time.After(leafRestartDelay):
	}
	t.store.Delete(fake.KeyLeaf(l.ID))
	t.startReplacement(l)
}

// closeLeaf closes a leaf and its relay, so that hosts get their connections refused.
func (t *testbed) closeLeaf(l *leaf) {
	_ = l.relay.Close() // the leaf is meant to crash
	_ = l.Close()       // as above
}

// checkHarmful checks that a request that crashed harmfulCrashLimit leaves reaches
// leaves at most maxHarmfulArrivals times once the hosts have had time to inform each other.
func (t *testbed) checkHarmful(traces map[string]*requestTrace) {
	if len(t.harmfulCrashes) < harmfulCrashLimit {
		return
	}
	sortTimes(t.harmfulCrashes)
	deadline := t.harmfulCrashes[harmfulCrashLimit-1].Add(settleTime)
	n := 0
	for id, trace := range traces {
		if !strings.HasPrefix(id, harmfulCaller+"-") {
			continue
		}
		for _, a := range trace.arrivals {
			if a.At.After(deadline) && !t.mayHaveMissedChange(a.SourceIP, a.At.Add(-settleTime), a.At) {
				n++
			}
		}
	}
	if n > maxHarmfulArrivals {
		t.results.addViolation("HARM: a request that crashed %d leaves reached %d more, later than %s after the third crash", len(t.harmfulCrashes), n, settleTime)
	}
}
