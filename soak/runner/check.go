package runner

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
	"dandelionstile/share/syntax"
)

// results collects the requests of a run and the guarantees that it violated.
type results struct {
	mu         sync.Mutex
	requests   []*request
	violations []string
}

func (rs *results) addViolation(format string, args ...any) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.violations = append(rs.violations, fmt.Sprintf(format, args...))
}

func (rs *results) addRequest(r *request) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.requests = append(rs.requests, r)
}

// requestTrace is what the leaves recorded of one request.
type requestTrace struct {
	runCount          int
	arrivalsByService map[string]int
	arrivals          []fake.RequestRecord // when leaves received it
	runs              []fake.RequestRecord // when leaves ran it
}

// checkRun runs the checks that need the records of the whole run.
func (t *testbed) checkRun() {
	traces := map[string]*requestTrace{}
	traceOf := func(id string) *requestTrace {
		trace := traces[id]
		if trace == nil {
			trace = &requestTrace{arrivalsByService: map[string]int{}}
			traces[id] = trace
		}
		return trace
	}
	repeats := map[string][]time.Time{}
	for _, l := range t.leaves {
		arrivals, runs := l.Requests()
		for _, a := range arrivals {
			trace := traceOf(a.RequestID)
			trace.arrivalsByService[l.Service]++
			trace.arrivals = append(trace.arrivals, a)
		}
		for _, r := range runs {
			trace := traceOf(r.RequestID)
			trace.runCount++
			trace.runs = append(trace.runs, r)
		}
		t.checkDrain(l, arrivals)
	}
	for _, l := range t.leaves {
		t.collectRepeats(l, traces, repeats)
	}
	for _, r := range t.results.requests {
		t.checkRequest(r, traceOf(r.id))
	}
	t.checkCancelled(traces)
	t.checkHarmful(traces)
	t.checkBudget(repeats)
	t.checkRecovery()
}

// checkRequest checks that an update runs at most once, and not at all if it got
// a 503. It also checks requests without an answer, unless a fault of the host
// explains them: the host must not hold one past its deadline, nor pass one on to a
// leaf and then close its connection. Unless it shuts down, it must not close a new
// connection without an answer.
func (t *testbed) checkRequest(r *request, trace *requestTrace) {
	update := strings.HasPrefix(r.path, "/set/")
	if update && trace.runCount > 1 {
		t.results.addViolation("TWICE: %s ran %d times", r.id, trace.runCount)
	}
	if update && r.status == http.StatusServiceUnavailable && trace.runCount > 0 {
		t.results.addViolation("REFUSED: %s got status 503 but ran", r.id)
	}
	if r.status != 0 || r.cancelled {
		return
	}
	elapsed := r.ended.Sub(r.sent)
	hung := elapsed > callerTimeout+lateTolerance/2
	// A fault that begins once the connection is closed explains nothing.
	if len(trace.arrivals) > 0 && !hung && !r.host.hadFault(r.sent.Add(-time.Second), r.ended) {
		t.results.addViolation("LOST: %s was passed on to a leaf by %s%s, and closed without an answer after %s", r.id, r.host.name, r.host.shutdownTime(r.ended), elapsed)
	}
	if r.host.hadFaultDuring(r) {
		return
	}
	if hung {
		t.results.addViolation("HUNG: %s at %s got no answer in %s", r.id, r.host.name, elapsed)
		return
	}
	// The connection was opened up to the dial timeout of one second before the request.
	if !r.reused && !r.host.wasTerminating(r.sent.Add(-time.Second), r.ended) {
		t.results.addViolation("CLOSED: %s was the first request of its connection to %s, which was closed without an answer after %s", r.id, r.host.name, elapsed)
	}
}

// hadFault reports whether a fault other than a termination affected the host within an
// interval.
func (h *host) hadFault(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlaps(h.faults, from, to)
}

// shutdownTime says how long after a SIGTERM to the host a time was. It is empty if the host
// was not shutting down.
func (h *host) shutdownTime(at time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.terminations {
		if overlaps([]interval{s}, at.Add(-time.Second), at) {
			return fmt.Sprintf(" (%s after SIGTERM)", at.Sub(s.from))
		}
	}
	return ""
}

// hadFaultDuring reports whether a fault of the host explains that a request got
// no answer.
func (h *host) hadFaultDuring(r *request) bool {
	return h.hadFault(r.sent.Add(-time.Second), r.ended.Add(time.Second))
}

// wasTerminating reports whether the host was shutting down after SIGTERM within
// an interval.
func (h *host) wasTerminating(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlaps(h.terminations, from, to)
}

// checkDrain checks that a draining leaf receives no requests from hosts that must
// have learned of the drain.
func (t *testbed) checkDrain(l *leaf, arrivals []fake.RequestRecord) {
	if l.drained.IsZero() {
		return
	}
	deadline := l.drained.Add(applyBound)
	// A fault of the store may have delayed the change.
	if overlaps(t.storeFaults, l.drained.Add(-settleTime), deadline) {
		return
	}
	for _, a := range arrivals {
		if a.At.After(deadline) && !t.mayHaveMissedChange(a.SourceIP, l.drained.Add(-settleTime), a.At) {
			t.results.addViolation("DRAIN: %s reached %s from %s %s after it began to drain", a.RequestID, l.ID, a.SourceIP, a.At.Sub(l.drained))
			return
		}
	}
}

// mayHaveMissedChange reports whether a fault kept the host with an IP address
// from receiving changes within an interval. It reports true if no host has the address.
func (t *testbed) mayHaveMissedChange(ip string, from, to time.Time) bool {
	for _, h := range t.hosts {
		if h.ip == ip {
			return h.wasStale(from, to)
		}
	}
	return true // not from a host, so it is not checked
}

// collectRepeats adds the times of retries and hedges at a leaf's service to repeats:
// all arrivals of a request at a service but one. Over all leaves of a
// service, it reduces the counts in arrivalsByService to 1.
func (t *testbed) collectRepeats(l *leaf, traces map[string]*requestTrace, repeats map[string][]time.Time) {
	arrivals, _ := l.Requests()
	for _, a := range arrivals {
		trace := traces[a.RequestID]
		if trace.arrivalsByService[l.Service] > 1 {
			trace.arrivalsByService[l.Service]--
			repeats[l.Service] = append(repeats[l.Service], a.At)
		}
	}
}

// budgetWindow is the interval over which checkBudget counts requests.
const budgetWindow = 10 * time.Second

// checkBudget checks that no service gets more retries and hedges within a
// budgetWindow than its requests allow. The requests are counted in the same
// window, the one before it and the one that starts half a window earlier; the
// highest count applies.
func (t *testbed) checkBudget(repeats map[string][]time.Time) {
	sent := map[bool][]time.Time{} // by whether the request goes to all shards
	for _, r := range t.results.requests {
		sharded := strings.HasPrefix(r.path, "/all/")
		sent[sharded] = append(sent[sharded], r.sent)
	}
	for _, times := range sent {
		sortTimes(times)
	}
	for service, times := range repeats {
		sortTimes(times)
		requests := sent[service != "one"] // the other services are shards
		for i, from := range times {
			n := countInWindow(times[i:], from)
			maxRequests := max(countInWindow(requests, from), countInWindow(requests, from.Add(-budgetWindow)), countInWindow(requests, from.Add(-budgetWindow/2)))
			if float64(n) > retryRatio*float64(maxRequests)+retryReserve {
				t.results.addViolation("BUDGET: %s got %d retries and hedges in %s for %d requests", service, n, budgetWindow, maxRequests)
				break
			}
		}
	}
}

func sortTimes(times []time.Time) {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
}

// countInWindow returns the number of times within the budgetWindow that starts at
// from. The times must be sorted.
func countInWindow(times []time.Time, from time.Time) int {
	before := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(at) })
	}
	return before(from.Add(budgetWindow)) - before(from)
}

// minRecoveredPercent is the success rate required once all faults have healed.
const minRecoveredPercent = 95

// checkRecovery checks that requests succeed again after the last fault has healed.
func (t *testbed) checkRecovery() {
	succeeded, total := 0, 0
	from := t.startedAt.Add(warmUpTime + t.FaultTime + recoveryTime)
	for _, r := range t.results.requests {
		if r.sent.Before(from) {
			continue
		}
		if r.cancelled {
			continue
		}
		total++
		if r.status == http.StatusOK {
			succeeded++
		}
	}
	if total == 0 || succeeded*100 < total*minRecoveredPercent {
		t.results.addViolation("RECOVER: %d of %d requests succeeded after all faults", succeeded, total)
	}
}

// probe repeatedly requests the route that was added last and the one that was
// removed with it, and checks that the host applies a change within applyBound
// while no fault keeps it from receiving changes.
func (t *testbed) probe(h *host) {
	c := caller{testbed: t, host: h, name: "probe-" + h.name}
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		t.mu.Lock()
		added, removed, changedAt := t.addedPrefix, t.removedPrefix, t.changedAt
		t.mu.Unlock()
		now := time.Now()
		if now.Sub(changedAt) < applyBound || h.wasStale(now.Add(-settleTime), now) || overlaps(t.copyStoreFaults(), now.Add(-settleTime), now) {
			continue
		}
		c.host = h
		status := c.fetchStatus(added + "x")
		removedStatus := c.fetchStatus(removed + "x")
		t.mu.Lock()
		unchanged := added == t.addedPrefix
		t.mu.Unlock()
		// The routes have changed, or the host was stale, between the checks above and
		// the answers.
		if !unchanged || h.wasStale(now, time.Now()) {
			continue
		}
		if status == http.StatusNotFound {
			t.results.addViolation("CONFIG: %s does not serve %s %s after it was added", h.name, added, now.Sub(changedAt))
		}
		if removedStatus != http.StatusNotFound && removedStatus != 0 {
			t.results.addViolation("CONFIG: %s answered %d for %s, which was removed", h.name, removedStatus, removed)
		}
	}
}

func (t *testbed) copyStoreFaults() []interval {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]interval(nil), t.storeFaults...)
}

// fetchStatus sends one request on its own connection and returns the status of
// the answer, or 0 if there is none.
func (c *caller) fetchStatus(path string) int {
	conn, err := net.DialTimeout("tcp", c.host.ip+fake.CallerPort, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }() // the connection serves one request
	c.count++
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // cannot fail on an open connection
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	if _, err := io.WriteString(conn, fake.RequestText(hostHeader, path, id, time.Second)); err != nil {
		return 0
	}
	got, err := readReply(newReplyReader(conn))
	if errors.Is(err, syntax.ErrGrammar) {
		c.testbed.results.addViolation("MIXED: the answer to %s: %s", id, err)
	}
	if err != nil {
		return 0
	}
	return got.status
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Dir        string
	Requests   int
	Succeeded  int
	Faults     int
	Violations []string
}

// String returns a summary line, followed by the first violations.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests, %d successes, %d faults", r.Seed, r.Requests, r.Succeeded, r.Faults)
	if len(r.Violations) == 0 {
		return text + ", all promises kept"
	}
	counts := map[string]int{}
	for _, v := range r.Violations {
		rule, _, _ := strings.Cut(v, ":")
		counts[rule]++
	}
	return text + fmt.Sprint(", broken ", counts) + ", logs in " + r.Dir + "\n  " + strings.Join(r.Violations[:min(len(r.Violations), 12)], "\n  ")
}

// ReadSeeds reads a file of seeds, one per line. The rest of a line is the cause of
// the failure and is ignored.
func ReadSeeds(file string) ([]uint64, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open seeds")
	}
	defer func() { _ = f.Close() }() // read only
	var seeds []uint64
	s := bufio.NewScanner(f)
	for line := 1; s.Scan(); line++ {
		words := strings.Fields(s.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(words[0], 10, 64)
		if err != nil {
			return nil, errors.Newf("%s:%d: invalid seed %q", file, line, words[0])
		}
		seeds = append(seeds, seed)
	}
	return seeds, errors.Wrap(s.Err(), "read seeds")
}
