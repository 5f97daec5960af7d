package runner

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"dandelionstile/fakes/relay"
	"dandelionstile/platform/fake"
)

const (
	// warmUpTime is how long the processes run before the first fault. The system
	// must have recovered recoveryTime after the last fault, and is then observed for
	// recoveryWatchTime.
	warmUpTime        = 4 * time.Second
	recoveryTime      = 7 * time.Second
	recoveryWatchTime = 4 * time.Second
	// meanFaultInterval is the mean interval between the starts of two faults; it is
	// short enough that several faults overlap. Even seeds multiply it by
	// calmIntervalFactor, since bounds apply only to hosts that had no fault for a while.
	meanFaultInterval  = 400 * time.Millisecond
	calmIntervalFactor = 4
	maxFaultTime       = 4 * time.Second
)

// Run runs one seed. It returns an error if the environment could not be started;
// violated guarantees are in the report.
func Run(s Settings) (Report, error) {
	t := &testbed{Settings: s}
	defer t.close()
	if err := t.start(); err != nil {
		return Report{}, err
	}
	for i, h := range t.hosts {
		t.wait.Go(func() { t.pollReadiness(h) })
		t.wait.Go(func() { t.probe(h) })
		t.wait.Go(func() { t.sendBursts(h, rand.New(rand.NewPCG(t.Seed, uint64(1000+i)))) })
	}
	callers := max(4, t.Rate/4)
	for i := range callers {
		// With a Rate of at least 16, each caller sends up to about 4 requests per second.
		c := &caller{testbed: t, rand: rand.New(rand.NewPCG(t.Seed, uint64(100+i))), name: "c" + string(rune('a'+i%26)) + string(rune('a'+i/26))}
		t.wait.Go(func() {
			time.Sleep(warmUpTime / 2)
			c.run(time.Second * time.Duration(callers) / time.Duration(t.Rate))
		})
	}
	if t.Stops {
		t.startKeepers()
	}
	time.Sleep(time.Until(t.startedAt.Add(warmUpTime)))
	// Every third seed also sends harmful requests. Beside keepers, the leaves that they crash
	// would be missing until the end.
	if t.Seed%3 == 0 && !t.Stops {
		t.wait.Go(t.sendHarmful)
	}
	faults := t.injectFaults()
	time.Sleep(recoveryTime + recoveryWatchTime)
	close(t.stop)
	time.Sleep(callerTimeout / 2)
	t.checkRun()
	return t.makeReport(faults), nil
}

// makeReport returns the result of the run, and removes its directory if no guarantee
// was violated.
func (t *testbed) makeReport(faults int) Report {
	r := Report{Seed: t.Seed, Dir: t.dir, Requests: len(t.results.requests), Faults: faults, Violations: t.results.violations}
	for _, q := range t.results.requests {
		if q.status == 200 {
			r.Succeeded++
		}
	}
	if len(r.Violations) == 0 {
		_ = os.RemoveAll(t.dir) // best effort: leftover files do no harm
	}
	return r
}

// injectFaults starts random faults until the end of the fault phase and returns
// their number. Each fault ends by itself; the duration that it is given ends at most
// one second after the fault phase.
func (t *testbed) injectFaults() int {
	end := t.startedAt.Add(warmUpTime + t.FaultTime)
	meanInterval := float64(meanFaultInterval)
	kinds := faultKinds
	if t.Stops {
		kinds = stopFaultKinds
	}
	// A host that has just started has few idle connections.
	if t.Stops || t.Seed%2 == 0 {
		meanInterval *= calmIntervalFactor
	}
	n := 0
	for time.Now().Before(end) {
		duration := 300*time.Millisecond + time.Duration(t.rand.Int64N(int64(maxFaultTime)))
		duration = min(duration, time.Until(end)+time.Second)
		kind, draw := t.rand.IntN(len(kinds)), t.rand.Uint64()
		t.wait.Go(func() { kinds[kind](t, draw, duration) })
		n++
		time.Sleep(time.Duration(t.rand.ExpFloat64() * meanInterval))
	}
	return n
}

// faultKind applies a fault and returns when it has ended. draw is a random number that
// chooses the target and the details of the fault.
type faultKind func(t *testbed, draw uint64, duration time.Duration)

// faultKinds are the kinds of faults; one that is listed twice is drawn twice as often.
var faultKinds = []faultKind{
	(*testbed).kill, (*testbed).terminate, (*testbed).terminate, (*testbed).pause, (*testbed).reload,
	(*testbed).failStore, (*testbed).compactStore, (*testbed).impairStoreLink, (*testbed).impairStoreLink,
	(*testbed).degradeLeaves, (*testbed).degradeLeaves, (*testbed).degradeLeaves, (*testbed).impairLeafLinks, (*testbed).impairLeafLinks,
	(*testbed).crashLeaf, (*testbed).drainLeaf, (*testbed).drainLeaf, (*testbed).slowLeafPerService, (*testbed).slowLeafPerService,
	(*testbed).changeConfig, (*testbed).changeConfig, (*testbed).stallLeaves, (*testbed).stallLeaves,
}

func (t *testbed) chooseHost(draw uint64) *host { return t.hosts[draw%uint64(len(t.hosts))] }

// chooseLeaf returns a leaf that is neither closed nor draining, or the first leaf
// if there is none.
func (t *testbed) chooseLeaf(draw uint64) *leaf {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.leaves {
		l := t.leaves[(draw+uint64(i))%uint64(len(t.leaves))]
		if !l.closed && l.drained.IsZero() {
			return l
		}
	}
	return t.leaves[0]
}

// kill ends a host's process with SIGKILL and starts it again.
func (t *testbed) kill(draw uint64, duration time.Duration) {
	h := t.chooseHost(draw)
	if !h.claim() {
		return
	}
	now := time.Now()
	h.addFault(now, now.Add(duration+time.Second))
	h.addStale(now, now.Add(duration+time.Second))
	<-h.signal(syscall.SIGKILL, true)
	time.Sleep(duration / 2)
	t.restart(h)
}

// restart starts a host's process again and releases the host.
func (t *testbed) restart(h *host) {
	if err := t.startProcess(h); err != nil {
		t.results.addViolation("START: %s: %v", h.name, err)
	}
	h.release()
}

// claim reserves a host for a fault that ends its process, and reports whether it
// succeeded. Only one such fault runs on a host at a time.
func (h *host) claim() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.shouldRun {
		return false
	}
	h.shouldRun = false
	return true
}

// release ends the reservation of a host. From now on an exit is unexpected.
func (h *host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shouldRun = true
}

// terminate shuts a host down gracefully with SIGTERM and starts it again. An exit status
// other than 0 is a violation. A host that still runs after shutdownTimeout is killed,
// which is a violation unless a recent fault may have delayed the shutdown.
func (t *testbed) terminate(draw uint64, duration time.Duration) {
	h := t.chooseHost(draw)
	if !h.claim() {
		return
	}
	h.mu.Lock()
	h.terminations = append(h.terminations, openInterval(time.Now()))
	index := len(h.terminations) - 1
	cmd := h.cmd
	h.mu.Unlock()
	ended := h.signal(syscall.SIGTERM, true)
	h.mu.Lock()
	close(h.shuttingDown)
	h.shuttingDown = nil
	h.mu.Unlock()
	if t.Stops && draw>>8%2 == 0 {
		t.wait.Go(func() { pulse(cmd.Process, rand.New(rand.NewPCG(t.Seed, draw)), ended) })
	}
	select {
	case <-ended:
		if code := cmd.ProcessState.ExitCode(); code != 0 {
			t.results.addViolation("EXIT: %s exited with status %d after SIGTERM", h.name, code)
		}
	case <-time.After(shutdownTimeout):
		// A fault may have delayed the shutdown; a paused process doesn't handle SIGTERM.
		if !h.hadRecentFault() {
			t.results.addViolation("EXIT: %s was still running %s after SIGTERM", h.name, shutdownTimeout)
		}
		now := time.Now()
		h.addFault(now, now.Add(time.Second))
		<-h.signal(syscall.SIGKILL, true)
	}
	h.mu.Lock()
	h.terminations[index].to = time.Now()
	h.mu.Unlock()
	time.Sleep(duration / 4)
	t.restart(h)
}

func openInterval(from time.Time) interval { return interval{from: from} }

// hadRecentFault reports whether one of the host's faults, which don't include
// terminations, overlaps the last shutdownTimeout.
func (h *host) hadRecentFault() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	return overlaps(h.faults, now.Add(-shutdownTimeout), now)
}

// pause suspends a host's process with SIGSTOP. It resumes with outdated state.
func (t *testbed) pause(draw uint64, duration time.Duration) {
	h := t.chooseHost(draw)
	now := time.Now()
	h.addFault(now, now.Add(duration))
	h.addStale(now, now.Add(duration))
	h.signal(syscall.SIGSTOP, false)
	time.Sleep(duration)
	h.signal(syscall.SIGCONT, false)
}

// reload makes a host's process reload its settings.
func (t *testbed) reload(draw uint64, _ time.Duration) {
	t.chooseHost(draw).signal(syscall.SIGHUP, false)
}

// addStoreFault records a fault of the store that starts now and lasts for duration.
func (t *testbed) addStoreFault(duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.storeFaults = append(t.storeFaults, interval{now, now.Add(duration)})
}

// failStore makes the store unavailable, silent or slow.
func (t *testbed) failStore(draw uint64, duration time.Duration) {
	t.addStoreFault(duration)
	t.store.SetMode([]fake.StoreMode{fake.StoreUnavailable, fake.StoreSilent, fake.StoreSlow}[draw%3])
	time.Sleep(duration)
	t.store.SetMode(fake.StoreHealthy)
}

// compactStore makes the store drop its history of changes.
func (t *testbed) compactStore(uint64, time.Duration) {
	t.addStoreFault(0)
	t.store.Compact()
}

// relayFaults are the faults that a relay can apply to the connections of a host.
var relayFaults = []relay.State{relay.Blocked, relay.Silent, relay.OneWay, relay.Slow}

// impairStoreLink impairs the connections from one host to the store.
func (t *testbed) impairStoreLink(draw uint64, duration time.Duration) {
	h := t.chooseHost(draw)
	now := time.Now()
	h.addFault(now, now.Add(duration))
	h.addStale(now, now.Add(duration))
	t.relay.SetState(h.ip, relayFaults[draw>>8%4])
	time.Sleep(duration)
	t.relay.SetState(h.ip, relay.Open)
}

// impairLeafLinks impairs the connections from one host to a third of the leaves.
func (t *testbed) impairLeafLinks(draw uint64, duration time.Duration) {
	h := t.chooseHost(draw)
	now := time.Now()
	h.addFault(now, now.Add(duration))
	t.mu.Lock()
	leaves := append([]*leaf(nil), t.leaves...)
	t.mu.Unlock()
	for i, l := range leaves {
		if (uint64(i)+draw)%3 == 0 {
			l.relay.SetState(h.ip, relayFaults[draw>>8%4])
			defer l.relay.SetState(h.ip, relay.Open)
		}
	}
	time.Sleep(duration)
}

// leafModes are the faults of leaves. Lost answers are more frequent than the
// others, as hosts can hardly distinguish them from requests that did not run.
var leafModes = []fake.LeafMode{
	{Frozen: true}, {ServiceTime: 250 * time.Millisecond}, {ShedShare: 0.5}, {LossShare: 0.3}, {LossShare: 0.5}, {LossShare: 0.2, ServiceTime: 60 * time.Millisecond},
}

// degradeLeaves applies a fault to one leaf, to all leaves of its service, or to
// all leaves of the service "one".
func (t *testbed) degradeLeaves(draw uint64, duration time.Duration) {
	affected := []*leaf{t.chooseLeaf(draw)}
	switch draw >> 16 % 3 {
	case 0:
		affected = t.leavesOf("one")
	case 1:
		affected = t.leavesOf(affected[0].Service)
	}
	t.setLeafMode(affected, leafModes[draw>>8%uint64(len(leafModes))], duration)
}

// slowLeafPerService slows down one leaf of each service at once. Hosts then want
// to retry or hedge a part of every query, and the budget has to limit them.
func (t *testbed) slowLeafPerService(_ uint64, duration time.Duration) {
	t.mu.Lock()
	affected := map[string]*leaf{}
	for _, l := range t.leaves {
		if !l.closed {
			affected[l.Service] = l
		}
	}
	t.mu.Unlock()
	t.setLeafMode(slices.Collect(maps.Values(affected)), fake.LeafMode{ServiceTime: 250 * time.Millisecond}, duration)
}

// stallLeaves slows down half of the requests at every leaf, until the fault phase
// ends or for at most twice maxFaultTime. Hosts then want to hedge half of all
// calls, on whichever leaf, and only the budget limits them.
func (t *testbed) stallLeaves(uint64, time.Duration) {
	t.mu.Lock()
	leaves := append([]*leaf(nil), t.leaves...)
	t.mu.Unlock()
	t.setLeafMode(leaves, fake.LeafMode{StallShare: 0.5}, min(2*maxFaultTime, time.Until(t.startedAt.Add(warmUpTime+t.FaultTime))))
}

// setLeafMode applies a fault to leaves for a duration. A concurrent fault of the
// same leaf replaces it, and the first of the two to end clears the leaf's fault.
func (t *testbed) setLeafMode(affected []*leaf, mode fake.LeafMode, duration time.Duration) {
	now := time.Now()
	t.mu.Lock()
	t.leafFaults = append(t.leafFaults, interval{now, now.Add(duration)})
	t.mu.Unlock()
	for _, l := range affected {
		l.SetMode(mode)
	}
	time.Sleep(duration)
	for _, l := range affected {
		l.SetMode(fake.LeafMode{})
	}
}

// leavesOf returns the leaves of a service that are not closed.
func (t *testbed) leavesOf(service string) []*leaf {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*leaf
	for _, l := range t.leaves {
		if l.Service == service && !l.closed {
			list = append(list, l)
		}
	}
	return list
}

// crashLeaf closes a leaf without a drain. It unregisters the leaf after the duration, and
// starts a replacement.
func (t *testbed) crashLeaf(draw uint64, duration time.Duration) {
	l := t.chooseLeaf(draw)
	t.mu.Lock()
	l.closed = true
	t.mu.Unlock()
	t.closeLeaf(l)
	time.Sleep(duration)
	t.store.Delete(fake.KeyLeaf(l.ID))
	t.startReplacement(l)
}

// startReplacement starts a leaf with the service and failure domain of another.
// A leaf that does not start is a violation.
func (t *testbed) startReplacement(l *leaf) {
	if err := t.addLeaf(l.Service, l.Domain); err != nil {
		t.results.addViolation("START: replacement leaf: %v", err)
	}
}

// drainLeaf starts a replacement of a leaf and marks the leaf as draining. It
// unregisters the leaf once all hosts must have learned of the drain. The leaf keeps running.
func (t *testbed) drainLeaf(draw uint64, _ time.Duration) {
	l := t.chooseLeaf(draw)
	t.startReplacement(l)
	t.mu.Lock()
	l.drained = time.Now()
	t.mu.Unlock()
	t.store.Put(fake.KeyLeaf(l.ID), l.Entry(l.public, "draining"))
	time.Sleep(applyBound + 2*time.Second)
	t.store.Delete(fake.KeyLeaf(l.ID))
}

func (t *testbed) changeConfig(uint64, time.Duration) { t.publishConfig() }
