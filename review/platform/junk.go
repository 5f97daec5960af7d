package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryLimit   = 284 << 20 // memory_mb of the settings
	linkBytes     = 125 << 20 // a second: link_mbps = 1000, of the leaf's machine
	spoiledEvery  = 25        // x = 0.04 of the answers of one leaf
	junkTime      = 45 * time.Second
	lostAllowed   = 3
	restartDelay  = 500 * time.Millisecond
	unsafeTimeout = 10 * time.Second
)

// junkConfig has an unsafe route to the service "billing" and a safe one to "desk".
func junkConfig() []byte {
	services := []map[string]any{}
	for _, name := range []string{"billing", "desk"} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 48, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": 7, "services": services,
		"routes": []map[string]any{
			{"name": "r-pay", "host": host, "prefix": "/pay/", "route_type": "unsafe", "timeout_ms": unsafeTimeout.Milliseconds(), "target_latency_ms": 1000, "priority": 2, "service": "billing", "max_attempts": 2, "allowed_regions": []string{}},
			{"name": "r-look", "host": host, "prefix": "/look/", "route_type": "safe", "timeout_ms": 4000, "target_latency_ms": 800, "priority": 1, "service": "desk", "max_attempts": 2, "allowed_regions": []string{}},
		},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return body
}

// memory returns the resident memory of a process in bytes; 0 if it has ended.
func memory(pid int) int64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(body))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// junk lets one leaf send bytes that are no response in place of some answers (garble), and checks
// LOST: a machine doesn't close kept connections without an answer after it has passed their
// requests on to sound leafs.
func junk(w *world, trouble bool) (int, error) {
	const leafsOfService = 4
	var answers, spoiled atomic.Int64
	for i := range leafsOfService {
		for _, service := range []string{"billing", "desk"} {
			l, err := w.startLeaf(fmt.Sprintf("i-%s%d", service, i), service, "zone-a", 200*time.Millisecond)
			if err != nil {
				return notRun, err
			}
			if service == "billing" && i == 0 && trouble {
				l.onRun = func(out http.ResponseWriter, r *http.Request) bool {
					if answers.Add(1)%spoiledEvery != 0 {
						return false
					}
					spoiled.Add(1)
					w.sendJunk(l, out, r)
					return true
				}
			}
			w.writeEntry(l, "ready")
		}
	}
	w.store.put("op/config", junkConfig())
	if err := w.startFronts([]string{"zone-a", "zone-a"}, map[string]string{"zone-a": "region-a"}, bounds()); err != nil {
		return notRun, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second) // in touch
	stop := make(chan struct{})
	var all sync.WaitGroup
	var kills, lost, served atomic.Int64
	for _, f := range w.fronts {
		all.Go(func() { w.guardMemory(f, stop, &kills) })
		for c := range 8 {
			all.Go(func() { w.look(f, c, stop, &lost, &served) })
		}
		for c := range 4 {
			all.Go(func() { w.pay(f, c, stop) })
		}
	}
	time.Sleep(junkTime)
	close(stop)
	all.Wait()
	w.note("served %d, lost %d, spoiled answers %d, processes over memory_mb %d", served.Load(), lost.Load(), spoiled.Load(), kills.Load())
	fmt.Printf("served %d; kept connections closed without an answer, request at a sound leaf: %d; spoiled answers: %d; processes over memory_mb: %d\n",
		served.Load(), lost.Load(), spoiled.Load(), kills.Load())
	if served.Load() == 0 {
		return notRun, fmt.Errorf("nothing was served")
	}
	if lost.Load() > lostAllowed {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// sendJunk sends bytes that are no response, at the speed of the leaf's link, until the connection
// is closed.
func (w *world) sendJunk(l *leaf, out http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const part = 10 * time.Millisecond
	block := bytes.Repeat([]byte{'j'}, linkBytes/100)
	sent, start := 0, time.Now()
	for next := start; ; next = next.Add(part) {
		time.Sleep(time.Until(next))
		n, err := conn.Write(block)
		if sent += n; err != nil {
			break
		}
	}
	w.note("%s sent %d bytes that are no response to %s in %d ms", l.id, sent, r.Header.Get("X-Request-Id"), time.Since(start).Milliseconds())
}

// guardMemory kills a process that exceeds memory_mb and starts it again, as the platform does.
func (w *world) guardMemory(f *front, stop chan struct{}, kills *atomic.Int64) {
	most := int64(0)
	for {
		select {
		case <-stop:
			w.note("%s: largest memory %d MB", f.name, most>>20)
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := memory(f.cmd.Process.Pid)
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		kills.Add(1)
		w.note("%s has %d MB and is killed", f.name, used>>20)
		if err := w.restart(f); err != nil {
			w.note("%s: %v", f.name, err)
			return
		}
	}
}

// look asks the sound service on a kept connection, one request after the other.
func (w *world) look(f *front, number int, stop chan struct{}, lost, served *atomic.Int64) {
	client := &caller{w: w, front: f}
	defer client.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("look-%s-%d-%d", f.name, number, n)
		a := client.ask(http.MethodGet, "/look/x", id, 4*time.Second)
		if a.err == nil && a.status == http.StatusOK {
			served.Add(1)
			continue
		}
		if a.lost(w.ran(id), 4*time.Second) {
			lost.Add(1)
			w.note("LOST: %s was passed on to a sound leaf, and its connection ended without an answer", id)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// pay sends requests that aren't idempotent.
func (w *world) pay(f *front, number int, stop chan struct{}) {
	client := &caller{w: w, front: f}
	defer client.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if a := client.ask(http.MethodPost, "/pay/x", fmt.Sprintf("pay-%s-%d-%d", f.name, number, n), unsafeTimeout); a.err != nil {
			time.Sleep(200 * time.Millisecond)
		}
	}
}
