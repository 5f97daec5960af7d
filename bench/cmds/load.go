package cmds

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"dandelionstile/share/fetch"
)

func init() { register("load", &load{}) }

// load sends queries to running entries at a constant rate, in wall time.
type load struct {
	Entries  []string      `arg:"positional,required" placeholder:"IP:PORT" help:"entries' addresses for callers, loopback only"`
	Service  string        `arg:"--service,required" help:"service to ask"`
	Rate     int           `arg:"--rate" default:"200" help:"queries per second, at most 20000"`
	Span     time.Duration `arg:"--span" default:"10s" help:"duration, at most 10m"`
	Workers  int           `arg:"--workers" default:"64" help:"number of connections"`
	Texts    int           `arg:"--texts" default:"500" help:"number of different queries"`
	BudgetMS int           `arg:"--budget-ms" default:"1000" help:"time budget of a query"`
}

// Limits of a load.
const (
	maxRate = 20000
	maxSpan = 10 * time.Minute
)

// tally counts the results.
type tally struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram // in units of 0.1 ms
	complete int
	partial  int
	extra    int            // leaf calls beyond the first per shard
	failed   int            // no answer, or one that is not JSON
	refused  map[string]int // by reason
}

// loadAnswer holds the fields that are read of an answer or refusal.
type loadAnswer struct {
	Complete bool   `json:"complete"`
	Extra    int    `json:"extra-attempts"`
	Reason   string `json:"reason"`
}

// Help returns the description of the command.
func (*load) Help() string { return "send queries to running entries and report the results" }

// Run sends the load and prints the results.
func (c *load) Run() error {
	for _, e := range c.Entries {
		if len(e) < 4 || e[:4] != "127." {
			return errors.Newf("entry %s is not a loopback address (127.x.x.x)", e)
		}
	}
	if c.Rate < 1 || c.Rate > maxRate || c.Span > maxSpan || c.Workers < 1 {
		return errors.Newf("rate must be 1 to %d, span at most %s, workers at least 1", maxRate, maxSpan)
	}
	engine := &fetch.Engine{}
	if err := engine.Start(); err != nil {
		return err
	}
	defer func() { _ = engine.Close() }() // all queries have ended
	// The histogram covers latencies up to 60 s.
	t := &tally{latency: hdrhistogram.New(1, 600000, 3), refused: map[string]int{}}
	// due has the capacity for the queries of at least one second.
	due := make(chan int, maxRate)
	var wg sync.WaitGroup
	for w := range c.Workers {
		wg.Go(func() { c.sendQueries(engine, c.Entries[w%len(c.Entries)], due, t) })
	}
	c.feed(due)
	close(due)
	wg.Wait()
	c.printResults(t)
	return nil
}

// feed makes queries due at the rate, however slow the earlier answers are: a
// load that waits for answers hides their latency.
func (c *load) feed(due chan<- int) {
	begin := time.Now()
	for n := 0; ; {
		elapsed := time.Since(begin)
		if elapsed >= c.Span {
			return
		}
		for ; n < int(elapsed.Seconds()*float64(c.Rate)); n++ {
			select {
			case due <- n:
			default: // the workers are far behind; the query is not sent and not counted
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// sendQueries sends the queries that are due over one connection, one at a time. It opens
// a new connection after an error.
func (c *load) sendQueries(engine *fetch.Engine, addr string, due <-chan int, t *tally) {
	conn := &fetch.Conn{Engine: engine, Address: addr}
	defer func() { conn.Close() }()
	for n := range due {
		body := fmt.Sprintf(`{"service":%q,"text":"text %d","limit":10,"budget-ms":%d}`, c.Service, n%max(1, c.Texts), c.BudgetMS)
		r, err := fetch.Request(http.MethodPost, addr, "/v1/query", []byte(body))
		if err != nil {
			t.countFailure()
			continue
		}
		sent := time.Now()
		done := make(chan error, 1)
		conn.Do(r, func(reply fetch.Reply, err error) {
			if err == nil {
				t.countReply(reply, time.Since(sent))
			}
			done <- err
		})
		if <-done != nil {
			t.countFailure()
			go conn.Close()
			conn = &fetch.Conn{Engine: engine, Address: addr}
		}
	}
}

// countFailure counts a query without an answer.
func (t *tally) countFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed++
}

// countReply counts a reply by its result. The latency counts from the sending of the
// query, for replies with status 200 alone.
func (t *tally) countReply(reply fetch.Reply, elapsed time.Duration) {
	var a loadAnswer
	err := json.Unmarshal(reply.Body, &a)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.failed++
	case reply.Status != http.StatusOK:
		t.refused[a.Reason]++
	default:
		_ = t.latency.RecordValue(min(elapsed.Microseconds()/100, 600000)) // within the range of the histogram
		t.extra += a.Extra
		if a.Complete {
			t.complete++
		} else {
			t.partial++
		}
	}
}

// printResults prints the counts and the latency.
func (c *load) printResults(t *tally) {
	ms := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 10 }
	fmt.Printf("complete %d, partial %d, failed %d, extra leaf calls %d\n", t.complete, t.partial, t.failed, t.extra)
	fmt.Printf("p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", ms(50), ms(99), ms(99.9))
	reasons := make([]string, 0, len(t.refused))
	for r := range t.refused {
		reasons = append(reasons, r)
	}
	sort.Strings(reasons)
	for _, r := range reasons {
		fmt.Printf("refused %s: %d\n", r, t.refused[r])
	}
}
