package main

import (
	"fmt"
	"time"
)

// topK: the operator adds a route to a part of another route's paths, over the same shards, and
// removes it, while queries run. The two routes differ in how many records their answers hold.
func topK(folder string) (int, error) {
	w, err := newWorld(folder, threeZones)
	if err != nil {
		return 2, err
	}
	defer w.close()
	var shards []string
	var services []map[string]any
	for i := range 20 {
		name := fmt.Sprintf("shard-%02d", i)
		shards = append(shards, name)
		services = append(services, service(name, 0))
		for j := range 2 {
			l := &leaf{id: fmt.Sprintf("i-%s-%d", name, j), service: name, zone: []string{"z2", "z3"}[i/10], slots: 3, work: 10 * time.Millisecond}
			if err := w.addLeaf(l); err != nil {
				return 2, err
			}
		}
	}
	tops := []int{20, 5}
	put := func(version int) error {
		routes := []route{shardedRoute("browse", shards, 200, 2000, tops[0], 0.89)}
		if version%2 == 1 {
			quick := shardedRoute("quick", shards, 200, 2000, tops[1], 0.89)
			quick["prefix"] = "/browse/quick/"
			routes = append(routes, quick)
		}
		return w.putConfig(version, routes, services...)
	}
	if err := put(2); err != nil {
		return 2, err
	}
	if err := w.startHosts("z1", "z2", "z3", "z1"); err != nil {
		return 2, err
	}
	go func() {
		version := 2
		for range 3 {
			time.Sleep(3 * time.Second)
			for range 12 { // a change each 0.33 s for 4 s
				if version++; w.trouble {
					_ = put(version)
				}
				time.Sleep(330 * time.Millisecond)
			}
		}
	}()
	w.load(90, time.Now().Add(22*time.Second), func(i int) { w.send(i%4, "GET", fmt.Sprintf("/browse/quick/%d", i), "", 2*time.Second) })
	wrong, served := 0, 0
	for _, s := range w.sent {
		if s.status != 200 {
			continue
		}
		served++
		if !w.greatest(s, tops) {
			w.record("wrong answer for %s", s.id)
			wrong++
		}
	}
	return w.verdict(wrong > 0, "MIXED: %d of %d successes have a body that isn't the greatest top_k records of their parts, by the top_k of either route", wrong, served), nil
}
