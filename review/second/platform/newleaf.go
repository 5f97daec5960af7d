package main

import (
	"fmt"
	"time"
)

// newLeaf: an empty leaf is added, which is cold. No disruption but planned work.
func newLeaf(folder string) (int, error) {
	w, err := newWorld(folder, threeZones)
	if err != nil {
		return 2, err
	}
	defer w.close()
	const perS = 1.0
	for i := range 6 {
		l := &leaf{id: fmt.Sprintf("i-search-%d", i+1), service: "search", zone: fmt.Sprintf("z%d", i%3+1), slots: 2, work: 160 * time.Millisecond, warmup: 3 * time.Second}
		if err := w.addLeaf(l); err != nil {
			return 2, err
		}
	}
	if err := w.putConfig(1, []route{simpleRoute("jobs", "safe", "search", 800, 4000)}, service("search", perS)); err != nil {
		return 2, err
	}
	zones := []string{"z1", "z1", "z1", "z2", "z2", "z3", "z3", "z2", "z3"}
	if err := w.startHosts(zones...); err != nil {
		return 2, err
	}
	go func() {
		time.Sleep(4 * time.Second)
		if w.trouble {
			l := &leaf{id: "i-search-7", service: "search", zone: "z1", slots: 2, work: 160 * time.Millisecond, warmup: 3 * time.Second, world: w}
			w.mu.Lock()
			w.leaves = append(w.leaves, l)
			w.mu.Unlock()
			_ = l.start(true)
		}
	}()
	w.load(70, time.Now().Add(9*time.Second), func(i int) { w.send(i%len(w.hosts), "GET", fmt.Sprintf("/jobs/%d", i), "", 4*time.Second) })
	most := w.mostColdPerSecond()
	bound := perS*overage + warmupSlack
	return w.verdict(float64(most) > bound, "FAILBACK: a cold leaf got up to %d requests in one second; the bound is %.1f", most, bound), nil
}
