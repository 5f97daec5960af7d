package main

import (
	"fmt"
	"os"
	"sort"
	"time"
)

// coldLeaf: one of seven leaves crashes and starts again under its id while the store is down. It
// is cold, and says so in its health responses, which the hosts read before they use it again.
func coldLeaf(folder string) (int, error) {
	const (
		warmup = 3 * time.Second
		perS   = 10.0
	)
	w, err := newWorld(folder, threeZones)
	if err != nil {
		return 2, err
	}
	defer w.close()
	for i := range 7 {
		l := &leaf{id: fmt.Sprintf("i-search-%d", i+1), service: "search", zone: fmt.Sprintf("z%d", i%3+1), slots: 6, work: 80 * time.Millisecond, warmup: warmup, backAfter: 1500 * time.Millisecond}
		if err := w.addLeaf(l); err != nil {
			return 2, err
		}
	}
	if err := w.putConfig(1, []route{simpleRoute("jobs", "safe", "search", 500, 3000)}, service("search", perS)); err != nil {
		return 2, err
	}
	if err := w.startHosts("z1", "z2", "z3"); err != nil {
		return 2, err
	}
	go func() {
		time.Sleep(4 * time.Second)
		if !w.trouble {
			return
		}
		if os.Getenv("STORE") != "up" {
			w.record("the store is down")
			w.store.setSilent(true)
		}
		time.Sleep(500 * time.Millisecond)
		w.leaves[0].crashAndReturn()
		time.Sleep(2500 * time.Millisecond)
		w.record("the store is back, after 4.5 s")
		w.store.setSilent(false)
	}()
	w.load(300, time.Now().Add(13*time.Second), func(i int) {
		w.send(i%3, "GET", fmt.Sprintf("/jobs/%d", i), "", 3*time.Second)
	})
	served := 0
	for _, s := range w.sent {
		if s.status == 200 {
			served++
		}
	}
	if served < len(w.sent)*8/10 {
		return 2, fmt.Errorf("only %d of %d requests were served", served, len(w.sent))
	}
	most := w.mostColdPerSecond()
	bound := perS*overage + warmupSlack
	told := 0
	for _, p := range w.probes {
		if p.left > 0 {
			told++
		}
	}
	return w.verdict(float64(most) > bound, "FAILBACK: a cold leaf got up to %d requests in one second; the bound is %.0f; %d health responses told that it was cold", most, bound, told), nil
}

// mostColdPerSecond returns the most requests that a cold leaf got in a span of one second, of
// those that were sent and arrived in that span.
func (w *world) mostColdPerSecond() int {
	sentAt := map[string]time.Time{}
	for _, s := range w.sent {
		sentAt[s.id] = s.at
	}
	byLeaf := map[string][]event{}
	for _, e := range w.arrival {
		if e.left > 0 {
			byLeaf[e.leaf] = append(byLeaf[e.leaf], e)
		}
	}
	most := 0
	for _, list := range byLeaf {
		sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
		for i, last := range list {
			n := 0
			for _, e := range list[:i+1] {
				if last.at.Sub(e.at) <= time.Second && last.at.Sub(sentAt[e.request]) <= time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}
