package mirror

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/fetch"
	"dandelionstile/share/httpd"
)

// network carries the reads between the hosts of a test.
type network interface {
	// join sets a follower's clock and how it reads other hosts.
	join(f *Follower)
	// serve returns the address of a handler and a function that ends it. Without an address
	// it chooses one.
	serve(t *testing.T, address string, handler http.HandlerFunc) (string, func() error)
}

// loopback serves hosts over HTTP.
type loopback struct{ engine fetch.Engine }

func startLoopback(t *testing.T) *loopback {
	t.Helper()
	n := &loopback{}
	assert.NilError(t, n.engine.Start())
	t.Cleanup(func() { assert.NilError(t, n.engine.Close()) })
	return n
}

func (n *loopback) join(f *Follower) { f.Engine, f.Clock = &n.engine, clock.Wall{} }

func (n *loopback) serve(t *testing.T, address string, handler http.HandlerFunc) (string, func() error) {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	server := &httpd.Server{Address: address, Handler: handler}
	assert.NilError(t, server.Start())
	return server.Addr(), server.Close
}

// memory carries reads without sockets, so that a test can run in the virtual time of synctest:
// what it finds doesn't depend on how busy the machine is.
type memory struct {
	lag   time.Duration // how late each request arrives
	start time.Time

	mu       sync.Mutex
	served   int
	handlers map[string]http.HandlerFunc
}

func newMemory(lag time.Duration) *memory {
	return &memory{lag: lag, start: time.Now(), handlers: map[string]http.HandlerFunc{}}
}

// Now returns the time by the clock of the test.
func (n *memory) Now() clock.Milli {
	return clock.Minute + clock.Milli(time.Since(n.start).Milliseconds())
}

func (n *memory) join(f *Follower) {
	f.Clock = n
	f.connect = func(address string) client { return &memoryClient{n, address} }
}

func (n *memory) serve(_ *testing.T, address string, handler http.HandlerFunc) (string, func() error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.served++
		address = fmt.Sprintf("10.0.0.%d:80", n.served)
	}
	n.handlers[address] = handler
	return address, func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.handlers, address)
		return nil
	}
}

func (n *memory) handler(address string) http.HandlerFunc {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[address]
}

// transit is the least time that a request takes. Without it, time would stand still while a host
// asks another that replies at once.
const transit = time.Millisecond

// memoryClient is a client of a host in a memory.
type memoryClient struct {
	network *memory
	address string
}

func (c *memoryClient) Disconnect() {}

func (c *memoryClient) Do(r *http.Request, timeout time.Duration) (fetch.Reply, error) {
	handler := c.network.handler(c.address)
	if handler == nil {
		return fetch.Reply{}, errors.New("connection refused")
	}
	replies := make(chan fetch.Reply, 1)
	go func() {
		time.Sleep(transit + c.network.lag)
		w := httptest.NewRecorder()
		handler(w, r)
		replies <- fetch.Reply{Status: w.Code, Header: w.Header(), Body: w.Body.Bytes()}
	}()
	select {
	case reply := <-replies:
		return reply, nil
	case <-time.After(timeout):
		return fetch.Reply{}, errors.New("no reply")
	}
}
