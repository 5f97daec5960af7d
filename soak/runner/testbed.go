// Package runner runs one seed of the soak: it starts the processes with a simulated
// environment, sends requests, injects faults and checks the guarantees.
package runner

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/fakes/relay"
	"dandelionstile/platform/fake"
)

// Settings are the settings of a run.
type Settings struct {
	Bin, Dir  string // path of the platform program, parent of the run's directory
	Seed      uint64
	FaultTime time.Duration // how long faults are injected
	Hosts     int           // number of hosts
	Rate      int           // requests per second of all callers
	// Stops replaces the faults by hosts that are shut down in series, under callers that keep
	// idle connections to them.
	Stops bool
}

const (
	domainCount = 3
	shardCount  = 12
	// replicaCount is the number of leaves of each shard, and singleLeafCount that
	// of the service of unsharded requests.
	replicaCount    = 2
	singleLeafCount = 4
	// applyBound is the time within which a host must apply a change in the store.
	// It is also in the hosts' settings.
	applyBound = 3 * time.Second
	// settleTime is how long a host must have had no fault before bounds apply to
	// it.
	settleTime = 6 * time.Second
	// shutdownTimeout is how long a host may take to exit after SIGTERM.
	shutdownTimeout = 6 * time.Second
	// retryReserve and retryRatio bound the retries and hedges of a service: a fixed
	// number and a share of its requests. They are also in the hosts' settings.
	retryReserve = 16
	retryRatio   = 0.2
)

// host is one process with the history of its faults.
type host struct {
	name, ip, domain string
	settings         string

	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{} // closed when the process has ended
	shouldRun      bool          // an exit is unexpected: no fault is ending, or has ended, the process
	ready          bool
	shuttingDown   chan struct{} // closed, and set to nil, at SIGTERM
	terminations   []interval    // from SIGTERM to the end of the process
	faults         []interval    // all other faults
	staleIntervals []interval    // faults that keep the host from receiving changes
}

type interval struct{ from, to time.Time }

// leaf is a fake leaf behind a relay that hosts connect to.
type leaf struct {
	*fake.Leaf
	relay   *relay.Relay
	public  string    // address of the relay, which the store lists
	drained time.Time // when its drain began; zero before that
	closed  bool      // it has crashed, by a fault or a harmful request
}

// testbed is the state of one run.
type testbed struct {
	Settings
	rand      *rand.Rand
	dir       string
	store     fake.Store
	relay     *relay.Relay // in front of the store
	hosts     []*host
	startedAt time.Time
	results   results
	wait      sync.WaitGroup // for callers, probes, faults and processes
	stop      chan struct{}

	mu             sync.Mutex
	leaves         []*leaf
	lastLeafID     int
	version        int
	addedPrefix    string // prefix of the route that the current version added
	removedPrefix  string // prefix of the route that it removed
	changedAt      time.Time
	storeFaults    []interval
	leafFaults     []interval  // when leaves had a fault of any kind that setLeafMode applies
	harmfulCrashes []time.Time // when a harmful request crashed a leaf
}

func domainName(i int) string { return fmt.Sprintf("d%d", i%domainCount) }

// start starts the store, the leaves and the hosts.
func (t *testbed) start() error {
	t.rand = rand.New(rand.NewPCG(t.Seed, 1))
	t.stop = make(chan struct{})
	t.startedAt = time.Now()
	dir, err := os.MkdirTemp(t.Dir, fmt.Sprintf("soak-%d-", t.Seed))
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	t.dir = dir
	// Concurrent runs with different seeds use different IPs.
	subnet := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%100, t.Seed%200)
	address, err := t.store.Start(subnet + ".1:0")
	if err != nil {
		return err
	}
	t.relay = &relay.Relay{Target: address}
	if address, err = t.relay.Start(subnet + ".2:0"); err != nil {
		return err
	}
	for s := range shardCount {
		for r := range replicaCount {
			if err := t.addLeaf(shardName(s), domainName(s+r)); err != nil {
				return err
			}
		}
	}
	for i := range singleLeafCount {
		if err := t.addLeaf("one", domainName(i)); err != nil {
			return err
		}
	}
	t.publishConfig()
	for i := range t.Hosts {
		t.hosts = append(t.hosts, &host{name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("%s.%d", subnet, 10+i), domain: domainName(i)})
	}
	for _, h := range t.hosts {
		if err := t.writeSettings(h, address); err != nil {
			return err
		}
		if err := t.startProcess(h); err != nil {
			return err
		}
	}
	return nil
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

// addLeaf starts a leaf behind a relay and registers it in the store.
func (t *testbed) addLeaf(service, domain string) error {
	t.mu.Lock()
	t.lastLeafID++
	l := &leaf{Leaf: &fake.Leaf{ID: fmt.Sprintf("i-%03d", t.lastLeafID), Service: service, Domain: domain}}
	t.mu.Unlock()
	l.OnHarmful = func() { t.onHarmful(l) }
	if t.Stops {
		l.Slots = keepingLeafSlots
	}
	if err := l.Start("127.0.0.1"); err != nil {
		return err
	}
	l.relay = &relay.Relay{Target: l.Address()}
	public, err := l.relay.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	l.public = public
	t.mu.Lock()
	t.leaves = append(t.leaves, l)
	t.mu.Unlock()
	t.store.Put(fake.KeyLeaf(l.ID), l.Entry(public, "ready"))
	return nil
}

// publishConfig writes the next version of the configuration. Each version adds
// a route and removes the one that the previous version added.
func (t *testbed) publishConfig() {
	t.mu.Lock()
	t.version++
	t.removedPrefix = fmt.Sprintf("/extra%d/", t.version-1)
	t.addedPrefix = fmt.Sprintf("/extra%d/", t.version)
	t.changedAt = time.Now()
	version, added := t.version, t.addedPrefix
	t.mu.Unlock()
	names := make([]string, shardCount)
	for i := range names {
		names[i] = shardName(i)
	}
	body, err := fake.Config(version, []fake.Route{
		{Name: "all", Host: hostHeader, Prefix: "/all/", Idempotent: true, Shards: names, TopK: topK, MinShare: minShare},
		{Name: "one", Host: hostHeader, Prefix: "/one/", Idempotent: true, Service: "one"},
		{Name: "set", Host: hostHeader, Prefix: "/set/", Service: "one"},
		{Name: "extra", Host: hostHeader, Prefix: added, Idempotent: true, Service: "one"},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	t.store.Put(fake.KeyConfig, body)
}

// writeSettings writes the settings file of a host. Each failure domain has a
// region of its own.
func (t *testbed) writeSettings(h *host, store string) error {
	regions := map[string]string{}
	for i := range domainCount {
		regions[domainName(i)] = "r-" + domainName(i)
	}
	var gossipSeeds []string
	for _, s := range t.hosts[:min(3, len(t.hosts))] {
		gossipSeeds = append(gossipSeeds, s.ip)
	}
	body, err := fake.HostSettings{
		Name: h.name, IP: h.ip, Domain: h.domain, Regions: regions, Seeds: gossipSeeds, StoreAddress: store,
		ApplyBound: applyBound, RetryRatio: retryRatio, RetryReserve: retryReserve,
	}.JSON()
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	h.settings = filepath.Join(t.dir, h.name+".json")
	return errors.Wrap(os.WriteFile(h.settings, body, 0o600), "write settings")
}

// startProcess starts a host's process. An exit that no fault caused is a
// violation.
func (t *testbed) startProcess(h *host) error {
	logFile, err := os.OpenFile(filepath.Join(t.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor
	cmd := exec.Command(t.Bin)
	if t.Stops && t.Seed%4 == 0 {
		cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, lowDescriptorLimit), t.Bin)
	}
	cmd.Env = append(os.Environ(), fake.SettingsVariable+"="+h.settings, "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended, h.shouldRun, h.shuttingDown = cmd, ended, true, make(chan struct{})
	h.mu.Unlock()
	t.wait.Go(func() {
		err := cmd.Wait()
		h.mu.Lock()
		shouldRun := h.shouldRun
		h.mu.Unlock()
		if shouldRun {
			t.results.addViolation("EXIT: %s exited unexpectedly: %v", h.name, err)
		}
		close(ended)
	})
	return nil
}

// signal sends a signal to a host's process and returns a channel that is closed when
// the process has ended. If terminates is set, the end of the process is expected.
func (h *host) signal(s syscall.Signal, terminates bool) (ended chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if terminates {
		h.shouldRun = false
	}
	_ = h.cmd.Process.Signal(s) // fails only if the process has ended
	return h.ended
}

// addFault records an interval in which a fault affects the host.
func (h *host) addFault(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, interval{from, to})
}

// addStale records an interval in which a fault keeps the host from receiving
// changes.
func (h *host) addStale(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.staleIntervals = append(h.staleIntervals, interval{from, to})
}

// wasStale reports whether a fault or a termination kept the host from receiving changes
// within an interval.
func (h *host) wasStale(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlaps(h.staleIntervals, from, to) || overlaps(h.terminations, from, to)
}

// overlaps reports whether any interval of a list overlaps the one between two
// times. An interval without an end is still open.
func overlaps(list []interval, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// close ends all processes and closes the simulated environment.
func (t *testbed) close() {
	for _, h := range t.hosts {
		if h.cmd == nil {
			continue // start failed before this process was started
		}
		h.signal(syscall.SIGCONT, false)
		<-h.signal(syscall.SIGKILL, true)
	}
	t.wait.Wait()
	_ = t.relay.Close() // no longer in use
	_ = t.store.Close() // as above
	for _, l := range t.leaves {
		_ = l.relay.Close() // as above
		if !l.closed {
			_ = l.Close() // as above
		}
	}
}
