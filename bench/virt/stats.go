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

// errRefused is what a probe meets at a server that is down.
var errRefused = errors.New("connection refused")

// Second is what happened within one second.
type Second struct {
	Asked    int
	Complete int
	Partial  int
	Refused  int
	Calls    int
}

// Stats is what a run measured.
type Stats struct {
	Latency  *hdrhistogram.Histogram // of answered queries, at the caller, in ms
	Seconds  []Second
	Asked    int
	Answered int
	Complete int
	Refused  map[query.Reason]int
	Missing  map[query.Reason]int
	Shards   int
	Covered  int
	First    int
	Extra    int
	Faults   []string
	Notes    map[string]int
	Crashes  map[string][]clock.Milli
	Updates  map[query.Kind]int
	// Others are the latencies of callers that are not greedy.
	Others   *hdrhistogram.Histogram
	domains  map[string]clock.Milli // last new work by domain
	pending  map[uint64]asked
	remote   map[uint64]func(fanout.UpdateResult)
	onUpdate map[uint64]func(fanout.UpdateResult)
	onAnswer map[uint64]func(query.Answer)
}

type asked struct {
	at      clock.Milli
	service string
	text    string
	caller  string
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60000, 3) }

func (s *Stats) init() {
	*s = Stats{
		Latency: newHistogram(), Others: newHistogram(), Refused: map[query.Reason]int{}, Missing: map[query.Reason]int{},
		Notes: map[string]int{}, Crashes: map[string][]clock.Milli{}, Updates: map[query.Kind]int{},
		domains: map[string]clock.Milli{}, pending: map[uint64]asked{},
		remote: map[uint64]func(fanout.UpdateResult){}, onUpdate: map[uint64]func(fanout.UpdateResult){},
		onAnswer: map[uint64]func(query.Answer){},
	}
}

// Reset forgets what was measured so far, but not what is under way.
func (s *Stats) Reset() {
	pending, remote, onUpdate, onAnswer := s.pending, s.remote, s.onUpdate, s.onAnswer
	faults := s.Faults
	s.init()
	s.pending, s.remote, s.onUpdate, s.onAnswer, s.Faults = pending, remote, onUpdate, onAnswer, faults
}

func (s *Stats) second(now clock.Milli) *Second {
	i := int(now / clock.Second)
	for len(s.Seconds) <= i {
		s.Seconds = append(s.Seconds, Second{})
	}
	return &s.Seconds[i]
}

func (s *Stats) use(f *Leaf) {
	now := f.w.Now()
	s.domains[f.domain] = now
	s.second(now).Calls++
}

// LastWork is when a failure domain last got new work.
func (s *Stats) LastWork(domain string) clock.Milli { return s.domains[domain] }

// Quantile is a latency at the callers in ms.
func (s *Stats) Quantile(q float64) float64 { return float64(s.Latency.ValueAtQuantile(q)) }

// ExtraShare is the leaf calls beyond the first per shard, per first call.
func (s *Stats) ExtraShare() float64 {
	if s.First == 0 {
		return 0
	}
	return float64(s.Extra) / float64(s.First)
}

// CompleteShare is the share of all queries that got a complete answer.
func (s *Stats) CompleteShare() float64 {
	if s.Asked == 0 {
		return 0
	}
	return float64(s.Complete) / float64(s.Asked)
}

// Partial is how many answers lacked shards.
func (s *Stats) Partial() int { return s.Answered - s.Complete }

// CoveredShare is the share of shards in the answers that were given.
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
	if s.Asked == 0 {
		return 0
	}
	return float64(n) / float64(s.Asked)
}

func rowKey(service string, pin topo.SnapshotID, shard int) string {
	return fmt.Sprintf("%s/%s/%d", service, pin, shard)
}

// Ask sends a query to a host, after the way from the caller.
func (w *World) Ask(h *Host, service, text, caller string, budget clock.Milli, done func(query.Answer)) {
	w.nextID++
	id := w.nextID
	now := w.Now()
	w.Stats.Asked++
	w.Stats.second(now).Asked++
	w.Stats.pending[id] = asked{at: now, service: service, text: text, caller: caller}
	if done != nil {
		w.Stats.onAnswer[id] = done
	}
	w.Clock.After(w.Deployment.Caller, func() {
		h.do(func() {
			h.actFan(h.Fan.StartQuery(w.Now(), fanout.Request{
				ID: id, Service: service, Text: text, Caller: caller, Limit: 1000, Deadline: w.Now() + budget,
			}))
		})
	})
}

// answered takes a query's answer on its way to the caller, and checks it.
func (w *World) answered(_ *Host, a fanout.Answered) {
	s := &w.Stats
	q, ok := s.pending[a.Query]
	if !ok {
		w.fault(fmt.Sprintf("query %d was answered twice, or never asked", a.Query))
		return
	}
	delete(s.pending, a.Query)
	if done := s.onAnswer[a.Query]; done != nil {
		delete(s.onAnswer, a.Query)
		done(a.Answer)
	}
	now := w.Now() + w.Deployment.Caller
	// A query counts for the second in which it was asked: one that takes longer
	// than before would otherwise look like one that was lost.
	sec := s.second(q.at)
	s.First += a.Answer.Calls - a.Answer.Extra
	s.Extra += a.Answer.Extra
	if a.Answer.Refused != query.ReasonNone {
		s.Refused[a.Answer.Refused]++
		sec.Refused++
		return
	}
	w.verify(q, a.Answer)
	s.Answered++
	_ = s.Latency.RecordValue(int64(max(1, now-q.at))) // bounded by the budgets
	if q.caller != Greedy {
		_ = s.Others.RecordValue(int64(max(1, now-q.at)))
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

// Greedy is the name of the caller that asks far more than the others.
const Greedy = "greedy"

// verify checks an answer row by row: all rows of the answered shards, from the
// pinned snapshot, for this query, and none of a missing shard.
func (w *World) verify(q asked, a query.Answer) {
	c := a.Coverage
	if c.Answered+len(c.Missing) != c.Shards {
		w.fault(fmt.Sprintf("coverage does not add up: %+v", c))
	}
	missing := map[string]bool{}
	for _, m := range c.Missing {
		missing[rowKey(q.service, a.Pin, m.Shard)] = true
	}
	seen := 0
	for _, r := range a.Rows {
		if !strings.HasPrefix(r.Key, q.service+"/"+a.Pin.String()+"/") {
			w.fault("row of another service or snapshot: " + r.Key + " in " + a.Pin.String())
		}
		if r.Text != q.text {
			w.fault("row of another query: " + r.Text)
		}
		if missing[r.Key] {
			w.fault("row of a shard that is said to be missing: " + r.Key)
		}
		seen++
	}
	if seen != c.Answered {
		w.fault(fmt.Sprintf("%d rows for %d answered shards", seen, c.Answered))
	}
}

// Pending is how many queries have no answer yet.
func (w *World) Pending() int { return len(w.Stats.pending) }

// Young is how many pending queries were asked within a span.
func (w *World) Young(span clock.Milli) int {
	n := 0
	for _, q := range w.Stats.pending {
		if w.Now()-q.at <= span {
			n++
		}
	}
	return n
}

// Summary lists refusals, missing shards and leaf events by their causes.
func (s *Stats) Summary() string {
	var lines []string
	for why, n := range s.Refused {
		lines = append(lines, fmt.Sprintf("refused %s %d", why, n))
	}
	for why, n := range s.Missing {
		lines = append(lines, fmt.Sprintf("missing %s %d", why, n))
	}
	for what, n := range s.Notes {
		lines = append(lines, fmt.Sprintf("%s %d", what, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "; ")
}
