package play

import (
	"strings"
	"time"

	"dandelionstile/platform/fake"
)

const (
	// harmEvery is the pause between two sendings of a harmful request.
	harmEvery = 700 * time.Millisecond
	// harmLeafs is at how many leafs a harmful request may be before all hosts
	// must refuse it, and harmRetries how often it may still reach one later.
	harmLeafs   = 3
	harmRetries = 3
	// harmBack is how long a leaf that went down stays away.
	harmBack = 1500 * time.Millisecond
	harmName = "harm"
)

// harm sends a request that brings down each leaf that runs it, again and again
// through all hosts, as callers do that get no answer.
func (w *world) harm() {
	c := caller{world: w, name: harmName}
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(harmEvery):
		}
		c.host = w.hosts[n%len(w.hosts)]
		c.status("/one" + fake.HarmfulPath)
	}
}

// harmed ends a leaf that ran a harmful request; another takes its place.
func (w *world) harmed(l *leaf) {
	w.mu.Lock()
	if l.gone {
		w.mu.Unlock()
		return
	}
	l.gone = true
	w.harms = append(w.harms, time.Now())
	w.mu.Unlock()
	w.end(l)
	select {
	case <-w.stop:
		return
	case <-time.After(harmBack):
	}
	w.store.Delete(fake.KeyLeaf(l.ID))
	w.replace(l)
}

// end closes a leaf and the relay before it, so that hosts are refused.
func (w *world) end(l *leaf) {
	_ = l.relay.Close() // it is meant to break
	_ = l.Close()       // as above
}

// checkHarmful: a request that has brought three leafs down reaches no others,
// once the hosts have had time to tell each other.
func (w *world) checkHarmful(all map[string]*seen) {
	if len(w.harms) < harmLeafs {
		return
	}
	sortTimes(w.harms)
	due := w.harms[harmLeafs-1].Add(touch)
	n := 0
	for id, s := range all {
		if !strings.HasPrefix(id, harmName+"-") {
			continue
		}
		for _, a := range s.reached {
			if a.At.After(due) && !w.excused(a.SourceIP, a.At.Add(-touch), a.At) {
				n++
			}
		}
	}
	if n > harmRetries {
		w.checks.fault("HARM: a request that had brought %d leafs down reached %d more later than %s after the third", len(w.harms), n, touch)
	}
}
