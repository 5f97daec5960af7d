package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// forgotten: a request crashes each leaf that begins to run it, and comes again after each step of
// a rolling restart of the hosts. Each start of a leaf has a new id.
func forgotten(folder string) (int, error) {
	w, err := newWorld(folder, threeZones)
	if err != nil {
		return 2, err
	}
	defer w.close()
	for i := range 9 {
		n := 1
		l := &leaf{
			id: fmt.Sprintf("i-desk-%d-1", i+1), service: "desk", zone: fmt.Sprintf("z%d", i%3+1), slots: 6, work: 20 * time.Millisecond, backAfter: 2 * time.Second,
			crashes: func(r *http.Request) bool { return w.trouble && strings.HasSuffix(r.URL.Path, "/poison") },
			nextID: func() string {
				n++
				return fmt.Sprintf("i-desk-%d-%d", i+1, n)
			},
		}
		if err := w.addLeaf(l); err != nil {
			return 2, err
		}
	}
	if err := w.putConfig(1, []route{simpleRoute("stock", "safe", "desk", 1000, 5000)}, service("desk", 0)); err != nil {
		return 2, err
	}
	if err := w.startHosts("z1", "z2", "z3"); err != nil {
		return 2, err
	}
	// comeAgain sends the request to a host twice, with 3 s after each attempt.
	comeAgain := func(host int) {
		for range 2 {
			w.send(host, "GET", "/stock/poison", "", 5*time.Second)
			time.Sleep(3 * time.Second)
		}
	}
	for host := range w.hosts { // all hosts are in touch since their start
		comeAgain(host)
	}
	for host, h := range w.hosts {
		if err := h.restart(); err != nil {
			return 2, err
		}
		time.Sleep(contact + 2*time.Second) // it is in touch again
		comeAgain(host)
	}
	var third time.Time
	crashes := 0
	reached := map[string]bool{}
	for _, e := range w.runs {
		if !w.trouble {
			continue // the request crashes no leaf
		}
		if crashes++; crashes == 3 {
			third = e.at
		}
		if crashes > 3 && e.at.Sub(third) > contact {
			reached[e.request] = true
		}
	}
	return w.verdict(len(reached) > 3, "BUDGET: the request crashed %d leaves in %d attempts of its client; later than contact_ms after its third crash it reached leaves in %d retries, and 3 are allowed",
		crashes, len(w.sent), len(reached)), nil
}
