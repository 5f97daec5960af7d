package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shortTimeout = 8 * time.Second  // of the route before the change
	longTimeout  = 15 * time.Second // after it
	longWork     = 12 * time.Second // of a leaf, for one request
)

// longConfig has one route with a timeout to the service "batch", and one to "desk".
func longConfig(version int, timeout time.Duration) []byte {
	services := []map[string]any{}
	for _, name := range []string{"batch", "desk"} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 48, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "services": services,
		"routes": []map[string]any{
			{"name": "r-batch", "host": host, "prefix": "/batch/", "route_type": "unsafe", "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 1000, "priority": 2, "service": "batch", "max_attempts": 2, "allowed_regions": []string{}},
			{"name": "r-look", "host": host, "prefix": "/look/", "route_type": "safe", "timeout_ms": 4000, "target_latency_ms": 800, "priority": 1, "service": "desk", "max_attempts": 2, "allowed_regions": []string{}},
		},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return body
}

// long raises the timeout of a route (config_change, timeout), and checks LOST: a machine doesn't
// close kept connections without an answer after it has passed their requests on to sound leafs.
func long(w *world, trouble bool) (int, error) {
	for i := range 4 {
		for service, work := range map[string]time.Duration{"batch": longWork, "desk": 20 * time.Millisecond} {
			l, err := w.startLeaf(fmt.Sprintf("i-%s%d", service, i), service, "zone-a", work)
			if err != nil {
				return notRun, err
			}
			w.writeEntry(l, "ready")
		}
	}
	w.store.put("op/config", longConfig(7, shortTimeout))
	if err := w.startFronts([]string{"zone-a", "zone-a"}, map[string]string{"zone-a": "region-a"}, bounds()); err != nil {
		return notRun, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	if trouble {
		w.store.put("op/config", longConfig(9, longTimeout))
		w.note("version 9 acknowledged: the timeout is %v", longTimeout)
	}
	time.Sleep(5 * time.Second) // in touch, and the change is in force
	var all sync.WaitGroup
	var answered, lost, other atomic.Int64
	for _, f := range w.fronts {
		for c := range 4 {
			all.Go(func() {
				client := &caller{w: w, front: f}
				defer client.close()
				client.ask(http.MethodGet, "/look/x", fmt.Sprintf("look-%s-%d", f.name, c), 4*time.Second)
				id := fmt.Sprintf("batch-%s-%d", f.name, c)
				a := client.ask(http.MethodPost, "/batch/x", id, longTimeout)
				switch {
				case a.err == nil:
					answered.Add(1)
				case a.lost(w.ran(id), longTimeout):
					lost.Add(1)
					w.note("LOST: %s was passed on to a sound leaf, and its connection ended without an answer", id)
				default:
					other.Add(1)
				}
			})
		}
	}
	all.Wait()
	time.Sleep(3 * time.Second) // the leafs end their work
	w.note("answered %d, lost %d, other %d", answered.Load(), lost.Load(), other.Load())
	fmt.Printf("answered %d; kept connections closed without an answer, request at a sound leaf: %d; other failures: %d\n", answered.Load(), lost.Load(), other.Load())
	switch {
	case lost.Load() > lostAllowed:
		return ruleBroken, nil
	case answered.Load() == 0:
		return notRun, fmt.Errorf("nothing was answered")
	}
	return ruleHeld, nil
}
