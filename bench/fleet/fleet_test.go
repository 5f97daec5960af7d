package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// start starts a fleet in three failure domains and waits until all hosts have the
// first version.
func start(hosts int) *Fleet {
	f := &Fleet{Hosts: hosts, Domains: 3, Parts: 20, PartBytes: 400, Seed: 1}
	f.Start()
	f.RunUntil(30*clock.Second, func() bool { return f.AllHave(1) })
	return f
}

// Guards against platform reads that grow in proportion to the fleet, which
// happens if every host watches the platform itself: each change is then read by
// every host.
func TestReadsGrowMoreSlowlyThanTheFleet(t *testing.T) {
	const minute = clock.Minute
	rate := map[int]float64{}
	for _, hosts := range []int{7, 70, 700} {
		f := start(hosts)
		assert.Assert(t, f.AllHave(1))
		before := f.Reads
		for range 9 { // 13,000 changes a day are 9 a minute
			f.Publish()
			f.Clock.Run(f.Clock.Now() + minute/9)
		}
		rate[hosts] = float64(f.Reads-before) / 60
		assert.Equal(t, len(f.Regressions), 0)
	}
	t.Logf("platform reads a second with 7, 70, 700 hosts: %.2f, %.2f, %.2f", rate[7], rate[70], rate[700])
	assert.Assert(t, rate[70] <= 3*rate[7])
	assert.Assert(t, rate[700] <= 1.5*rate[70])
}

// Guards against a change that never reaches a failure domain without access to
// the platform, although its hosts reach peers that have the change.
func TestDomainCutOffFromPlatformLearnsFromPeers(t *testing.T) {
	f := start(21)
	for _, n := range f.Nodes {
		n.Isolated = n.Domain == "d00"
	}
	v := f.Publish()
	elapsed := f.RunUntil(10*clock.Second, func() bool { return f.AllHave(v) })
	assert.Assert(t, elapsed <= 3*clock.Second, "took %d ms", elapsed)
}

// Both watchers of a failure domain are paused before a change is published. The
// next hosts in rank must take over the watch without an election.
func TestFrozenWatchersAreReplaced(t *testing.T) {
	f := start(21)
	for _, n := range f.Nodes {
		n.Paused = n.Engine.Rank == 0 || n.Engine.Rank == 1
	}
	f.Clock.Run(f.Clock.Now() + 10*clock.Second)
	v := f.Publish()
	elapsed := f.RunUntil(20*clock.Second, func() bool { return f.AllHave(v) })
	assert.Assert(t, f.AllHave(v), "not in force after %d ms", elapsed)
	for _, n := range f.Nodes {
		n.Resume()
	}
	f.Clock.Run(f.Clock.Now() + 5*clock.Second)
	assert.Assert(t, f.AllHave(v))
	assert.Equal(t, len(f.Regressions), 0)
}

// After its own restart the platform returns an old version for a while. A host
// that adopted it would return a failure domain to service that operators have
// taken out of service.
func TestStalePlatformNeverReverts(t *testing.T) {
	f := start(21)
	v := f.Publish()
	f.RunUntil(5*clock.Second, func() bool { return f.AllHave(v) })
	f.PlatformStale = true
	reads := f.Reads
	f.Nodes[4].Restart()
	f.Clock.Run(f.Clock.Now() + 40*clock.Second)
	assert.Assert(t, f.AllHave(v), "the restarted host learns from its peers")
	assert.Equal(t, len(f.Regressions), 0)
	perSecond := float64(f.Reads-reads) / 40
	assert.Assert(t, perSecond < 30, "watchers spin on the stale answer: %.0f reads/s", perSecond)
}

// A diskless host starts while the platform is down, with no state and nothing
// to read. Its peers must send it the current configuration.
func TestFreshHostWithPlatformDown(t *testing.T) {
	f := start(7)
	v := f.Publish()
	f.RunUntil(5*clock.Second, func() bool { return f.AllHave(v) })
	f.PlatformDown = true
	f.Nodes[3].Restart()
	elapsed := f.RunUntil(10*clock.Second, func() bool { return f.AllHave(v) })
	assert.Assert(t, elapsed <= 3*clock.Second, "took %d ms", elapsed)
}

// The platform is cut off from one partition of the fleet and publishes two
// changes. After the heal every host must adopt the highest version.
func TestHealSettlesOnTheHighest(t *testing.T) {
	f := start(21)
	f.SetPartitioned("d00", "d01", true)
	f.SetPartitioned("d00", "d02", true)
	for _, n := range f.Nodes {
		n.Isolated = n.Domain == "d00"
	}
	f.Clock.Run(f.Clock.Now() + 5*clock.Second)
	f.Publish()
	v := f.Publish()
	f.Clock.Run(f.Clock.Now() + 5*clock.Second)
	assert.Assert(t, !f.AllHave(v))
	f.SetPartitioned("d00", "d01", false)
	f.SetPartitioned("d00", "d02", false)
	elapsed := f.RunUntil(10*clock.Second, func() bool { return f.AllHave(v) })
	assert.Assert(t, elapsed <= 3*clock.Second, "took %d ms", elapsed)
	assert.Equal(t, len(f.Regressions), 0)
}
