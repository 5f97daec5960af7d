package runner

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"dandelionstile/platform/fake"
)

const (
	// keepersPerHost callers each keep a connection to a host until the host closes it. They
	// pause long enough that many connections are idle when the host shuts down.
	keepersPerHost = 100
	minKeeperPause = 2500 * time.Millisecond
	maxKeeperPause = 5 * time.Second
	// Half of the keepers whose host shuts down in a pause send the next request between
	// minAim and maxAim after SIGTERM: a host closes its idle connections after 2.5 s.
	minAim = 2450 * time.Millisecond
	maxAim = 2900 * time.Millisecond
	// keepingLeafSlots is the number of slots of the leaves that keepers' requests go to.
	keepingLeafSlots = 64
	// lowDescriptorLimit is little more than a host needs for its callers and leaves.
	lowDescriptorLimit = 400
	// In a series, a host is shut down minStopInterval to maxStopInterval after the former.
	minStopInterval = 200 * time.Millisecond
	maxStopInterval = 2 * time.Second
	// A host that has used up its share of the processor stands still for a moment.
	minPulse = 30 * time.Millisecond
	maxPulse = 120 * time.Millisecond
	minRun   = 20 * time.Millisecond
	maxRun   = 80 * time.Millisecond
)

// stopFaultKinds are the kinds of faults of a run with Stops. None of them excuses a host
// that ends a request without an answer.
var stopFaultKinds = []faultKind{
	(*testbed).stopSeries, (*testbed).stopSeries, (*testbed).stopSeries,
	(*testbed).reload, (*testbed).changeConfig, (*testbed).drainLeaf, (*testbed).slowLeafPerService,
}

// startKeepers starts the callers that keep connections to each host.
func (t *testbed) startKeepers() {
	for i, h := range t.hosts {
		for k := range keepersPerHost {
			c := &caller{testbed: t, name: fmt.Sprintf("keeper-%s-%d", h.name, k)}
			c.rand = rand.New(rand.NewPCG(t.Seed, uint64(2000+i*keepersPerHost+k)))
			t.wait.Go(func() { c.keep(h) })
		}
	}
}

// stopSeries shuts hosts down one after the other. Meanwhile hosts reload their settings and
// the configuration changes.
func (t *testbed) stopSeries(draw uint64, duration time.Duration) {
	r := rand.New(rand.NewPCG(t.Seed, draw))
	end := time.Now().Add(duration)
	for i := uint64(0); time.Now().Before(end); i++ {
		t.wait.Go(func() { t.terminate(draw+i, duration) })
		t.reload(r.Uint64(), 0)
		if r.IntN(2) == 0 {
			t.publishConfig()
		}
		time.Sleep(between(r, minStopInterval, maxStopInterval))
	}
}

func between(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// pulse lets a process stand still again and again until it has ended. These pauses
// are no faults: an operating system may do the same to a busy process at any time.
func pulse(process *os.Process, r *rand.Rand, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(between(r, minRun, maxRun)):
		}
		_ = process.Signal(syscall.SIGSTOP) // fails only if the process has ended
		time.Sleep(between(r, minPulse, maxPulse))
		_ = process.Signal(syscall.SIGCONT) // as above
	}
}

// keep sends requests to one host until the testbed stops, all on one connection as long as
// the host keeps it open.
func (c *caller) keep(h *host) {
	for c.pause(h) {
		reused := c.conn != nil
		if !reused && (!h.inRotation() || !c.connectTo(h)) {
			continue
		}
		r := c.exchange("/one/x" + fake.SlowPath)
		r.reused = reused
		c.testbed.results.addRequest(r)
	}
	c.disconnect()
}

// pause waits before the next request, and returns false if the testbed stops.
func (c *caller) pause(h *host) bool {
	due := time.After(between(c.rand, minKeeperPause, maxKeeperPause))
	if c.conn == nil {
		due = time.After(between(c.rand, 0, minKeeperPause))
	}
	select {
	case <-c.testbed.stop:
		return false
	case <-due:
		return true
	case <-h.shutdown():
	}
	if c.rand.IntN(2) == 0 {
		due = time.After(between(c.rand, minAim, maxAim))
	}
	select {
	case <-c.testbed.stop:
		return false
	case <-due:
		return true
	}
}

// shutdown returns a channel that is closed at the next SIGTERM to the host, or nil if it
// shuts down already.
func (h *host) shutdown() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shuttingDown
}
