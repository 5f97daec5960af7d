package lab

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// load sends queries to all ready hosts until it is stopped, and checks every
// answer.
type load struct {
	t        *testing.T
	l        *Lab
	stop     chan struct{}
	wg       sync.WaitGroup
	complete atomic.Int64
	partial  atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	mu       sync.Mutex
	reasons  map[string]int       // host and reason of all answers that weren't complete
	ready    map[string]readiness // by host name
}

// readiness is the result of the balancer's last readiness check of a host.
type readiness struct {
	checked time.Time
	ready   bool
}

// balancerLag is the maximum age of the balancer's view of a host.
const balancerLag = time.Second

// balancerSends reports whether the balancer sends queries to a host.
func (d *load) balancerSends(c *Client, h *Host) bool {
	d.mu.Lock()
	seen := d.ready[h.Name]
	d.mu.Unlock()
	if time.Since(seen.checked) < balancerLag {
		return seen.ready
	}
	current := readiness{time.Now(), c.Ready(h.CallerAddress)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready[h.Name] = current
	return current.ready
}

// startLoad starts workers that each send one query after the other, to all hosts in
// turn.
func startLoad(t *testing.T, l *Lab, workers int) *load {
	d := &load{t: t, l: l, stop: make(chan struct{}), reasons: map[string]int{}, ready: map[string]readiness{}}
	for w := range workers {
		d.wg.Go(func() {
			c := NewClient(15 * time.Second)
			defer func() { _ = c.Close() }()
			for n := w; ; n++ {
				select {
				case <-d.stop:
					return
				default:
					d.sendQuery(c, l.Hosts[n%len(l.Hosts)], n)
				}
			}
		})
	}
	return d
}

// sendQuery sends a query to a host if the balancer would, and counts the result.
func (d *load) sendQuery(c *Client, h *Host, n int) {
	if h.removed || !d.balancerSends(c, h) {
		time.Sleep(time.Millisecond)
		return
	}
	service := d.l.Layout.Services[n%len(d.l.Layout.Services)].Name
	text := fmt.Sprintf("load %d", n%50)
	a, err := c.Query(h.CallerAddress, service, text, budget)
	switch {
	case err != nil:
		d.failed.Add(1)
		d.countReason(h.Name + ": " + err.Error())
	case a.Status != http.StatusOK:
		d.refused.Add(1)
		d.countReason(h.Name + ": " + a.Summary())
	default:
		if err := a.Check(service, text); err != nil {
			d.t.Errorf("answer of %s: %v", h.Name, err)
		}
		if a.Complete {
			d.complete.Add(1)
		} else {
			d.partial.Add(1)
			d.countReason(h.Name + ": " + a.Summary())
		}
	}
}

// countReason counts why a query has no complete answer.
func (d *load) countReason(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reasons[reason]++
}

// awaitMore waits for n more complete answers.
func (d *load) awaitMore(n int64) {
	d.t.Helper()
	until := d.complete.Load() + n
	assert.NilError(d.t, Await(waitTimeout, "queries continue", func() bool { return d.complete.Load() >= until }))
}

// finish stops the load and logs the counts.
func (d *load) finish() {
	close(d.stop)
	d.wg.Wait()
	d.t.Logf("complete %d, partial %d, refused %d, failed %d: %v",
		d.complete.Load(), d.partial.Load(), d.refused.Load(), d.failed.Load(), d.reasons)
}
