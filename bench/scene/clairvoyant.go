package scene

import (
	"container/heap"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionstile/bench/deploy"
	"dandelionstile/bench/virt"
	"dandelionstile/share/clock"
)

// The clairvoyant scheduler is the bound for tail latency: one queue per shard,
// shared by the slots of all its replicas, with no delay in what it knows, and
// the same arrivals and service times as a run.

type freeHeap []float64

func (h freeHeap) Len() int           { return len(h) }
func (h freeHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h freeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds x; it is called by container/heap.
func (h *freeHeap) Push(x any) { *h = append(*h, x.(float64)) }

// Pop removes the last element; it is called by container/heap.
func (h *freeHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// clairvoyant returns the 99th percentile over all services, in ms.
func clairvoyant(w *virt.World, d deploy.Deployment, share float64, span clock.Milli) float64 {
	all := hdrhistogram.New(1, 60000, 3)
	for i, v := range d.Services {
		slots := v.Instances * v.Leaves * v.Slots / v.Shards()
		queues := make([]freeHeap, v.Shards())
		for s := range queues {
			queues[s] = make(freeHeap, slots)
		}
		rate := share * w.Capacity(v) / 1000
		at, n := 0.0, uint64(0)
		for at < float64(span) {
			n++
			at += expFloat(w, rate)
			end := at
			for s := range queues {
				begin := max(at, heap.Pop(&queues[s]).(float64))
				done := begin + max(1, virt.ServiceTime(w.Model, w.Seed+uint64(i), n, s))
				heap.Push(&queues[s], done)
				end = max(end, done)
			}
			// The way from the caller and back, and to the leaf and back.
			_ = all.RecordValue(int64(end - at + float64(2*d.CallerLatency) + 2)) // bounded by the span
		}
	}
	return float64(all.ValueAtQuantile(99))
}

// clairvoyantFar is the same with distance: a query enters at a random host and
// reaches a replica in another region only after the way there. Each shard is
// given to the slot that will answer first, known exactly.
func clairvoyantFar(w *virt.World, d deploy.Deployment, share float64, span clock.Milli) float64 {
	all := hdrhistogram.New(1, 60000, 3)
	for i, v := range d.Services {
		slots := make([][]slot, v.Shards())
		for _, s := range w.Config.Inventory.Servers {
			if s.Service != v.Name {
				continue
			}
			for _, l := range s.Leaves {
				shard, _ := l.Shard(1)
				for range l.Slots {
					slots[shard] = append(slots[shard], slot{domain: s.Domain})
				}
			}
		}
		rate := share * w.Capacity(v) / 1000
		at, n := 0.0, uint64(0)
		for at < float64(span) {
			n++
			at += expFloat(w, rate)
			from := w.Hosts[w.Random.IntN(len(w.Hosts))].Domain
			end := at
			for s := range slots {
				work := max(1, virt.ServiceTime(w.Model, w.Seed+uint64(i), n, s))
				end = max(end, first(slots[s], from, at, work, d))
			}
			_ = all.RecordValue(int64(end - at + float64(2*d.CallerLatency))) // bounded by the span
		}
	}
	return float64(all.ValueAtQuantile(99))
}

type slot struct {
	domain string
	free   float64
}

// first gives the work to the slot that answers first and returns when.
func first(slots []slot, from string, at, work float64, d deploy.Deployment) float64 {
	best, when := 0, 0.0
	for i := range slots {
		way := 1.0
		if slots[i].domain != from {
			way = float64(d.RegionLatency)
		}
		end := max(at+way, slots[i].free) + work + way
		if i == 0 || end < when {
			best, when = i, end
		}
	}
	way := 1.0
	if slots[best].domain != from {
		way = float64(d.RegionLatency)
	}
	slots[best].free = when - way
	return when
}

func expFloat(w *virt.World, rate float64) float64 { return w.Random.ExpFloat64() / rate }
