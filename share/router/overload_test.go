package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// overloaded plays a large fleet whose leaves of one shard in six all take seven
// times as long, while one leaf in six is down and 1.8 times as many callers ask as
// usual. It returns the credit meanwhile, the share that failed, and the credit in
// the second that begins one second after the end.
func overloaded(t *testing.T) (during, failed, after float64) {
	t.Helper()
	const seeds, hosts, shards = 3, 60, 60
	const begin, end clock.Milli = 5000, 9000
	for seed := int64(1); seed <= seeds; seed++ {
		b, p := browse(36), peek(12)
		b.route.MinShare, p.route.MinShare = 0.95, 0.85
		b.route.Target, p.route.Target = 400, 150
		b.work, p.work = 20, 6.7
		w := newFleet(t, seed, hosts, 0, shards, 0, b, p)
		for _, l := range w.leafs {
			l.Slots = 2
		}
		for i := range w.list {
			w.list[i].Slots = 2
		}
		for _, h := range w.hosts {
			h.handle(Facts{Table: w.table, Leaves: w.list})
		}
		w.load(13000)
		w.run(begin)
		w.crowd = 1.8
		w.weaken(7)
		w.run(end)
		w.crowd = 0
		w.weaken(0)
		w.run(16000)
		during += w.credit(begin, end) / seeds
		after += w.credit(end+clock.Second, end+2*clock.Second) / seeds
		n, lost := 0, 0
		for _, r := range w.asked {
			if r.first < begin || r.first >= end {
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

// weaken slows all leaves of one shard in six, and takes down a leaf of another; 0
// ends both.
func (w *world) weaken(times float64) {
	const every = 6
	for _, l := range w.list {
		n := int(rank.Hash(l.Service) % every)
		f := w.leafs[l.ID]
		switch {
		case n == 0:
			f.slow = times
		case n == 1 && l.Domain == "east-1":
			f.down = times > 0
		}
	}
}

// Guards against a collapse where the leaves of a few shards bear only a part of the
// queries: each of these shards serves other queries than the next, none is
// complete, and all are begun.
func TestWeakShardsServeTheSameQueries(t *testing.T) {
	during, failed, after := overloaded(t)
	t.Logf("credit during %.3f, failed %.3f, credit after %.3f", during, failed, after)
	assert.Assert(t, failed <= 0.05, "failed %.3f", failed)
	assert.Assert(t, after >= 0.9, "after %.3f", after)
}
