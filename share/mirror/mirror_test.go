package mirror

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/clock"
)

// A reader that is behind could miss a change. It must get the changes after its revision,
// or a full page if the history no longer has them all: the remaining ones alone would leave
// gaps in its copy. The page must carry its age, and a waiting reader must be notified of
// the next change. An empty mirror must report false.
func TestSince(t *testing.T) {
	var m Mirror
	_, _, ok := m.Since(0, 0)
	assert.Assert(t, !ok, "the mirror is empty")
	m.Apply(1000, Page{Whole: true, Revision: 10, Items: []Item{{Key: "a", Value: []byte("1")}}})
	m.Apply(2000, Page{Revision: 12, Items: []Item{{Key: "b", Value: []byte("2")}, {Key: "a", Deleted: true}}, Age: 300})
	p, changed, ok := m.Since(2500, 10)
	assert.Assert(t, ok && !p.Whole && p.Revision == 12 && len(p.Items) == 2)
	assert.Equal(t, p.Age, clock.Milli(800)) // read at 2,000 with an age of 300
	p, _, _ = m.Since(2500, 12)
	assert.Equal(t, len(p.Items), 0)
	p, _, _ = m.Since(2500, 3)
	assert.Assert(t, p.Whole && len(p.Items) == 1)
	m.Apply(3000, Page{Revision: 13, Items: []Item{{Key: "c"}}})
	select {
	case <-changed:
	default:
		t.Fatal("the waiting reader was not notified")
	}
	for i := range int64(maxHistory + 10) {
		m.Apply(3000, Page{Revision: 20 + i, Items: []Item{{Key: "k"}}})
	}
	p, _, _ = m.Since(3000, 15)
	assert.Assert(t, p.Whole, "the history is truncated")
}

// If the hosts of a region chose differently, none or several would read the store. They
// must agree without messages. A failed source, also the store, must be skipped for a while.
func TestSources(t *testing.T) {
	hosts := []Peer{{Address: "a:1", Region: "r"}, {Address: "b:1", Region: "r"}, {Address: "c:1", Region: "r"}, {Address: "d:1", Region: "q"}}
	reading := 0
	var follower *chooser
	for i, self := range hosts[:3] {
		c := &chooser{self: self}
		for j, p := range hosts {
			if j != i {
				c.peers = append(c.peers, p)
			}
		}
		if c.next(1000) == storeSource {
			reading++
			continue
		}
		follower = c
	}
	assert.Equal(t, reading, readersPerRegion)
	reader := follower.next(1000)
	follower.recordFailure(1000, reader)
	assert.Equal(t, follower.next(1001), storeSource)
	follower.recordFailure(1001, storeSource)
	other := follower.next(1002)
	assert.Assert(t, other != storeSource && other != reader)
	assert.Equal(t, follower.next(1000+minBackoff), reader)
	follower.recordSuccess(reader)
	assert.Equal(t, follower.next(1002), reader)
}

// A host asks the reader, then the next one, and both take long to fail. The backoff of the first
// is over by then: the host must turn to the store, not ask the same two again.
func TestStoreIsAskedBeforeAFailedHostAgain(t *testing.T) {
	c := &chooser{}
	for i := range directFallbacks + 1 {
		c.peers = append(c.peers, Peer{Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	c.peers = c.ranked(func(p Peer) bool { return p.Address != "" })
	c.self, c.peers = c.peers[directFallbacks], c.peers[:directFallbacks]
	reader, next := c.peers[0].Address, c.peers[1].Address
	assert.Equal(t, c.next(1000), reader)
	c.recordFailure(1000, reader)
	assert.Equal(t, c.next(1000), next)
	c.recordFailure(1000+minBackoff, next)
	assert.Equal(t, c.next(1000+minBackoff), storeSource)
	c.recordFailure(1000+minBackoff, storeSource)
	assert.Equal(t, c.next(1000+minBackoff), reader)
}

// scriptedStore is a store whose replies are set by a test.
type scriptedStore struct {
	mu            sync.Mutex
	revision      int64
	down          bool
	reads         int
	fullReadCount int
}

// fullReads returns the number of full reads.
func (s *scriptedStore) fullReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullReadCount
}

func (s *scriptedStore) Disconnect() {}

func (s *scriptedStore) Read(after int64, wait clock.Milli) (Page, error) {
	end := time.Now().Add(wait.Duration())
	s.mu.Lock()
	s.reads++
	if after == 0 {
		s.fullReadCount++
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		revision, down := s.revision, s.down
		s.mu.Unlock()
		switch {
		case down:
			return Page{}, errors.New("down")
		case after == 0 || revision > after:
			return Page{Whole: after == 0, Revision: revision, Items: []Item{{Key: "k", Value: fmt.Append(nil, revision)}}}, nil
		case time.Now().After(end):
			return Page{Revision: revision}, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Values of down for scriptedStore.set.
const (
	storeUp   = false
	storeDown = true
)

func (s *scriptedStore) set(revision int64, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.down = revision, down
}

// recordingSink is a sink that records the newest revision and the notifications.
type recordingSink struct {
	mu        sync.Mutex
	revision  int64
	lost      int
	recovered int
	steady    int
	pending   atomic.Bool
	ticks     atomic.Int64
}

func (k *recordingSink) Apply(_ clock.Milli, p Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = max(k.revision, p.Revision)
}

func (k *recordingSink) StoreLost(clock.Milli) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lost++
}

func (k *recordingSink) StoreRecovered(clock.Milli) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recovered++
}

func (k *recordingSink) StoreSteady(clock.Milli) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.steady++
}

func (k *recordingSink) Pending() bool { return k.pending.Load() }

func (k *recordingSink) Tick(clock.Milli) { k.ticks.Add(1) }

// has returns a poll check that succeeds once the sink has received the revision.
func (k *recordingSink) has(revision int64) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.revision >= revision {
			return poll.Success()
		}
		return poll.Continue("the sink has revision %d", k.revision)
	}
}

// wasLost is a poll check that succeeds once the sink was notified that no fresh data is
// available.
func (k *recordingSink) wasLost(poll.LogT) poll.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lost > 0 {
		return poll.Success()
	}
	return poll.Continue("the sink was not notified of a loss")
}

// host is a follower with its server.
type host struct {
	follower Follower
	sink     recordingSink
	end      func() error // ends its server
	stop     chan struct{}
	once     sync.Once
}

func (h *host) close(t *testing.T) {
	h.once.Do(func() {
		close(h.stop)
		assert.NilError(t, h.follower.Close())
		assert.NilError(t, h.end())
	})
}

const testWait clock.Milli = 300

// startRegion starts hosts of one region that know each other at once.
func startRegion(t *testing.T, store *scriptedStore, n int) []*host {
	t.Helper()
	return startTogether(t, startLoopback(t), store, n, nil)
}

// startTogether starts hosts of one region. With configure, it configures each one
// before its start and announces the others after it, in two steps.
func startTogether(t *testing.T, network network, store *scriptedStore, n int, configure func(*Follower)) []*host {
	t.Helper()
	hosts := make([]*host, n)
	var peers []Peer
	for i := range hosts {
		h := &host{stop: make(chan struct{})}
		network.join(&h.follower)
		var address string
		address, h.end = network.serve(t, "", func(w http.ResponseWriter, r *http.Request) {
			h.follower.Mirror().Serve(h.follower.Clock, h.stop, w, r)
		})
		peers = append(peers, Peer{Address: address, Region: "r"})
		hosts[i] = h
	}
	for i, h := range hosts {
		h.follower.Self, h.follower.Store, h.follower.PollTimeout = peers[i], store, testWait
		h.follower.Log, h.follower.Sink = zerolog.Nop(), &h.sink
		others := append(append([]Peer{}, peers[:i]...), peers[i+1:]...)
		if configure == nil {
			h.follower.SetPeers(others)
			h.follower.Start()
		} else {
			configure(&h.follower)
			h.follower.Start()
			time.AfterFunc(50*time.Millisecond, func() { h.follower.SetPeers(others[:len(others)/2]) })
			time.AfterFunc(150*time.Millisecond, func() { h.follower.SetPeers(others) })
		}
		t.Cleanup(func() { h.close(t) })
	}
	return hosts
}

// readsStore reports whether the host reads the store.
func (h *host) readsStore() bool {
	h.follower.mu.Lock()
	defer h.follower.mu.Unlock()
	return h.follower.chooser.next(h.follower.Clock.Now()) == storeSource
}

// One host of a region reads the store for all and stops just before a change. The others
// wait for its replies, and must still get the change within a few seconds.
func TestChangesArriveWhenTheReaderIsKilled(t *testing.T) {
	store := &scriptedStore{revision: 1}
	hosts := startRegion(t, store, 4)
	for _, h := range hosts {
		poll.WaitOn(t, h.sink.has(1))
	}
	store.set(2, storeUp)
	for _, h := range hosts {
		poll.WaitOn(t, h.sink.has(2))
	}
	for i, h := range hosts {
		if h.readsStore() {
			h.close(t)
			hosts = append(hosts[:i], hosts[i+1:]...)
			break
		}
	}
	assert.Equal(t, len(hosts), 3)
	store.set(3, storeUp)
	for _, h := range hosts {
		poll.WaitOn(t, h.sink.has(3), poll.WithTimeout(5*time.Second))
	}
}

// The store is down for a while. Each host's sink must be notified of the loss and the
// recovery; otherwise it would remove the leaves whose entries the store lost.
func TestStoreOutageIsReported(t *testing.T) {
	store := &scriptedStore{revision: 1}
	hosts := startRegion(t, store, 2)
	for _, h := range hosts {
		poll.WaitOn(t, h.sink.has(1))
	}
	store.set(1, storeDown)
	for _, h := range hosts {
		poll.WaitOn(t, h.sink.wasLost)
	}
	store.set(2, storeUp)
	for _, h := range hosts {
		poll.WaitOn(t, h.sink.has(2))
		h.sink.mu.Lock()
		assert.Assert(t, h.sink.recovered > 0)
		h.sink.mu.Unlock()
	}
}

// A host starts while the store is down and another host has the store's last data, older
// than lostAfter. If it accepted fresh data only, it would have no routes. It must apply the
// old data, and get fresh data once the store is back.
func TestNewHostAppliesStaleData(t *testing.T) {
	store := &scriptedStore{revision: 7}
	oldHost := startRegion(t, store, 1)[0]
	poll.WaitOn(t, oldHost.sink.has(7))
	store.set(7, storeDown)
	poll.WaitOn(t, oldHost.sink.wasLost)
	newHost := startRegion(t, store, 1)[0]
	newHost.follower.SetPeers([]Peer{oldHost.follower.Self})
	poll.WaitOn(t, newHost.sink.has(7), poll.WithTimeout(3*time.Second))
	store.set(8, storeUp)
	poll.WaitOn(t, newHost.sink.has(8))
}

// A configuration of thousands of routes goes to a dozen hosts over one host's link at
// once. Uncompressed, it occupies the link and delays requests; compression must reduce it
// to less than a tenth, and it must be encoded once for all readers.
func TestLargePagesAreCompressed(t *testing.T) {
	value := bytes.Repeat([]byte(`{"name":"r-0001","host":"h.example","prefix":"/p/","route_type":"safe"}`), 4000)
	m := Mirror{}
	m.Apply(0, Page{Whole: true, Revision: 3, Items: []Item{{Key: "k", Value: value}}})
	page, _, _ := m.Since(0, 0)
	body, err := m.encodeCached(0, page)
	assert.NilError(t, err)
	assert.Assert(t, len(body) < len(value)/10, "%d of %d bytes", len(body), len(value))
	got, err := decode(body)
	assert.NilError(t, err)
	assert.Assert(t, got.Whole && got.Revision == 3 && bytes.Equal(got.Items[0].Value, value))
	again, err := m.encodeCached(0, page)
	assert.NilError(t, err)
	assert.Assert(t, &again[0] == &body[0], "the page is encoded once")
	_, err = decode([]byte("no page"))
	assert.ErrorContains(t, err, "page")
}

// Another host sends a page of empty items. Decoded, its two bytes for each would take a
// hundred, above the memory of a host.
func TestPageOfEmptyItemsIsRejected(t *testing.T) {
	body, err := encode(Page{Revision: 3, Items: make([]Item, MaxPageItems+1)})
	assert.NilError(t, err)
	_, err = decode(body)
	assert.ErrorIs(t, err, errTooMany)
	body, err = encode(Page{Revision: 3, Items: make([]Item, MaxPageItems/2)})
	assert.NilError(t, err)
	page, err := decode(body)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Items), MaxPageItems/2)
}

// hangingSource is a source that has stopped replying: its reads end when end is closed.
type hangingSource struct{ end chan struct{} }

func (h hangingSource) Disconnect() {}

func (h hangingSource) Read(int64, clock.Milli) (Page, error) {
	<-h.end
	return Page{}, errors.New("silent")
}

// A source stops replying while the sink keeps a leaf whose entry was removed about 2 s ago.
// The sink must get ticks during the read to remove the leaf on time: when it was removed
// only at the end of the read, a second later, requests went to a leaf that no longer ran.
func TestSinkGetsTicksWhileAReadHangs(t *testing.T) {
	source := hangingSource{make(chan struct{})}
	var sink recordingSink
	sink.pending.Store(true)
	f := Follower{Store: source, PollTimeout: testWait, Clock: clock.Wall{}, Log: zerolog.Nop(), Sink: &sink}
	f.Start()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if sink.ticks.Load() >= 3 {
			return poll.Success()
		}
		return poll.Continue("%d ticks", sink.ticks.Load())
	}, poll.WithTimeout(2*time.Second))
	close(source.end)
	assert.NilError(t, f.Close())
}

// Eight hosts of a region start together and do not know each other yet. A host that
// knows no others reads the store itself, so without the wait for discovery all eight
// would. One must read for all.
func TestOneHostReadsForAllThatStartTogether(t *testing.T) {
	store := &scriptedStore{revision: 1}
	hosts := startTogether(t, startLoopback(t), store, 8, func(f *Follower) { f.DiscoveryTimeout, f.DiscoverySettle = 2*clock.Second, 300 })
	for _, h := range hosts {
		poll.WaitOn(t, h.sink.has(1), poll.WithTimeout(5*time.Second))
	}
	assert.Equal(t, store.fullReads(), 1)
}

// A host has no others to wait for. After DiscoveryTimeout it must read the store
// nevertheless.
func TestLoneHostReads(t *testing.T) {
	store := &scriptedStore{revision: 1}
	h := startTogether(t, startLoopback(t), store, 1, func(f *Follower) { f.DiscoveryTimeout, f.DiscoverySettle = 100, 50 })[0]
	poll.WaitOn(t, h.sink.has(1), poll.WithTimeout(5*time.Second))
}

// rejectingStore is one host's access to the store. It counts reads and may reject them.
type rejectingStore struct {
	*scriptedStore
	rejects atomic.Bool
	read    atomic.Int64
}

func (r *rejectingStore) Read(after int64, wait clock.Milli) (Page, error) {
	r.read.Add(1)
	if r.rejects.Load() {
		return Page{}, errors.New("read rejected")
	}
	return r.scriptedStore.Read(after, wait)
}

// The store rejects the host that reads for a large region. If all other hosts then read
// the store, each rejection would multiply its load: only the first directFallbacks may.
// It runs in virtual time, since hosts may read the store when the next reader's reply is late.
func TestFewHostsReadTheStoreInsteadOfARejectedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{revision: 1}
		var stores []*rejectingStore
		hosts := startTogether(t, newMemory(0), store, 12, func(f *Follower) {
			rejecting := &rejectingStore{scriptedStore: store}
			stores = append(stores, rejecting)
			f.Store, f.DiscoveryTimeout, f.DiscoverySettle = rejecting, 2*clock.Second, 300
		})
		for _, h := range hosts {
			poll.WaitOn(t, h.sink.has(1), poll.WithTimeout(5*time.Second))
		}
		for i, h := range hosts {
			stores[i].read.Store(0)
			stores[i].rejects.Store(h.readsStore())
		}
		time.Sleep(2 * time.Second) // several times the wait of a follower for its source
		store.set(2, storeUp)
		for _, h := range hosts {
			poll.WaitOn(t, h.sink.has(2), poll.WithTimeout(3*time.Second))
		}
		reading := 0
		for _, s := range stores {
			if s.read.Load() > 0 {
				reading++
			}
		}
		const limit = 4 // directFallbacks
		assert.Assert(t, reading <= limit, "%d hosts have read the store", reading)
	})
}
