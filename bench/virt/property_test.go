package virt

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
	"dandelionstile/share/dedup"
	"dandelionstile/share/fanout"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// TestMain fixes the seed and the number of checks, so that CI is deterministic. The
// command line can set others: go test ./virt -rapid.seed=N.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = flag.Set(name, value) // the names are rapid's own flags
		}
	}
	os.Exit(m.Run())
}

// smallDeployment has three failure domains with 24 leaves.
func smallDeployment() deploy.Deployment {
	d := deploy.Kumomaru()
	d.Hosts = 6
	d.Services = []deploy.Service{
		{Name: "app", Instances: 9, Leaves: 2, Slots: 3, Connections: 30, ConnectTime: 6, Replicas: 3, Patience: 100},
		{Name: "billing", Instances: 6, Leaves: 1, Slots: 2, Connections: 20, ConnectTime: 1, Replicas: 3, Patience: 80},
	}
	return d
}

func newWorld(seed uint64) *World {
	w := &World{Deployment: smallDeployment(), Seed: seed, Model: DefaultModel()}
	w.Model.WarmUp = 2 * clock.Second
	w.Start()
	return w
}

// startLoad starts load on all services, at a share of their capacity.
func startLoad(w *World, share float64) {
	for _, v := range w.Deployment.Services {
		w.StartLoad(Load{Service: v.Name, Rate: share * w.Capacity(v), Texts: 200, Callers: 10})
	}
}

// chaos is a random schedule of failures in a world under load.
type chaos struct {
	t       *rapid.T
	w       *World
	updates []sentUpdate
}

// sentUpdate is an update with the results that its callers got.
type sentUpdate struct {
	id      dedup.ID
	body    string
	results *[]query.Kind
}

func (c *chaos) drawHost() *Host {
	return c.w.Hosts[rapid.IntRange(0, len(c.w.Hosts)-1).Draw(c.t, "host")]
}

func (c *chaos) drawServer() string {
	all := c.w.Config.Inventory.Servers
	return all[rapid.IntRange(0, len(all)-1).Draw(c.t, "server")].Name
}

func (c *chaos) drawDomain() string {
	return c.w.Deployment.Domains[rapid.IntRange(0, 2).Draw(c.t, "domain")].Name
}

// step draws and executes one failure, recovery or request.
func (c *chaos) step() {
	w := c.w
	switch rapid.IntRange(0, 15).Draw(c.t, "step") {
	// 0 to 10 are failures, recoveries and changes; 11 to 13 send an update.
	case 14, 15:
		c.sendUpdatesAmidFailure()
	case 0:
		c.drawHost().Kill()
		w.PublishHosts(500)
	case 1:
		if h := c.drawHost(); h.down {
			h.Restart()
			w.PublishHosts(500)
		}
	case 2:
		c.drawHost().Pause()
	case 3:
		c.drawHost().Resume()
	case 4:
		w.SetPartitioned(c.drawDomain(), true)
	case 5:
		w.SetPartitioned(c.drawDomain(), false)
	case 6:
		w.Crash(c.drawServer())
	case 7:
		w.SetDraining(c.drawServer(), rapid.Bool().Draw(c.t, "on"))
	case 8:
		w.Silence(0.1)
	case 9:
		c.switchSnapshots()
	case 10:
		var rules topo.Rules
		if rapid.Bool().Draw(c.t, "out") {
			rules.DomainsOut = []string{c.drawDomain()}
		}
		w.Publish(rules, 500)
	default:
		c.sendUpdate()
	}
}

// switchSnapshots moves the leaves to a new version or to the other layout, at
// different times. They may keep one of their previous snapshots.
func (c *chaos) switchSnapshots() {
	layout := uint32(rapid.IntRange(1, 2).Draw(c.t, "layout"))
	version := uint64(rapid.IntRange(1, 5).Draw(c.t, "version"))
	keep := rapid.Bool().Draw(c.t, "keep")
	for _, f := range c.w.leafOrder {
		old := f.holds
		c.w.Clock.After(clock.Milli(c.w.Random.IntN(2000)), func() {
			next := []topo.SnapshotID{{Layout: layout, Version: version}}
			if keep && len(old) > 0 {
				next = append(next, old[0])
			}
			f.SetSnapshots(next...)
		})
	}
}

// sendUpdate sends a new update, or resends an old one, through random hosts.
func (c *chaos) sendUpdate() {
	h := c.drawHost()
	var s sentUpdate
	if len(c.updates) > 0 && rapid.Bool().Draw(c.t, "again") {
		s = c.updates[rapid.IntRange(0, len(c.updates)-1).Draw(c.t, "which")]
	} else {
		id, ok := c.w.Mint(h)
		if !ok {
			return
		}
		s = sentUpdate{id: id, body: fmt.Sprintf("body %s", id), results: &[]query.Kind{}}
		c.updates = append(c.updates, s)
	}
	for range rapid.IntRange(1, 2).Draw(c.t, "copies") {
		through := c.drawHost()
		c.w.SendUpdate(through, s.id, "billing", s.body, 800, func(r fanout.UpdateResult) {
			*s.results = append(*s.results, r.Kind)
		})
	}
}

// Guards against updates that run twice, answers with rows of two snapshots or
// of another query, and wrong coverage. They come about when failures coincide:
// hosts die, pause and resume with stale state, domains are partitioned,
// servers crash and drain, snapshots and layouts switch, and callers resend
// updates through other hosts.
func TestSafetyUnderChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		startLoad(w, 0.15)
		w.Clock.Run(3 * clock.Second)
		c := &chaos{t: t, w: w}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			c.step()
			w.Clock.Run(w.Now() + clock.Milli(rapid.IntRange(5, 800).Draw(t, "wait")))
		}
		w.Clock.Run(w.Now() + 3*clock.Second)
		for _, violation := range w.Stats.Violations {
			t.Fatalf("safety property violated: %s", violation)
		}
		for _, s := range c.updates {
			c.checkUpdate(s)
		}
		if highest := w.MaxConns(); highest > 1 {
			t.Fatalf("a leaf had %.2f times its connection limit", highest)
		}
	})
}

// sendUpdatesAmidFailure sends several updates and injects a failure while they are on
// the network or at their leaves.
func (c *chaos) sendUpdatesAmidFailure() {
	for range 6 {
		c.sendUpdate()
	}
	c.w.Clock.Run(c.w.Now() + clock.Milli(rapid.IntRange(4, 16).Draw(c.t, "in flight")))
	switch rapid.IntRange(0, 2).Draw(c.t, "loss") {
	case 0:
		c.drawHost().Kill()
		c.w.PublishHosts(500)
	case 1:
		c.w.Crash(c.drawServer())
	case 2:
		c.w.Silence(0.5)
	}
}

// checkUpdate checks that an update ran at most once, and that the results that its
// callers got agree with whether it ran.
func (c *chaos) checkUpdate(s sentUpdate) {
	ran := c.w.Executed[s.id.String()]
	if ran > 1 {
		c.t.Fatalf("update %s ran %d times; its callers got %v", s.id, ran, *s.results)
	}
	kinds := map[query.Kind]int{}
	for _, k := range *s.results {
		kinds[k]++
	}
	if kinds[query.OK] > 0 && ran != 1 {
		c.t.Fatalf("update %s was confirmed and ran %d times", s.id, ran)
	}
	if len(*s.results) > 0 && kinds[query.NotRun]+kinds[query.Shed] == len(*s.results) && ran != 0 {
		c.t.Fatalf("update %s ran, but all its results say that it did not", s.id)
	}
}

// Guards against a fleet that stays degraded after its hosts and servers have
// recovered, held down by a queue, limit, quarantine or stale state that is left
// from the failure.
func TestServiceReturnsAfterChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		startLoad(w, 0.3)
		w.Clock.Run(3 * clock.Second)
		c := &chaos{t: t, w: w}
		for range rapid.IntRange(5, 15).Draw(t, "steps") {
			c.step()
			w.Clock.Run(w.Now() + clock.Milli(rapid.IntRange(5, 500).Draw(t, "wait")))
		}
		w.Clock.Run(w.Now() + 2*clock.Second) // events that are still scheduled
		for _, d := range w.Deployment.Domains {
			w.SetPartitioned(d.Name, false)
		}
		for _, h := range w.Hosts {
			if h.down {
				h.Restart()
			}
			h.Resume()
		}
		for _, s := range w.Config.Inventory.Servers {
			w.SetDraining(s.Name, false)
		}
		for _, f := range w.leafOrder {
			// Newer than the versions that switchSnapshots draws.
			f.SetSnapshots(topo.SnapshotID{Layout: 1, Version: 9})
		}
		w.Publish(topo.Rules{}, 200)
		w.Clock.Run(w.Now() + 14*clock.Second)
		w.Stats.Reset()
		w.Clock.Run(w.Now() + 3*clock.Second)
		if share := w.Stats.CompleteShare(); share < 0.97 {
			t.Fatalf("only %.3f complete after recovery: %s", share, w.Stats.Summary())
		}
	})
}

// Guards against the collapse of cold servers when two hosts each send them
// their full capacity: servers restart cold under load while aggregators
// change, die and come back.
func TestColdServersStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		startLoad(w, 0.4)
		w.Clock.Run(5 * clock.Second)
		c := &chaos{t: t, w: w}
		w.Crash(c.drawServer())
		w.Crash(c.drawServer())
		w.Clock.Run(w.Now() + restartDelay + clock.Milli(rapid.IntRange(0, 1500).Draw(t, "into the ramp")))
		h := c.drawHost()
		switch rapid.IntRange(0, 3).Draw(t, "change") {
		case 0:
			h.Kill()
			w.PublishHosts(300)
		case 1:
			h.Leave(func() { w.PublishHosts(300) })
			w.PublishHosts(300)
		case 2:
			h.Pause()
			w.Clock.After(clock.Milli(rapid.IntRange(100, 4000).Draw(t, "pause")), h.Resume)
		case 3:
			w.PublishHosts(300)
		}
		w.Clock.Run(w.Now() + 6*clock.Second)
		if excess, _, _ := w.Excess(); excess > 0 {
			t.Fatalf("%d requests beyond the capacity of the leaves: %s", excess, w.Stats.Summary())
		}
	})
}

// Guards against overload of a domain whose servers all restart cold at once.
func TestWholeDomainRestartsCold(t *testing.T) {
	w := newWorld(3)
	startLoad(w, 0.4)
	w.Clock.Run(5 * clock.Second)
	for _, s := range w.Config.Inventory.Servers {
		if s.Domain == "sendai" {
			w.Crash(s.Name)
		}
	}
	w.Clock.Run(w.Now() + 8*clock.Second)
	excess, _, _ := w.Excess()
	assert.Equal(t, excess, 0)
}
