package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// crashLoop: a request crashes each leaf that begins to run it, and comes again. The leaves start
// again under the ids that they had.
func crashLoop(folder string) (int, error) {
	w, err := newWorld(folder, threeZones)
	if err != nil {
		return 2, err
	}
	defer w.close()
	for i, zone := range []string{"z1", "z1", "z2", "z3"} {
		l := &leaf{
			id: fmt.Sprintf("i-picker-%d", i+1), service: "picker", zone: zone, slots: 6, work: 20 * time.Millisecond, backAfter: 2 * time.Second,
			crashes: func(r *http.Request) bool { return w.trouble && strings.HasSuffix(r.URL.Path, "/poison") },
		}
		if os.Getenv("NEW_ID") != "" { // to compare: each start has a new id
			n := 0
			l.nextID = func() string {
				n++
				return fmt.Sprintf("i-picker-%d-%d", i+1, n+1)
			}
		}
		if err := w.addLeaf(l); err != nil {
			return 2, err
		}
	}
	r := simpleRoute("stock", "safe", "picker", 1000, 5000)
	r["allowed_regions"] = []string{"r1"}
	if err := w.putConfig(1, []route{r}, service("picker", 0)); err != nil {
		return 2, err
	}
	if err := w.startHosts("z1", "z1", "z2"); err != nil {
		return 2, err
	}
	end := time.Now().Add(50 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.load(20, end, func(i int) { w.send(i%3, "GET", fmt.Sprintf("/stock/%d", i), "", 5*time.Second) })
	}()
	for i := 0; time.Now().Before(end.Add(-3 * time.Second)); i++ {
		w.send(i%3, "GET", "/stock/poison", "", 5*time.Second)
		time.Sleep(3 * time.Second)
	}
	<-done
	// Crashes are the runs of the request; retries are the later attempts of its client.
	var third time.Time
	crashes := 0
	reached := map[string]bool{}
	for _, e := range w.runs {
		if !w.trouble || !strings.HasSuffix(e.path, "/poison") {
			continue // without trouble the request crashes no leaf
		}
		crashes++
		if crashes == 3 {
			third = e.at
		}
		if crashes > 3 && e.at.Sub(third) > contact {
			reached[e.request] = true
		}
	}
	served, asked := 0, 0
	for _, s := range w.sent {
		if !strings.HasSuffix(s.path, "/poison") {
			asked++
			if s.status == 200 {
				served++
			}
		}
	}
	if !w.trouble && served < asked*9/10 {
		return 2, fmt.Errorf("only %d of %d requests were served", served, asked)
	}
	return w.verdict(len(reached) > 3, "BUDGET: the request ran %d times; later than contact_ms after its third crash it reached leaves in %d retries, and 3 are allowed; of the other requests %d of %d were served",
		crashes, len(reached), served, asked), nil
}
