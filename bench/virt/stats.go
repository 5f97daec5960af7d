package virt

import (
	"fmt"
	"sort"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// errRefused is the error of a health check whose connection was refused or has closed.
var errRefused = errors.New("connection refused")

// Second counts the queries that were sent in one second, and the leaf calls that
// started in it.
type Second struct {
	Queries  int
	Complete int
	Partial  int
	Refused  int
	Calls    int
}

// Stats holds the measurements of a run.
type Stats struct {
	Latency    *hdrhistogram.Histogram // of answered queries, at the caller, in ms
	Seconds    []Second                // by the second since the start of the run
	Queries    int
	Answered   int
	Complete   int
	Refused    map[query.Reason]int
	Missing    map[query.Reason]int
	Shards     int                      // of all answered queries
	Covered    int                      // shards that answers cover
	FirstCalls int                      // the first leaf call of each shard, also of refused queries
	ExtraCalls int                      // retries and hedges
	Violations []string                 // violated safety properties
	LeafEvents map[string]int           // event and cause -> events of the schedulers
	Crashes    map[string][]clock.Milli // server -> times at which a query crashed it
	Updates    map[query.Kind]int
	// OthersLatency is the latency of all callers except GreedyCaller, in ms.
	OthersLatency *hdrhistogram.Histogram
	lastCall      map[string]clock.Milli // time of the last leaf call by failure domain
	pending       map[uint64]pendingQuery
	// Callbacks by request ID. Those in onForwarded return the result of a forwarded
	// update to the host that forwarded it.
	onForwarded map[uint64]func(fanout.UpdateResult)
	onUpdate    map[uint64]func(fanout.UpdateResult)
	onAnswer    map[uint64]func(query.Answer)
}

// pendingQuery is a query that was sent and has no answer yet.
type pendingQuery struct {
	sentAt  clock.Milli
	service string
	text    string
	caller  string
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60000, 3) }

func (s *Stats) init() {
	*s = Stats{
		Latency: newHistogram(), OthersLatency: newHistogram(), Refused: map[query.Reason]int{}, Missing: map[query.Reason]int{},
		LeafEvents: map[string]int{}, Crashes: map[string][]clock.Milli{}, Updates: map[query.Kind]int{},
		lastCall: map[string]clock.Milli{}, pending: map[uint64]pendingQuery{},
		onForwarded: map[uint64]func(fanout.UpdateResult){}, onUpdate: map[uint64]func(fanout.UpdateResult){},
		onAnswer: map[uint64]func(query.Answer){},
	}
}

// Reset clears the measurements, but keeps the pending requests and the violations.
func (s *Stats) Reset() {
	pending, onForwarded, onUpdate, onAnswer := s.pending, s.onForwarded, s.onUpdate, s.onAnswer
	violations := s.Violations
	s.init()
	s.pending, s.onForwarded, s.onUpdate, s.onAnswer, s.Violations = pending, onForwarded, onUpdate, onAnswer, violations
}

// second returns the counts of the second that contains a time.
func (s *Stats) second(instant clock.Milli) *Second {
	i := int(instant / clock.Second)
	for len(s.Seconds) <= i {
		s.Seconds = append(s.Seconds, Second{})
	}
	return &s.Seconds[i]
}

// recordCall records a call that starts at a leaf.
func (s *Stats) recordCall(f *Leaf) {
	now := f.w.Now()
	s.lastCall[f.domain] = now
	s.second(now).Calls++
}

// LastWork returns the time of the last leaf call in a failure domain, or 0 if
// there was none.
func (s *Stats) LastWork(domain string) clock.Milli { return s.lastCall[domain] }

// Percentile returns a percentile (0 to 100) of the latency at the callers, in ms.
func (s *Stats) Percentile(percent float64) float64 {
	return float64(s.Latency.ValueAtQuantile(percent))
}

// ExtraShare is the ratio of extra leaf calls, those beyond the first per shard,
// to first calls.
func (s *Stats) ExtraShare() float64 {
	if s.FirstCalls == 0 {
		return 0
	}
	return float64(s.ExtraCalls) / float64(s.FirstCalls)
}

// CompleteShare is the share of all queries that got a complete answer.
func (s *Stats) CompleteShare() float64 {
	if s.Queries == 0 {
		return 0
	}
	return float64(s.Complete) / float64(s.Queries)
}

// Partial is the number of answers with missing shards.
func (s *Stats) Partial() int { return s.Answered - s.Complete }

// CoveredShare is the ratio of the shards that answers cover to all shards of the
// answered queries.
func (s *Stats) CoveredShare() float64 {
	if s.Shards == 0 {
		return 0
	}
	return float64(s.Covered) / float64(s.Shards)
}

// RefusedShare is the share of all queries that were refused.
func (s *Stats) RefusedShare() float64 {
	n := 0
	for _, r := range s.Refused {
		n += r
	}
	if s.Queries == 0 {
		return 0
	}
	return float64(n) / float64(s.Queries)
}

// rowKey returns the key of the only row that a shard has.
func rowKey(service string, pin topo.SnapshotID, shard int) string {
	return fmt.Sprintf("%s/%s/%d", service, pin, shard)
}

// SendQuery sends a query from a caller to a host; it arrives after the
// caller's latency. The function done, if any, is called with the answer when the
// host sends it.
func (w *World) SendQuery(h *Host, service, text, caller string, budget clock.Milli, done func(query.Answer)) {
	w.nextID++
	id := w.nextID
	now := w.Now()
	w.Stats.Queries++
	w.Stats.second(now).Queries++
	w.Stats.pending[id] = pendingQuery{sentAt: now, service: service, text: text, caller: caller}
	if done != nil {
		w.Stats.onAnswer[id] = done
	}
	w.Clock.After(w.Deployment.CallerLatency, func() {
		h.do(func() {
			h.applyFanout(h.Fanout.StartQuery(w.Now(), fanout.Request{
				ID: id, Service: service, Text: text, Caller: caller, Limit: 1000, Deadline: w.Now() + budget,
			}))
		})
	})
}

// recordAnswer records the answer to a pending query and, unless the query was refused,
// verifies the rows.
func (w *World) recordAnswer(_ *Host, a fanout.Answered) {
	s := &w.Stats
	q, ok := s.pending[a.Query]
	if !ok {
		w.recordViolation(fmt.Sprintf("query %d is unknown or has been answered before", a.Query))
		return
	}
	delete(s.pending, a.Query)
	if done := s.onAnswer[a.Query]; done != nil {
		delete(s.onAnswer, a.Query)
		done(a.Answer)
	}
	arrivedAt := w.Now() + w.Deployment.CallerLatency
	// A query counts in the second in which it was sent; otherwise a slower query
	// would look like a lost one.
	sec := s.second(q.sentAt)
	s.FirstCalls += a.Answer.Calls - a.Answer.Extra
	s.ExtraCalls += a.Answer.Extra
	if a.Answer.Refused != query.ReasonNone {
		s.Refused[a.Answer.Refused]++
		sec.Refused++
		return
	}
	w.verify(q, a.Answer)
	s.Answered++
	_ = s.Latency.RecordValue(int64(max(1, arrivedAt-q.sentAt))) // the query's budget keeps it in range
	if q.caller != GreedyCaller {
		_ = s.OthersLatency.RecordValue(int64(max(1, arrivedAt-q.sentAt)))
	}
	s.Shards += a.Answer.Coverage.Shards
	s.Covered += a.Answer.Coverage.Answered
	if a.Answer.Coverage.Complete() {
		s.Complete++
		sec.Complete++
		return
	}
	sec.Partial++
	for _, m := range a.Answer.Coverage.Missing {
		s.Missing[m.Reason]++
	}
}

// GreedyCaller is the name of the caller that sends far more than the others.
const GreedyCaller = "greedy"

// verify checks an answer: as many rows as answered shards, each from the pinned snapshot
// and for this query, and none of a missing shard.
func (w *World) verify(q pendingQuery, a query.Answer) {
	c := a.Coverage
	if c.Answered+len(c.Missing) != c.Shards {
		w.recordViolation(fmt.Sprintf("coverage does not add up: %+v", c))
	}
	missing := map[string]bool{}
	for _, m := range c.Missing {
		missing[rowKey(q.service, a.Pin, m.Shard)] = true
	}
	rows := 0
	for _, r := range a.Rows {
		if !strings.HasPrefix(r.Key, q.service+"/"+a.Pin.String()+"/") {
			w.recordViolation("row of another service or snapshot: " + r.Key + " in " + a.Pin.String())
		}
		if r.Text != q.text {
			w.recordViolation("row of another query: " + r.Text)
		}
		if missing[r.Key] {
			w.recordViolation("row of a shard that is listed as missing: " + r.Key)
		}
		rows++
	}
	if rows != c.Answered {
		w.recordViolation(fmt.Sprintf("%d rows for %d answered shards", rows, c.Answered))
	}
}

// Pending returns the number of queries without an answer.
func (w *World) Pending() int { return len(w.Stats.pending) }

// PendingWithin returns the number of pending queries sent within the last span.
func (w *World) PendingWithin(span clock.Milli) int {
	n := 0
	for _, q := range w.Stats.pending {
		if w.Now()-q.sentAt <= span {
			n++
		}
	}
	return n
}

// Summary lists refusals, missing shards and leaf events by cause.
func (s *Stats) Summary() string {
	var lines []string
	for reason, n := range s.Refused {
		lines = append(lines, fmt.Sprintf("refused %s %d", reason, n))
	}
	for reason, n := range s.Missing {
		lines = append(lines, fmt.Sprintf("missing %s %d", reason, n))
	}
	for event, n := range s.LeafEvents {
		lines = append(lines, fmt.Sprintf("%s %d", event, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "; ")
}
