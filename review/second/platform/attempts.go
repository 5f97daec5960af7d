package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempts: shards of an index whose leaves are slow, seen through a host that forwards.
func attempts(folder string) (int, error) {
	w, err := newWorld(folder, threeZones)
	if err != nil {
		return 2, err
	}
	defer w.close()
	var slow atomic.Int32 // the group of shards whose leaves are slow; 0 for none
	var shards []string
	var services []map[string]any
	for i := range 20 {
		name := fmt.Sprintf("shard-%02d", i)
		shards = append(shards, name)
		services = append(services, service(name, 0))
		for j := range 3 {
			l := &leaf{id: fmt.Sprintf("i-%s-%d", name, j), service: name, zone: []string{"z3", "z2", "z2"}[j], slots: 3, work: 28 * time.Millisecond}
			l.workOf = func(*http.Request) time.Duration {
				if slow.Load() == int32(i/4+1) {
					return 28 * 12 * time.Millisecond
				}
				return 28 * time.Millisecond
			}
			if err := w.addLeaf(l); err != nil {
				return 2, err
			}
		}
	}
	if err := w.putConfig(1, []route{shardedRoute("browse", shards, 200, 2000, 5, 0.89)}, services...); err != nil {
		return 2, err
	}
	if err := w.startHosts("z1", "z2", "z3", "z1"); err != nil {
		return 2, err
	}
	go func() {
		for group := range int32(5) {
			time.Sleep(4 * time.Second)
			if w.trouble {
				slow.Store(group + 1)
				w.record("the leaves of 4 shards work 12 times as long")
			}
			time.Sleep(4 * time.Second)
			slow.Store(0)
		}
	}()
	w.load(30, time.Now().Add(41*time.Second), func(i int) { w.send(i%2*3, "GET", fmt.Sprintf("/browse/%d", i), "", 2*time.Second) })
	byRequest := map[string]map[string]bool{}
	for _, e := range w.runs {
		key := e.request + " " + e.service
		if byRequest[key] == nil {
			byRequest[key] = map[string]bool{}
		}
		byRequest[key][e.leaf] = true
	}
	over := map[string]bool{}
	most := 0
	for key, leaves := range byRequest {
		most = max(most, len(leaves))
		if len(leaves) > 2 {
			over[strings.Fields(key)[0]] = true
		}
	}
	return w.verdict(len(over) > 3, "BUDGET: %d of %d requests ran on more leaves of a shard than the route's 2 attempts, up to %d; 3 are allowed", len(over), len(w.sent), most), nil
}
