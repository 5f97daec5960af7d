package scene

import (
	"container/heap"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionstile/bench/deploy"
	"dandelionstile/bench/virt"
	"dandelionstile/share/clock"
)

// The simulated schedulers below give lower bounds of tail latency: one queue per
// shard, shared by the slots of all its replicas, at the arrival rates and service
// times of a run.

// freeHeap orders slots by the time at which they become free.
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

// clairvoyantP99 returns the 99th percentile of latency over all services, in ms. The
// load is a share of the capacity. The latency between host and leaf is 1 ms each
// way.
func clairvoyantP99(w *virt.World, d deploy.Deployment, load float64, duration clock.Milli) float64 {
	all := hdrhistogram.New(1, 60000, 3)
	for i, v := range d.Services {
		slots := v.Instances * v.Leaves * v.Slots / v.Shards() // of all replicas of a shard
		queues := make([]freeHeap, v.Shards())
		for s := range queues {
			queues[s] = make(freeHeap, slots)
		}
		rate := load * w.Capacity(v) / 1000 // queries per ms
		arrival, n := 0.0, uint64(0)
		for arrival < float64(duration) {
			n++
			arrival += interarrival(w, rate)
			end := arrival
			for s := range queues {
				begin := max(arrival, heap.Pop(&queues[s]).(float64))
				done := begin + max(1, virt.ServiceTime(w.Model, w.Seed+uint64(i), n, s))
				heap.Push(&queues[s], done)
				end = max(end, done)
			}
			// The latency between caller and host and between host and leaf, both ways, is
			// added. Recording fails only above the histogram's maximum of 60,000 ms; queues
			// build up no longer than for the duration, which is far shorter.
			_ = all.RecordValue(int64(end - arrival + float64(2*d.CallerLatency) + 2))
		}
	}
	return float64(all.ValueAtQuantile(99))
}

// clairvoyantFarP99 is like clairvoyantP99, but includes the latency between regions:
// a query enters at a random host, and reaches a replica in another failure domain
// after the regional latency. Each shard goes to the slot that answers first.
func clairvoyantFarP99(w *virt.World, d deploy.Deployment, load float64, duration clock.Milli) float64 {
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
		rate := load * w.Capacity(v) / 1000 // queries per ms
		arrival, n := 0.0, uint64(0)
		for arrival < float64(duration) {
			n++
			arrival += interarrival(w, rate)
			from := w.Hosts[w.Random.IntN(len(w.Hosts))].Domain
			end := arrival
			for s := range slots {
				work := max(1, virt.ServiceTime(w.Model, w.Seed+uint64(i), n, s))
				end = max(end, assignEarliest(slots[s], from, arrival, work, d))
			}
			// Recording fails only above the histogram's maximum of 60,000 ms; queues build up
			// no longer than for the duration, which is far shorter.
			_ = all.RecordValue(int64(end - arrival + float64(2*d.CallerLatency)))
		}
	}
	return float64(all.ValueAtQuantile(99))
}

// slot is a slot of a leaf, with the time at which it becomes free.
type slot struct {
	domain string
	freeAt float64
}

// assignEarliest assigns the work of a query that arrives at a host in the domain
// from to the slot that answers first, which is then occupied until the work ends. It
// returns the time at which the answer reaches the host. All times are in ms.
func assignEarliest(slots []slot, from string, arrival, work float64, d deploy.Deployment) float64 {
	best, finish := 0, 0.0
	for i := range slots {
		latency := 1.0
		if slots[i].domain != from {
			latency = float64(d.RegionLatency)
		}
		end := max(arrival+latency, slots[i].freeAt) + work + latency
		if i == 0 || end < finish {
			best, finish = i, end
		}
	}
	latency := 1.0
	if slots[best].domain != from {
		latency = float64(d.RegionLatency)
	}
	slots[best].freeAt = finish - latency
	return finish
}

// interarrival returns a random time until the next query, in ms, for a rate per ms.
func interarrival(w *virt.World, rate float64) float64 { return w.Random.ExpFloat64() / rate }
