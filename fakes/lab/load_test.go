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

// load asks all ready hosts again and again until stopped, and checks every
// answer.
type load struct {
	t        *testing.T
	l        *Lab
	stop     chan struct{}
	wait     sync.WaitGroup
	complete atomic.Int64
	partial  atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	mu       sync.Mutex
	why      map[string]int
	ready    map[string]readiness
}

// readiness is what the balancer last saw of a host.
type readiness struct {
	at    time.Time
	ready bool
}

// balancerLag is how old the balancer's view of a host may be.
const balancerLag = time.Second

// serves tells whether the balancer sends queries to a host.
func (d *load) serves(c *Client, h *Host) bool {
	d.mu.Lock()
	seen := d.ready[h.Name]
	d.mu.Unlock()
	if time.Since(seen.at) < balancerLag {
		return seen.ready
	}
	now := readiness{time.Now(), c.Ready(h.Callers)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready[h.Name] = now
	return now.ready
}

func startLoad(t *testing.T, l *Lab, workers int) *load {
	d := &load{t: t, l: l, stop: make(chan struct{}), why: map[string]int{}, ready: map[string]readiness{}}
	for w := range workers {
		d.wait.Go(func() {
			c := NewClient(15 * time.Second)
			defer func() { _ = c.Close() }()
			for n := w; ; n++ {
				select {
				case <-d.stop:
					return
				default:
					d.one(c, l.Hosts[n%len(l.Hosts)], n)
				}
			}
		})
	}
	return d
}

// one asks a host that is ready, as the balancer would.
func (d *load) one(c *Client, h *Host, n int) {
	if h.gone || !d.serves(c, h) {
		time.Sleep(time.Millisecond)
		return
	}
	service := d.l.Layout.Services[n%len(d.l.Layout.Services)].Name
	text := fmt.Sprintf("load %d", n%50)
	a, err := c.Query(h.Callers, service, text, budget)
	switch {
	case err != nil:
		d.failed.Add(1)
		d.note(h.Name + ": " + err.Error())
	case a.Status != http.StatusOK:
		d.refused.Add(1)
		d.note(h.Name + ": " + a.Line())
	default:
		if err := a.Check(service, text); err != nil {
			d.t.Errorf("answer of %s: %v", h.Name, err)
		}
		if a.Complete {
			d.complete.Add(1)
		} else {
			d.partial.Add(1)
			d.note(h.Name + ": " + a.Line())
		}
	}
}

func (d *load) note(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.why[what]++
}

// awaitMore waits for so many more complete answers.
func (d *load) awaitMore(n int64) {
	d.t.Helper()
	until := d.complete.Load() + n
	assert.NilError(d.t, Await(patient, "queries go on", func() bool { return d.complete.Load() >= until }))
}

// end stops the load and says what happened.
func (d *load) end() {
	close(d.stop)
	d.wait.Wait()
	d.t.Logf("complete %d, partial %d, refused %d, failed %d: %v",
		d.complete.Load(), d.partial.Load(), d.refused.Load(), d.failed.Load(), d.why)
}
