// Package play is one run of the soak: the processes and what surrounds them,
// the callers, the faults and the checks.
package play

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

// Settings of a run.
type Settings struct {
	Bin, Dir string
	Seed     uint64
	For      time.Duration
	Hosts    int
	Rate     int
}

const (
	domains = 3
	shards  = 12
	// replicas is how many leafs each shard has, and singles how many the
	// service of single requests.
	replicas = 2
	singles  = 4
	// bound is within how long a change in the store must be in force, as the
	// settings tell the program.
	bound = 3 * time.Second
	// touch is how long a host must have been left alone before it is held to
	// bounds.
	touch = 6 * time.Second
	grace = 6 * time.Second
	slack = 16
	ratio = 0.2
)

// host is one process and its history.
type host struct {
	name, ip, domain string
	settings         string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	wanted bool // it runs because nobody has ended it
	ready  bool
	terms  []span // from SIGTERM to the end of the process
	hits   []span // all other faults
	blinds []span // those that keep it from hearing of changes
}

type span struct{ from, to time.Time }

// leaf is a leaf with the relay that hosts reach it through.
type leaf struct {
	*fake.Leaf
	relay   *relay.Relay
	public  string
	drained time.Time
	gone    bool
}

// world is all of a run.
type world struct {
	Settings
	rand   *rand.Rand
	dir    string
	store  fake.Store
	relay  *relay.Relay // in front of the store
	hosts  []*host
	begin  time.Time
	checks checks
	wait   sync.WaitGroup
	stop   chan struct{}

	mu        sync.Mutex
	leafs     []*leaf
	lastLeaf  int
	version   int
	extra     string // prefix of the route that comes with each version
	former    string // and of the one that goes
	changedAt time.Time
	storeHit  []span
	stalls    []span      // when leafs stalled, froze or were slow
	harms     []time.Time // when a harmful request brought a leaf down
}

func domain(i int) string { return fmt.Sprintf("d%d", i%domains) }

func (w *world) start() error {
	w.rand = rand.New(rand.NewPCG(w.Seed, 1))
	w.stop = make(chan struct{})
	w.begin = time.Now()
	dir, err := os.MkdirTemp(w.Dir, fmt.Sprintf("soak-%d-", w.Seed))
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	w.dir = dir
	net := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%100, w.Seed%200)
	address, err := w.store.Start(net + ".1:0")
	if err != nil {
		return err
	}
	w.relay = &relay.Relay{Target: address}
	if address, err = w.relay.Start(net + ".2:0"); err != nil {
		return err
	}
	for s := range shards {
		for r := range replicas {
			if err := w.addLeaf(shard(s), domain(s+r)); err != nil {
				return err
			}
		}
	}
	for i := range singles {
		if err := w.addLeaf("one", domain(i)); err != nil {
			return err
		}
	}
	w.publish()
	for i := range w.Hosts {
		w.hosts = append(w.hosts, &host{name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("%s.%d", net, 10+i), domain: domain(i)})
	}
	for _, h := range w.hosts {
		if err := w.writeSettings(h, address); err != nil {
			return err
		}
		if err := w.run(h); err != nil {
			return err
		}
	}
	return nil
}

func shard(i int) string { return fmt.Sprintf("shard-%d", i) }

// addLeaf starts a leaf and registers it.
func (w *world) addLeaf(service, domain string) error {
	w.mu.Lock()
	w.lastLeaf++
	l := &leaf{Leaf: &fake.Leaf{ID: fmt.Sprintf("i-%03d", w.lastLeaf), Service: service, Domain: domain}}
	w.mu.Unlock()
	l.OnHarmful = func() { w.harmed(l) }
	if err := l.Start("127.0.0.1"); err != nil {
		return err
	}
	l.relay = &relay.Relay{Target: l.Address()}
	public, err := l.relay.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	l.public = public
	w.mu.Lock()
	w.leafs = append(w.leafs, l)
	w.mu.Unlock()
	w.store.Put(fake.KeyLeaf(l.ID), l.Entry(public, "ready"))
	return nil
}

// publish writes the next version of the configuration, with a route that
// comes and goes.
func (w *world) publish() {
	w.mu.Lock()
	w.version++
	w.former = fmt.Sprintf("/extra%d/", w.version-1)
	w.extra = fmt.Sprintf("/extra%d/", w.version)
	w.changedAt = time.Now()
	version, extra := w.version, w.extra
	w.mu.Unlock()
	names := make([]string, shards)
	for i := range names {
		names[i] = shard(i)
	}
	body, err := fake.Config(version, []fake.Route{
		{Name: "all", Host: hostName, Prefix: "/all/", Idempotent: true, Shards: names, TopK: topK, MinShare: leastShare},
		{Name: "one", Host: hostName, Prefix: "/one/", Idempotent: true, Service: "one"},
		{Name: "set", Host: hostName, Prefix: "/set/", Service: "one"},
		{Name: "extra", Host: hostName, Prefix: extra, Idempotent: true, Service: "one"},
	})
	if err != nil {
		panic(err) // plain values cannot fail
	}
	w.store.Put(fake.KeyConfig, body)
}

func (w *world) writeSettings(h *host, store string) error {
	regions := map[string]string{}
	for i := range domains {
		regions[domain(i)] = "r-" + domain(i)
	}
	var seeds []string
	for _, s := range w.hosts[:min(3, len(w.hosts))] {
		seeds = append(seeds, s.ip)
	}
	body, err := fake.HostSettings{
		Name: h.name, IP: h.ip, Domain: h.domain, Regions: regions, Seeds: seeds, StoreAddress: store,
		ApplyBound: bound, RetryRatio: ratio, RetryReserve: slack,
	}.JSON()
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	h.settings = filepath.Join(w.dir, h.name+".json")
	return errors.Wrap(os.WriteFile(h.settings, body, 0o600), "write settings")
}

// run starts a host's process.
func (w *world) run(h *host) error {
	log, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(w.Bin)
	cmd.Env = append(os.Environ(), fake.SettingsVariable+"="+h.settings, "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended, h.wanted = cmd, ended, true
	h.mu.Unlock()
	w.wait.Go(func() {
		err := cmd.Wait()
		h.mu.Lock()
		wanted := h.wanted
		h.mu.Unlock()
		if wanted {
			w.checks.fault("EXIT: %s ended by itself: %v", h.name, err)
		}
		close(ended)
	})
	return nil
}

// signal sends a signal to a host's process, by its id.
func (h *host) signal(s syscall.Signal, ends bool) (ended chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ends {
		h.wanted = false
	}
	_ = h.cmd.Process.Signal(s) // a process that has ended needs none
	return h.ended
}

func (h *host) hit(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hits = append(h.hits, span{from, to})
}

func (h *host) blind(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blinds = append(h.blinds, span{from, to})
}

// blinded tells whether a fault kept the host from hearing of changes in a span
// of time.
func (h *host) blinded(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlaps(h.blinds, from, to) || overlaps(h.terms, from, to)
}

func overlaps(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd == nil {
			continue // the start failed before its turn
		}
		h.signal(syscall.SIGCONT, false)
		<-h.signal(syscall.SIGKILL, true)
	}
	w.wait.Wait()
	_ = w.relay.Close() // nothing is read from it any more
	_ = w.store.Close() // as above
	for _, l := range w.leafs {
		_ = l.relay.Close() // as above
		if !l.gone {
			_ = l.Close() // as above
		}
	}
}
