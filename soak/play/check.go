package play

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/platform/fake"
)

// checks collects requests and broken promises.
type checks struct {
	mu       sync.Mutex
	requests []*request
	broken   []string
}

func (c *checks) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *checks) add(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// seen is what leafs saw of one request.
type seen struct {
	runs     int
	arrivals map[string]int // by service
	reached  []fake.RequestRecord
	worked   []fake.RequestRecord
}

// evaluate checks what can be told only at the end.
func (w *world) evaluate() {
	all := map[string]*seen{}
	at := func(id string) *seen {
		s := all[id]
		if s == nil {
			s = &seen{arrivals: map[string]int{}}
			all[id] = s
		}
		return s
	}
	extra := map[string][]time.Time{}
	for _, l := range w.leafs {
		arrivals, runs := l.Requests()
		for _, a := range arrivals {
			s := at(a.RequestID)
			s.arrivals[l.Service]++
			s.reached = append(s.reached, a)
		}
		for _, r := range runs {
			s := at(r.RequestID)
			s.runs++
			s.worked = append(s.worked, r)
		}
		w.checkDrain(l, arrivals)
	}
	for _, l := range w.leafs {
		w.secondCalls(l, all, extra)
	}
	for _, r := range w.checks.requests {
		w.checkRequest(r, at(r.id))
	}
	w.checkGone(all)
	w.checkHarmful(all)
	w.checkBudget(extra)
	w.checkRecovery()
}

func (w *world) checkRequest(r *request, s *seen) {
	unsafe := strings.HasPrefix(r.path, "/set/")
	if unsafe && s.runs > 1 {
		w.checks.fault("TWICE: %s ran %d times", r.id, s.runs)
	}
	if unsafe && r.status == http.StatusServiceUnavailable && s.runs > 0 {
		w.checks.fault("REFUSED: %s was said not to have run", r.id)
	}
	if r.status != 0 || r.left || r.host.otherwise(r) {
		return
	}
	took := r.ended.Sub(r.sent)
	if took > callerWait+late/2 {
		w.checks.fault("HUNG: %s at %s got no answer in %s", r.id, r.host.name, took)
		return
	}
	if s.runs > 0 && r.host.leaving(r.sent, r.ended) {
		w.checks.fault("LOST: %s was passed on by %s, which was leaving, and cut after %s", r.id, r.host.name, took)
	}
}

// otherwise tells whether a fault explains that a request got no answer.
func (h *host) otherwise(r *request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlaps(h.hits, r.sent.Add(-time.Second), r.ended.Add(time.Second))
}

func (h *host) leaving(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlaps(h.terms, from, to)
}

// checkDrain: a leaf that drains gets nothing from hosts that must know.
func (w *world) checkDrain(l *leaf, arrivals []fake.RequestRecord) {
	if l.drained.IsZero() {
		return
	}
	due := l.drained.Add(bound)
	if overlaps(w.storeHit, l.drained.Add(-touch), due) {
		return
	}
	for _, a := range arrivals {
		if a.At.After(due) && !w.excused(a.SourceIP, l.drained.Add(-touch), a.At) {
			w.checks.fault("DRAIN: %s reached %s from %s %s after it had begun to leave", a.RequestID, l.ID, a.SourceIP, a.At.Sub(l.drained))
			return
		}
	}
}

// excused tells whether a fault on a host explains what it did not know.
func (w *world) excused(ip string, from, to time.Time) bool {
	for _, h := range w.hosts {
		if h.ip == ip {
			return h.blinded(from, to)
		}
	}
	return true // nobody's request: a probe of the soak itself
}

// secondCalls finds the arrivals at a service beyond the first of a request.
func (w *world) secondCalls(l *leaf, all map[string]*seen, extra map[string][]time.Time) {
	arrivals, _ := l.Requests()
	for _, a := range arrivals {
		s := all[a.RequestID]
		if s.arrivals[l.Service] > 1 {
			s.arrivals[l.Service]--
			extra[l.Service] = append(extra[l.Service], a.At)
		}
	}
}

const window = 10 * time.Second

// checkBudget: in no ten seconds does a service get more second calls than its
// requests allow, counted in that window, in the one before it or in the one half
// a window before it, whichever has most.
func (w *world) checkBudget(extra map[string][]time.Time) {
	sent := map[bool][]time.Time{}
	for _, r := range w.checks.requests {
		merged := strings.HasPrefix(r.path, "/all/")
		sent[merged] = append(sent[merged], r.sent)
	}
	for _, times := range sent {
		sortTimes(times)
	}
	for service, times := range extra {
		sortTimes(times)
		asked := sent[service != "one"]
		for i, from := range times {
			n := within(times[i:], from)
			most := max(within(asked, from), within(asked, from.Add(-window)), within(asked, from.Add(-window/2)))
			if float64(n) > ratio*float64(most)+slack {
				w.checks.fault("BUDGET: %s got %d second calls in %s for %d requests", service, n, window, most)
				break
			}
		}
	}
}

func sortTimes(times []time.Time) {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
}

// within counts the times of a window, in a sorted list.
func within(times []time.Time, from time.Time) int {
	before := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(at) })
	}
	return before(from.Add(window)) - before(from)
}

// calmShare is how many requests in a hundred succeed once all is well again.
const calmShare = 95

// checkRecovery: after the last fault has healed, all is well.
func (w *world) checkRecovery() {
	good, all := 0, 0
	from := w.begin.Add(warmUp + w.For + heal)
	for _, r := range w.checks.requests {
		if r.sent.Before(from) {
			continue
		}
		if r.left {
			continue
		}
		all++
		if r.status == http.StatusOK {
			good++
		}
	}
	if all == 0 || good*100 < all*calmShare {
		w.checks.fault("RECOVER: %d of %d requests succeeded after all faults", good, all)
	}
}

// probe asks a host for the route that came last and one that went, and holds
// it to the bound while it is left alone.
func (w *world) probe(h *host) {
	c := caller{world: w, host: h, name: "probe-" + h.name}
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		w.mu.Lock()
		extra, former, since := w.extra, w.former, w.changedAt
		w.mu.Unlock()
		now := time.Now()
		if now.Sub(since) < bound || h.blinded(now.Add(-touch), now) || overlaps(w.storeSpans(), now.Add(-touch), now) {
			continue
		}
		c.host = h
		status := c.status(extra + "x")
		old := c.status(former + "x")
		w.mu.Lock()
		same := extra == w.extra
		w.mu.Unlock()
		if !same || h.blinded(now, time.Now()) {
			continue
		}
		if status == http.StatusNotFound {
			w.checks.fault("CONFIG: %s does not know %s %s after it came", h.name, extra, now.Sub(since))
		}
		if old != http.StatusNotFound && old != 0 {
			w.checks.fault("CONFIG: %s answered %d for %s, which is gone", h.name, old, former)
		}
	}
}

func (w *world) storeSpans() []span {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]span(nil), w.storeHit...)
}

// status is the status of one request; 0 if it got no answer.
func (c *caller) status(path string) int {
	conn, err := net.DialTimeout("tcp", c.host.ip+fake.CallerPort, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }() // it was used once
	c.count++
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // an open connection takes it
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	if _, err := io.WriteString(conn, fake.RequestText(hostName, path, id, time.Second)); err != nil {
		return 0
	}
	got, err := hear(bufio.NewReader(conn))
	if err != nil {
		return 0
	}
	return got.status
}

// Report is what a run found.
type Report struct {
	Seed     uint64
	Dir      string
	Requests int
	Good     int
	Faults   int
	Broken   []string
}

// String tells it in a few lines.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests, %d successes, %d faults", r.Seed, r.Requests, r.Good, r.Faults)
	if len(r.Broken) == 0 {
		return text + ", all promises kept"
	}
	return text + ", logs in " + r.Dir + "\n  " + strings.Join(r.Broken[:min(len(r.Broken), 12)], "\n  ")
}

// ReadSeeds reads seeds from a file, one a line; what follows on the line is
// the cause.
func ReadSeeds(file string) ([]uint64, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open seeds")
	}
	defer func() { _ = f.Close() }() // it was only read
	var seeds []uint64
	s := bufio.NewScanner(f)
	for line := 1; s.Scan(); line++ {
		words := strings.Fields(s.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(words[0], 10, 64)
		if err != nil {
			return nil, errors.Newf("%s:%d: %q is no seed", file, line, words[0])
		}
		seeds = append(seeds, seed)
	}
	return seeds, errors.Wrap(s.Err(), "read seeds")
}
