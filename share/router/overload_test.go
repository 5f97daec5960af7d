package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// runOverload simulates a large fleet in which all leaves of one shard in six take seven
// times as long and a leaf of another shard in six is down, while 1.8 times as many
// requests arrive as usual. It returns the mean value of the answers meanwhile, the share of
// requests that failed, and the value in the second that begins one second after the end.
func runOverload(t *testing.T) (during, failed, after float64) {
	t.Helper()
	const seeds, hosts, shards, unreplicated = 3, 60, 60, 0
	const begin, end clock.Milli = 5000, 9000
	for seed := int64(1); seed <= seeds; seed++ {
		b, p := browse(36), peek(12)
		b.route.MinShare, p.route.MinShare = 0.95, 0.85
		b.route.Target, p.route.Target = 400, 150
		b.workMs, p.workMs = 20, 6.7
		w := newFleet(t, seed, hosts, defaultAggregatorCount, shards, unreplicated, b, p)
		for _, l := range w.leaves {
			l.Slots = 2
		}
		for i := range w.roster {
			w.roster[i].Slots = 2
		}
		for _, h := range w.hosts {
			h.handle(Topology{Table: w.table, Leaves: w.roster})
		}
		w.startLoad(13000)
		w.runUntil(begin)
		w.surge = 1.8
		w.degradeShards(7)
		w.runUntil(end)
		w.surge = 0
		w.degradeShards(0)
		w.runUntil(16000)
		during += w.meanValue(begin, end) / seeds
		after += w.meanValue(end+clock.Second, end+2*clock.Second) / seeds
		n, lost := 0, 0
		for _, r := range w.requests {
			if r.firstAt < begin || r.firstAt >= end {
				continue
			}
			n++
			if r.failed() {
				lost++
			}
		}
		failed += float64(lost) / float64(n) / seeds
	}
	return during, failed, after
}

// degradeShards slows all leaves of one shard in six, and takes down a leaf of another
// shard in six; 0 ends both.
func (w *world) degradeShards(factor float64) {
	const every = 6
	for _, l := range w.roster {
		n := int(rank.Hash(l.Service) % every)
		f := w.leaves[l.ID]
		switch {
		case n == 0:
			f.slowdown = factor
		case n == 1 && l.Domain == "east-1":
			f.down = factor > 0
		}
	}
}

// Guards against a collapse where the leaves of a few shards can serve only part of the
// queries: if each of these shards serves a different subset, all queries are begun and
// hardly any is complete.
func TestWeakShardsServeTheSameQueries(t *testing.T) {
	during, failed, after := runOverload(t)
	t.Logf("value during the overload %.3f, failed %.3f, value after it %.3f", during, failed, after)
	assert.Assert(t, failed <= 0.05, "failed %.3f", failed)
	assert.Assert(t, after >= 0.9, "after %.3f", after)
}
