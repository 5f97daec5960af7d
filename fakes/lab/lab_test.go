package lab

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionstile/fakes/leaf"
	"dandelionstile/fakes/plat"
	"dandelionstile/fakes/relay"
	"dandelionstile/share/topo"
)

// binaries is where TestMain built the programs.
var binaries string

// TestMain builds the programs once. The tests below run real processes; they
// wait for conditions and assert what happened, not how fast.
func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "dandelionstile-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	for _, program := range []string{"entry", "aggregator"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, program), ".")
		cmd.Dir = filepath.Join("..", "..", program)
		cmd.Stderr = os.Stderr
		if err := cmd.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "build", program, err)
			return 1
		}
	}
	return m.Run()
}

// patient is how long a test waits for a condition that must come.
const patient = 30 * time.Second

// budget is a query's time budget in these tests: ample, so that a slow machine
// gives no partial answers.
const budget = 5 * time.Second

func startLab(t *testing.T, change func(*Lab)) (*Lab, *Client) {
	t.Helper()
	t.Parallel()
	l := &Lab{
		Bin: binaries, Dir: t.TempDir(), Layout: Kumomaru(),
		Rules: "never-repeat:\n  - {service: subscription-billing, operation: status-update}\n",
		Model: leaf.Model{
			ServiceTime: 2 * time.Millisecond, Jitter: time.Millisecond, ConnectTime: 2 * time.Millisecond,
			WarmUp: 300 * time.Millisecond, RestartDelay: 300 * time.Millisecond, Seed: 1,
		},
	}
	for i := range l.Layout.Services {
		l.Layout.Services[i].Patience = 100
		l.Layout.Services[i].DeadlineMS = int(budget.Milliseconds())
	}
	if change != nil {
		change(l)
	}
	assert.NilError(t, l.Start())
	c := NewClient(15 * time.Second)
	t.Cleanup(func() {
		err := l.Close()
		if err != nil || t.Failed() {
			keepLogs(t, l.Dir)
		}
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	})
	awaitReady(t, l, c)
	return l, c
}

// keepLogs prints the ends of the programs' logs.
func keepLogs(t *testing.T, dir string) {
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range logs {
		body, err := os.ReadFile(f)
		if err == nil {
			t.Logf("%s:\n%s", filepath.Base(f), body[max(0, len(body)-2000):])
		}
	}
}

// awaitReady waits until every running host covers everything.
func awaitReady(t *testing.T, l *Lab, c *Client) {
	t.Helper()
	for _, h := range l.Hosts {
		if h.gone {
			continue
		}
		assert.NilError(t, Await(patient, h.Name+" answers completely", func() bool {
			if l.Ended() != nil {
				return true // said below
			}
			for _, v := range l.Layout.Services {
				a, err := c.Query(h.Callers, v.Name, "ready", budget)
				if err != nil || !a.Complete {
					return false
				}
			}
			return c.Ready(h.Callers)
		}))
		assert.NilError(t, l.Ended())
	}
}

// excess sums what the leafs got beyond what they bore.
func excess(l *Lab) int {
	n := 0
	for _, s := range l.Servers {
		n += s.Stats().Excess
	}
	return n
}

// executions sums the executions of each update over all servers.
func executions(l *Lab) map[string]int {
	all := map[string]int{}
	for _, s := range l.Servers {
		for id, n := range s.Executed() {
			all[id] += n
		}
	}
	return all
}

// A caller's request is cut off in the middle although the operator only
// replaces hosts. Each host in turn gets the signal, fails its readiness check
// first, serves until the balancer has noticed, and hands its leafs over.
func TestRollingReplacementCutsNothing(t *testing.T) {
	l, c := startLab(t, nil)
	d := startLoad(t, l, 4)
	for _, h := range l.Hosts[:3] {
		assert.NilError(t, h.Entry.Stop())
		assert.NilError(t, h.Aggregator.Stop())
		assert.NilError(t, l.Run(h))
		assert.NilError(t, Await(patient, h.Name+" is back", func() bool { return c.Ready(h.Callers) }))
	}
	d.end()
	assert.Equal(t, d.failed.Load(), int64(0))
	assert.Assert(t, d.complete.Load() > 100)
	assert.Equal(t, excess(l), 0)
}

// The same update is billed twice. Its caller sends it again through other
// hosts, at the same instant through two, and after the host that minted its
// id was killed and came back without memory.
func TestUpdatesRunAtMostOnce(t *testing.T) {
	l, c := startLab(t, nil)
	confirmed := map[string]bool{}
	var mu sync.Mutex
	send := func(h *Host, id string) {
		a, err := c.Update(h.Callers, id, "subscription-billing", "customer-"+id, "charge", budget)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && a.Status == http.StatusOK {
			confirmed[id] = true
		}
		if err == nil && a.Error == "not-run" && executions(l)[id] > 0 && !confirmed[id] {
			t.Errorf("update %s was said not to have run, and ran", id)
		}
	}
	var all []string
	for round := range 3 {
		owner := l.Hosts[round]
		ids, err := c.IDs(owner.Callers, 20)
		assert.NilError(t, err)
		all = append(all, ids...)
		sendTwice(l, ids[:10], send, nil)
		sendTwice(l, ids[10:], send, func() { l.KillHost(owner) })
		assert.NilError(t, l.Run(owner))
		awaitReady(t, l, c)
		for i, id := range ids {
			send(l.Hosts[(i+1)%len(l.Hosts)], id)
		}
	}
	ran := executions(l)
	for _, id := range all {
		assert.Assert(t, ran[id] <= 1, "update %s ran %d times", id, ran[id])
		if confirmed[id] {
			assert.Equal(t, ran[id], 1, "update %s was confirmed", id)
		}
	}
	assert.Assert(t, len(confirmed) >= 30, "%d confirmed", len(confirmed))
}

// sendTwice sends each update through two hosts at the same instant, with
// something happening in the middle.
func sendTwice(l *Lab, ids []string, send func(*Host, string), amid func()) {
	var wait sync.WaitGroup
	for i, id := range ids {
		wait.Go(func() { send(l.Hosts[i%len(l.Hosts)], id) })
		wait.Go(func() { send(l.Hosts[(i+3)%len(l.Hosts)], id) })
		if i == len(ids)/2 && amid != nil {
			wait.Go(amid)
		}
	}
	wait.Wait()
}

// A failure domain that operators took out still gets work, because a host was
// frozen across the change and wakes up with the old rules.
func TestDomainOutWithFrozenHost(t *testing.T) {
	l, c := startLab(t, nil)
	domain := l.Layout.Domains[0]
	frozen := l.Hosts[0]
	d := startLoad(t, l, 3)
	frozen.Freeze(true)
	l.Publish("out-of-service: [" + domain + "]\n" + l.Rules)
	time.Sleep(3 * time.Second)
	frozen.Freeze(false)
	time.Sleep(2 * time.Second)
	d.end()
	for _, spec := range l.Specs {
		if spec.Domain != domain {
			continue
		}
		last := time.Duration(l.Servers[spec.Name].Stats().LastUse) * time.Millisecond
		assert.Assert(t, last < 0 || last >= 2*time.Second,
			"%s got work %s ago, more than 3 s after the rule", spec.Name, last)
	}
	assert.Assert(t, d.complete.Load() > 50)
	l.Publish("never-repeat: []\n")
	awaitReady(t, l, c)
	before := l.Servers[l.Specs[0].Name].Stats().Calls
	d = startLoad(t, l, 3)
	assert.NilError(t, Await(patient, "the domain gets work again", func() bool {
		return l.Servers[l.Specs[0].Name].Stats().Calls > before
	}))
	d.end()
	assert.Equal(t, excess(l), 0)
}

// A leaving backend server gets new work for as long as the host list lags. Its
// own word must do.
func TestDrainingServerGetsNoNewWork(t *testing.T) {
	l, _ := startLab(t, nil)
	name := "subscriber-app-4"
	d := startLoad(t, l, 3)
	assert.NilError(t, Await(patient, "the server has work", func() bool { return l.Servers[name].Stats().Calls > 5 }))
	l.Servers[name].Drain(true)
	time.Sleep(3 * time.Second)
	at := l.Servers[name].Stats().Calls
	time.Sleep(time.Second)
	assert.Equal(t, l.Servers[name].Stats().Calls, at)
	l.Servers[name].Drain(false)
	assert.NilError(t, Await(patient, "the server gets work again", func() bool { return l.Servers[name].Stats().Calls > at }))
	d.end()
	assert.Equal(t, d.failed.Load(), int64(0))
}

// The platform goes down for good and a diskless host is replaced meanwhile. It
// can read nothing, and must learn all from its peers; queries go on.
func TestPlatformOutage(t *testing.T) {
	l, c := startLab(t, nil)
	l.Publish("carry:\n  - {server: returns-desk-0, slots: 2}\n")
	d := startLoad(t, l, 3)
	h := l.Hosts[2]
	assert.NilError(t, Await(patient, "the version is in force elsewhere", func() bool {
		return c.Version(l.Hosts[3].EntryAdmin, "config") == l.Version
	}))
	setMode(l, func(m *modeOf) { m.Down = true })
	l.KillHost(h)
	assert.NilError(t, l.Run(h))
	assert.NilError(t, Await(patient, "the host learns from its peers", func() bool {
		return c.Ready(h.Callers) && c.Version(h.EntryAdmin, "config") == l.Version
	}))
	d.awaitMore(50)
	d.end()
}

// Two versions are published at once, an invalid one between two good ones, and
// the platform then answers with the first for a while. No host may go back, and
// all must end on the newest good one.
func TestConfigurationNeverReverts(t *testing.T) {
	l, c := startLab(t, nil)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, h := range l.Hosts {
		wait.Go(func() {
			highest := uint64(0)
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				v := c.Version(h.EntryAdmin, "config")
				if v != 0 && v < highest {
					t.Errorf("%s went from version %d back to %d", h.Name, highest, v)
				}
				highest = max(highest, v)
			}
		})
	}
	l.Publish("carry:\n  - {server: returns-desk-0, slots: 3}\n")
	l.Publish("out-of-service: [no-such-domain]\n")
	invalid := l.Version
	time.Sleep(time.Second)
	for _, h := range l.Hosts {
		assert.Assert(t, c.Version(h.EntryAdmin, "config") != invalid)
	}
	l.Publish("carry:\n  - {server: returns-desk-0, slots: 4}\n")
	everywhere := func() bool {
		for _, h := range l.Hosts {
			if c.Version(h.EntryAdmin, "config") != l.Version || c.Version(h.AggAdmin, "config") != l.Version {
				return false
			}
		}
		return true
	}
	assert.NilError(t, Await(patient, "the newest version is in force", everywhere))
	setMode(l, func(m *modeOf) { m.Stale = true })
	assert.NilError(t, l.Hosts[1].Entry.Stop())
	assert.NilError(t, l.Hosts[1].Aggregator.Stop())
	assert.NilError(t, l.Run(l.Hosts[1]))
	assert.NilError(t, Await(patient, "the restarted host has the newest version too", everywhere))
	close(stop)
	wait.Wait()
}

// One answer mixes rows of two index versions. The index is switched server by
// server, and its partitions are reshaped, while queries run.
func TestOneSnapshotWhileTheIndexSwitches(t *testing.T) {
	l, _ := startLab(t, nil)
	d := startLoad(t, l, 4)
	for version := uint64(2); version <= 4; version++ {
		for _, s := range l.Specs {
			l.Servers[s.Name].SetSnapshots(topo.SnapshotID{Layout: 1, Version: version - 1}, topo.SnapshotID{Layout: 1, Version: version})
			time.Sleep(10 * time.Millisecond)
		}
		d.awaitMore(200)
		for _, s := range l.Specs {
			l.Servers[s.Name].SetSnapshots(topo.SnapshotID{Layout: 1, Version: version})
		}
	}
	d.awaitMore(200)
	d.end()
	assert.Assert(t, d.complete.Load() > 100)
	assert.Equal(t, d.failed.Load(), int64(0))
}

// Leafs answer with another's reply, half a reply, nothing, fewer shards than
// asked, rows of another snapshot, or an error. None of it may enter an answer;
// other replicas stand in.
func TestWrongRepliesEnterNoAnswer(t *testing.T) {
	l, _ := startLab(t, nil)
	d := startLoad(t, l, 4)
	faults := []leaf.Fault{
		leaf.FaultWrongAttempt, leaf.FaultTruncated, leaf.FaultEmpty, leaf.FaultNoShards, leaf.FaultWrongSnapshot, leaf.FaultError,
	}
	for i, fault := range faults {
		spec := l.Specs[i]
		l.Servers[spec.Name].SetFault(spec.Leaves[0].Name, fault)
	}
	before := make([]int, len(faults))
	for i := range faults {
		before[i] = l.Servers[l.Specs[i].Name].Stats().Calls
	}
	assert.NilError(t, Await(patient, "each faulty leaf's server has been asked", func() bool {
		for i := range faults {
			if l.Servers[l.Specs[i].Name].Stats().Calls < before[i]+20 {
				return false
			}
		}
		return true
	}))
	d.awaitMore(200)
	d.end()
	assert.Assert(t, d.complete.Load() > 50)
	assert.Equal(t, d.failed.Load(), int64(0))
}

// One query crashes every server that runs it, and its caller sends it again and
// again through all hosts, while an aggregator is killed and comes back.
func TestCrashingRequestStopsAtTwo(t *testing.T) {
	l, c := startLab(t, nil)
	d := startLoad(t, l, 2)
	crashes := func() int {
		n := 0
		for _, s := range l.Servers {
			n += s.Stats().Crashes
		}
		return n
	}
	for i := range 40 {
		if i == 10 {
			l.Hosts[4].Aggregator.Kill()
		}
		_, _ = c.Query(l.Hosts[i%len(l.Hosts)].Callers, "subscriber-app", leaf.CrashText, budget)
	}
	assert.Assert(t, crashes() >= 1)
	assert.NilError(t, Await(patient, "other queries go on", func() bool { return d.complete.Load() > 50 }))
	d.end()
	assert.Assert(t, crashes() <= 2, "%d servers crashed", crashes())
}

// All open connections to the leafs go silent while new ones work. Queries must
// find new connections, and no healthy server may be given up.
func TestSilentConnections(t *testing.T) {
	l, c := startLab(t, nil)
	d := startLoad(t, l, 3)
	silenced := 0
	for _, s := range l.Servers {
		silenced += s.Silence(1)
	}
	assert.Assert(t, silenced > 20)
	d.awaitMore(200)
	d.end()
	awaitReady(t, l, c)
}

// A failure domain is cut off from the others without a word: connections stay
// open and carry nothing. Each side must go on with what it reaches, say truly
// what it lacks, and be whole again after the heal.
func TestCutDomainServesWhatItCan(t *testing.T) {
	l, c := startLab(t, func(l *Lab) { l.Relays = true })
	d := startLoad(t, l, 3)
	island := l.Layout.Domains[0]
	for _, other := range l.Layout.Domains[1:] {
		l.CutDomains(island, other, relay.Silent)
	}
	assert.NilError(t, Await(patient, "both sides answer again", func() bool {
		for _, h := range []*Host{l.Hosts[0], l.Hosts[1]} {
			a, err := c.Query(h.Callers, "subscriber-app", "cut", budget)
			if err != nil || a.Status != http.StatusOK || a.Check("subscriber-app", "cut") != nil {
				return false
			}
		}
		return true
	}))
	for _, other := range l.Layout.Domains[1:] {
		l.CutDomains(island, other, relay.Blocked)
		l.CutDomains(island, other, relay.Open)
	}
	awaitReady(t, l, c)
	d.end()
}

type modeOf = plat.Mode

func setMode(l *Lab, change func(*modeOf)) {
	var m modeOf
	change(&m)
	l.Platform.SetMode(m)
}
