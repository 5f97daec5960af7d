package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// threeZones is a deployment of three regions with one zone each.
var threeZones = map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}

// load sends requests at a rate, in turn to all hosts, until the end, and waits for their ends.
func (w *world) load(perS float64, until time.Time, send func(i int)) {
	var wait sync.WaitGroup
	begin := time.Now()
	for i := 0; ; i++ {
		at := begin.Add(time.Duration(float64(i) / perS * float64(time.Second)))
		if at.After(until) {
			break
		}
		time.Sleep(time.Until(at))
		wait.Go(func() { send(i) })
	}
	wait.Wait()
}

// foreignEntry: another writer writes an entry under the id of a billing leaf, with fields missing.
// By the page it names no leaf to use.
func foreignEntry(folder string) (int, error) {
	w, err := newWorld(folder, threeZones)
	if err != nil {
		return 2, err
	}
	defer w.close()
	for _, name := range []string{"search", "billing"} {
		for i := 1; i <= 3; i++ {
			l := &leaf{id: fmt.Sprintf("i-%s-%d", name, i), service: name, zone: fmt.Sprintf("z%d", i), slots: 2, work: 80 * time.Millisecond}
			if err := w.addLeaf(l); err != nil {
				return 2, err
			}
		}
	}
	err = w.putConfig(1, []route{
		simpleRoute("jobs", "safe", "search", 500, 3000), simpleRoute("book", "unsafe", "search", 500, 3000), simpleRoute("invoice", "safe", "billing", 500, 3000),
	}, service("search", 0), service("billing", 0))
	if err != nil {
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
		billing := w.leaves[3]
		body, _ := json.Marshal(map[string]any{ // plain values
			"service": "search", "address": billing.address, "zone": billing.zone, "state": stateReady, "born": time.Now().UnixMilli(),
		})
		w.record("another writer writes servers/%s: %s", billing.id, body)
		w.store.put("servers/"+billing.id, body, 3*heartbeat)
	}()
	w.load(90, time.Now().Add(18*time.Second), func(i int) {
		switch rand.IntN(3) {
		case 0:
			w.send(i%3, "GET", fmt.Sprintf("/jobs/%d", i), "", 3*time.Second)
		case 1:
			w.send(i%3, "POST", fmt.Sprintf("/book/%d", i), "rack 7", 3*time.Second)
		default:
			w.send(i%3, "GET", fmt.Sprintf("/invoice/%d", i), "", 3*time.Second)
		}
	})
	wrong, unsafe, foreign := 0, 0, 0
	requests := map[string]bool{}
	for _, e := range w.runs {
		search := e.path[:5] == "/jobs" || e.path[:5] == "/book"
		if search != (e.service == "search") {
			wrong++
			requests[e.request] = true
			if e.path[:5] == "/book" {
				unsafe++
			}
		}
	}
	served := 0
	for _, s := range w.sent {
		if s.status == 200 {
			served++
			if requests[s.id] {
				foreign++
			}
		}
	}
	if served < len(w.sent)*9/10 {
		return 2, fmt.Errorf("only %d of %d requests were served", served, len(w.sent))
	}
	return w.verdict(wrong > 0, "ROUTE: %d of %d requests were run by a service to which no configuration sends them, %d of them unsafe ones; %d clients got its answer as a success",
		wrong, len(w.sent), unsafe, foreign), nil
}
