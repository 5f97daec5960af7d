package mirror

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/roster"
)

// drainBound is the shortest time within which operators ask for a removed leaf to get no
// requests, and drainPoll the poll timeout that hosts use with it.
const (
	drainBound             = 3 * time.Second
	drainPoll  clock.Milli = 1000
)

const (
	// lostReply is how much longer than its wait a read takes that gets no reply.
	lostReply = 1200 * time.Millisecond
	// slowAnswer is the delay of slow replies.
	slowAnswer = 400 * time.Millisecond
	// returnTime is how long after an outage leaves write their entries again.
	returnTime = 2 * time.Second
)

const regionOne, regionTwo = "r", "q"

// leafStore is a store with the entries of leaves.
type leafStore struct {
	mu      sync.Mutex
	changes []Item // the revision of a change is its index plus 1
	away    access
}

// access is how a store treats the reads of a host.
type access int32

const (
	reachable access = iota
	rejecting        // reads fail at once
	silent           // reads get no reply
	slow             // replies take slowAnswer
)

func (s *leafStore) change(i Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, i)
}

func (s *leafStore) put(leaf string)    { s.change(Item{Key: leaf, Value: []byte("entry")}) }
func (s *leafStore) remove(leaf string) { s.change(Item{Key: leaf, Deleted: true}) }

func (s *leafStore) setAway(a access) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = a
}

// since returns the page after a revision, and false if there are no changes.
func (s *leafStore) since(after int64) (Page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Page{Whole: after == 0, Revision: int64(len(s.changes)), Items: append([]Item(nil), s.changes[after:]...)}
	if p.Whole {
		entries := map[string]Item{}
		for _, i := range p.Items {
			entries[i.Key] = i
		}
		p.Items = nil
		for _, i := range entries {
			if !i.Deleted {
				p.Items = append(p.Items, i)
			}
		}
	}
	return p, p.hasChanges()
}

// leafReader is one host's access to a leafStore.
type leafReader struct {
	store *leafStore
	mode  atomic.Int32
	reads atomic.Int64
	stop  chan struct{}
}

func (r *leafReader) Disconnect() {}

func (r *leafReader) access() access {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.store.away != reachable {
		return r.store.away
	}
	return access(r.mode.Load())
}

// Read waits for changes. A reply that is due while the store is silent is lost.
func (r *leafReader) Read(after int64, wait clock.Milli) (Page, error) {
	r.reads.Add(1)
	end := time.Now().Add(wait.Duration())
	for {
		page, changed := r.store.since(after)
		switch mode := r.access(); {
		case mode == rejecting:
			return Page{}, errors.New("rejected")
		case mode == silent:
			r.pause(time.Until(end) + lostReply)
			return Page{}, errors.New("no reply")
		case changed || time.Now().After(end):
			if mode == slow {
				r.pause(slowAnswer)
			}
			return page, nil
		}
		if !r.pause(5 * time.Millisecond) {
			return Page{}, errors.New("closed")
		}
	}
}

// pause waits and reports whether the host still runs.
func (r *leafReader) pause(d time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// leafSink is a sink that keeps the leaves of a directory.
type leafSink struct {
	mu        sync.Mutex
	directory roster.Directory
	gone      map[string]time.Time // when a leaf was last removed
	losses    int
	returns   int
}

// update changes the directory and records the leaves that it removes.
func (k *leafSink) update(now clock.Milli, change func(d *roster.Directory)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.directory.Leaves()
	change(&k.directory)
	k.directory.Expire(now)
	for _, l := range before {
		if !k.knows(l.ID) {
			if k.gone == nil {
				k.gone = map[string]time.Time{}
			}
			k.gone[l.ID] = time.Now()
		}
	}
}

// knows reports whether the directory has a leaf. The caller holds mu.
func (k *leafSink) knows(id string) bool {
	for _, l := range k.directory.Leaves() {
		if l.ID == id {
			return true
		}
	}
	return false
}

func (k *leafSink) Apply(now clock.Milli, p Page) {
	k.update(now, func(d *roster.Directory) {
		if p.Whole {
			listed := map[string]bool{}
			for _, i := range p.Items {
				listed[i.Key] = true
			}
			d.Retain(now, func(id string) bool { return listed[id] })
		}
		for _, i := range p.Items {
			if i.Deleted {
				d.Remove(now, i.Key)
			} else {
				d.Put(roster.Leaf{ID: i.Key})
			}
		}
	})
}

func (k *leafSink) StoreLost(now clock.Milli) {
	k.update(now, func(d *roster.Directory) { d.StoreLost(); k.losses++ })
}

func (k *leafSink) StoreRecovered(now clock.Milli) {
	k.update(now, func(d *roster.Directory) { d.StoreRecovered(now); k.returns++ })
}

func (k *leafSink) StoreSteady(now clock.Milli) {
	k.update(now, func(d *roster.Directory) { d.StoreSteady(); k.returns++ })
}

func (k *leafSink) Tick(now clock.Milli) { k.update(now, func(*roster.Directory) {}) }

func (k *leafSink) Pending() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.directory.Pending()
}

// lossesSeen returns how often the store was lost, and storeIsLost whether it is.
func (k *leafSink) lossesSeen() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.losses
}

func (k *leafSink) storeIsLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.losses > k.returns
}

// has reports whether the sink has a leaf.
func (k *leafSink) has(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.knows(id)
}

// removedAt returns when a leaf was last removed; zero if it never was.
func (k *leafSink) removedAt(id string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gone[id]
}

// leafHost is a host that follows a leafStore.
type leafHost struct {
	follower Follower
	reader   leafReader
	sink     leafSink
	end      func() error // ends its server
	frozen   atomic.Bool  // its server sends no replies
	slow     atomic.Bool  // its replies take slowAnswer
	stop     chan struct{}
	once     sync.Once
}

// impairedWriter delays or withholds the replies of a host.
type impairedWriter struct {
	http.ResponseWriter
	host *leafHost
}

// Write sends the body of a reply.
func (w *impairedWriter) Write(body []byte) (int, error) {
	if w.host.frozen.Load() {
		<-w.host.stop
	}
	if w.host.slow.Load() {
		w.host.reader.pause(slowAnswer)
	}
	return w.ResponseWriter.Write(body)
}

// leafFleet is a leafStore with the hosts that follow it.
type leafFleet struct {
	t       *testing.T
	network network
	store   leafStore
	hosts   []*leafHost
}

// startFleet starts hosts in the given regions and waits until they have two leaves.
func startFleet(t *testing.T, regions ...string) *leafFleet {
	t.Helper()
	return startFleetOn(t, startLoopback(t), regions...)
}

// startFleetOn is startFleet on a given network.
func startFleetOn(t *testing.T, network network, regions ...string) *leafFleet {
	t.Helper()
	f := &leafFleet{t: t, network: network}
	f.store.put("a")
	f.store.put("b")
	for _, region := range regions {
		h := f.serve(Peer{Region: region})
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		f.follow(h)
	}
	f.settle()
	return f
}

// serve starts the server of a host. Without an address, the network chooses one.
func (f *leafFleet) serve(self Peer) *leafHost {
	f.t.Helper()
	h := &leafHost{stop: make(chan struct{})}
	f.network.join(&h.follower)
	h.follower.Self = self
	h.follower.Self.Address, h.end = f.network.serve(f.t, self.Address, func(w http.ResponseWriter, r *http.Request) {
		h.follower.Mirror().Serve(h.follower.Clock, h.stop, &impairedWriter{w, h}, r)
	})
	return h
}

// follow starts the follower of a host that knows all others.
func (f *leafFleet) follow(h *leafHost) {
	h.reader.store, h.reader.stop = &f.store, h.stop
	h.follower.Store, h.follower.PollTimeout = &h.reader, drainPoll
	h.follower.Log, h.follower.Sink = zerolog.Nop(), &h.sink
	var others []Peer
	for _, other := range f.hosts {
		if other.follower.Self != h.follower.Self {
			others = append(others, other.follower.Self)
		}
	}
	h.follower.SetPeers(others)
	h.follower.Start()
	f.t.Cleanup(func() { h.close(f.t) })
}

// settle waits until all hosts have the leaves and the readers' polls have their steady rhythm.
func (f *leafFleet) settle() {
	f.t.Helper()
	f.await("all leaves are known", func(h *leafHost) bool { return h.sink.has("a") && h.sink.has("b") })
	for _, region := range []string{regionOne, regionTwo} {
		for _, reader := range f.ranked(region)[:min(1, len(f.ranked(region)))] {
			seen := reader.reader.reads.Load()
			f.await("the reader has polled the store", func(*leafHost) bool { return reader.reader.reads.Load() >= seen+2 })
		}
	}
}

// await waits until all hosts fulfil a condition, for drainBound at most. poll.WaitOn would leave a
// goroutine behind when the time is over, with which the virtual time of synctest can't end.
func (f *leafFleet) await(what string, fulfilled func(*leafHost) bool) {
	f.t.Helper()
	end := time.Now().Add(drainBound)
	for {
		missing := slices.IndexFunc(f.hosts, func(h *leafHost) bool { return !fulfilled(h) })
		if missing < 0 {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("host %s has not reached this: %s", f.hosts[missing].follower.Self.Address, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ranked returns the hosts of a region in the order in which they read the store: the
// first one reads, and the second one if that fails.
func (f *leafFleet) ranked(region string) []*leafHost {
	c := &f.hosts[0].follower.chooser
	var list []*leafHost
	for _, p := range c.ranked(func(p Peer) bool { return p.Region == region }) {
		for _, h := range f.hosts {
			if h.follower.Self == p {
				list = append(list, h)
			}
		}
	}
	return list
}

// exclude leaves a host out of the conditions that are checked.
func (f *leafFleet) exclude(h *leafHost) {
	for i, other := range f.hosts {
		if other == h {
			f.hosts = append(f.hosts[:i:i], f.hosts[i+1:]...)
			return
		}
	}
}

func (h *leafHost) close(t *testing.T) {
	h.once.Do(func() {
		close(h.stop)
		assert.NilError(t, h.follower.Close())
		assert.NilError(t, h.end())
	})
}

// Faults of a host that reads the store for others.
var readerFaults = map[string]func(f *leafFleet, h *leafHost){
	"cut":     func(_ *leafFleet, h *leafHost) { h.reader.mode.Store(int32(silent)) },
	"refused": func(_ *leafFleet, h *leafHost) { h.reader.mode.Store(int32(rejecting)) },
	"slow": func(_ *leafFleet, h *leafHost) {
		h.reader.mode.Store(int32(slow))
		h.slow.Store(true)
	},
	"frozen": freeze,
	"killed": func(f *leafFleet, h *leafHost) { h.close(f.t) },
	"restarted": func(f *leafFleet, h *leafHost) {
		h.close(f.t)
		f.follow(f.serve(h.follower.Self))
	},
}

func freeze(_ *leafFleet, h *leafHost) {
	h.frozen.Store(true)
	h.reader.mode.Store(int32(silent))
}

// The host that reads the store for others fails, alone or together with the one that
// takes its place, and a leaf's entry is removed. The store is well, so the other hosts must
// stop using the leaf within the operators' bound.
func TestRemovedLeafIsDroppedBesideAFailedReader(t *testing.T) {
	for name, fail := range readerFaults {
		for nextName, failNext := range map[string]func(*leafFleet, *leafHost){"": nil, "next frozen": freeze, "next cut": readerFaults["cut"]} {
			t.Run(name+" "+nextName, func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, regionOne, regionOne, regionOne, regionOne, regionOne, regionOne)
				order := f.ranked(regionOne)
				fail(f, order[0])
				f.exclude(order[0])
				if failNext != nil {
					failNext(f, order[1])
					f.exclude(order[1])
				}
				f.store.remove("a")
				f.await("the removed leaf is gone", func(h *leafHost) bool { return !h.sink.has("a") })
				for _, h := range f.hosts {
					h.sink.mu.Lock()
					assert.Check(t, h.sink.losses == 0, "the store was never lost")
					h.sink.mu.Unlock()
				}
			})
		}
	}
}

// The host that reads the store fails, the one that takes its place stands still, and replies may be
// late. Hosts that ask both before the store must not ask them again first: some kept a removed leaf
// for more than the operators' bound.
func TestRemovedLeafIsDroppedBesideAFrozenNextReader(t *testing.T) {
	for _, name := range []string{"cut", "frozen"} {
		for lagName, lag := range lateReplies {
			for _, phase := range []time.Duration{0, 500 * time.Millisecond} {
				t.Run(name+" after "+phase.String()+lagName, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := startFleetOn(t, newMemory(lag), regionOne, regionOne, regionOne, regionOne, regionOne, regionOne)
						time.Sleep(phase)
						order := f.ranked(regionOne)
						for i, fail := range []func(*leafFleet, *leafHost){readerFaults[name], freeze} {
							fail(f, order[i])
							f.exclude(order[i])
						}
						f.store.remove("a")
						f.await("the removed leaf is gone", func(h *leafHost) bool { return !h.sink.has("a") })
					})
				})
			}
		}
	}
}

// The store rejects the hosts of a region and does not answer the one that reads for them.
// Another region's hosts have read the store all the while, so that a leaf's removal counts at
// once.
func TestRemovedLeafIsDroppedWhereTheStoreRejectsARegion(t *testing.T) {
	t.Parallel()
	f := startFleet(t, regionOne, regionOne, regionOne, regionTwo, regionTwo)
	order := f.ranked(regionOne)
	for _, h := range order {
		readerFaults["refused"](f, h)
	}
	readerFaults["cut"](f, order[0])
	f.exclude(order[0])
	f.store.remove("a")
	f.await("the removed leaf is gone", func(h *leafHost) bool { return !h.sink.has("a") })
}

// The store is away, and loses entries of leaves that are back within 2 s of its return. No host
// may drop such a leaf, and all must drop one that does not come back. Hosts that ask others before
// the store must see the outage as well, also on a busy machine, where replies come late.
func TestLeavesThatLapseInAnOutageAreKept(t *testing.T) {
	for name, away := range map[string]access{"silent": silent, "rejecting": rejecting} {
		for _, duration := range []time.Duration{2100 * time.Millisecond, 4500 * time.Millisecond} {
			for lagName, lag := range lateReplies {
				t.Run(name+" for "+duration.String()+lagName, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := startFleetOn(t, newMemory(lag), twoRegions...)
						f.lapse(away)
						time.Sleep(duration)
						f.store.setAway(reachable)
						time.Sleep(returnTime)
						f.store.put("a")
						f.checkReturn()
					})
				})
			}
		}
	}
}

// The same over HTTP, by conditions: the outage lasts until all hosts have seen it, and the leaf
// is back when all have seen its end.
func TestLeavesThatLapseAreKeptOverHTTP(t *testing.T) {
	for name, away := range map[string]access{"silent": silent, "rejecting": rejecting} {
		for _, duration := range []time.Duration{2100 * time.Millisecond, 4500 * time.Millisecond} {
			t.Run(name+" for "+duration.String(), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, twoRegions...)
				f.lapse(away)
				time.Sleep(duration)
				f.await("the store is lost", func(h *leafHost) bool { return h.sink.lossesSeen() > 0 })
				f.store.setAway(reachable)
				returned := time.Now()
				f.await("the store is back", func(h *leafHost) bool { return !h.sink.storeIsLost() })
				f.store.put("a")
				time.Sleep(time.Until(returned.Add(returnTime)))
				f.checkReturn()
			})
		}
	}
}

// lateReplies holds by how much replies of other hosts are late in virtual time.
var lateReplies = map[string]time.Duration{"": 0, " beside late replies": 150 * time.Millisecond}

// twoRegions has enough hosts of a region that some ask the next reader before the store.
var twoRegions = []string{regionOne, regionOne, regionOne, regionOne, regionOne, regionOne, regionTwo, regionTwo}

// lapse makes the store go away and lose its entries.
func (f *leafFleet) lapse(a access) {
	f.store.setAway(a)
	f.store.remove("a")
	f.store.remove("b")
}

// checkReturn checks that no host has dropped leaf a, which is back, and all drop leaf b.
func (f *leafFleet) checkReturn() {
	f.t.Helper()
	f.await("the leaf that has lapsed for good is gone", func(h *leafHost) bool { return !h.sink.has("b") })
	f.await("the leaf that is back is known", func(h *leafHost) bool { return h.sink.has("a") })
	for _, h := range f.hosts {
		assert.Check(f.t, h.sink.removedAt("a").IsZero(), "host %s has dropped a leaf that lapsed", h.follower.Self.Address)
	}
}

// A host has asked only others while the store was away, and the host that it reads has just seen
// the end of that loss. Leaves that lapsed meanwhile must be kept; but the short steadiness of a
// host that has just started, or its loss of another time, gives no grace.
func TestLossThatOnlyTheReaderSawKeepsLeaves(t *testing.T) {
	const now = clock.Minute
	for name, c := range map[string]struct {
		page  Page
		keeps bool
	}{
		"just regained":        {Page{Steady: 3, Regained: 3}, true},
		"just started":         {Page{Steady: 3}, false},
		"regained long before": {Page{Steady: 30 * clock.Second, Regained: 30 * clock.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var sink leafSink
			f := Follower{Log: zerolog.Nop(), Sink: &sink, PollTimeout: drainPoll, source: "10.0.0.2:80"}
			f.handlePage(now-2000, Page{Whole: true, Revision: 1, Items: []Item{{Key: "a"}}})
			c.page.Revision, c.page.Items = 2, []Item{{Key: "a", Deleted: true}}
			f.handlePage(now, c.page)
			assert.Equal(t, sink.has("a"), c.keeps)
			page, _, _ := f.mirror.Since(now, 1)
			assert.Equal(t, page.Regained != 0, c.keeps, "its own readers must learn of the loss")
		})
	}
}

// A host resumes after its clock stood still, and reports its copy as fresh although it lacks
// changes that its reader knows; or the store's reply lay unread while the reader itself stood
// still. The reader must not take its data for fresh by that.
func TestDataIsNotTakenForFresherThanItIs(t *testing.T) {
	const now = clock.Minute
	f := Follower{PollTimeout: drainPoll, source: "10.0.0.2:80", after: 9, freshAt: now - 3000}
	assert.Equal(t, f.ageOf(now, Page{Revision: 7, Age: 100}, 0), clock.Milli(3000))
	assert.Equal(t, f.ageOf(now, Page{Revision: 9, Age: 100}, 0), clock.Milli(100))
	f.source = storeSource
	assert.Equal(t, f.ageOf(now, Page{Revision: 10}, 4000), clock.Milli(4000))
	assert.Equal(t, f.ageOf(now, Page{Revision: 10}, slowReply), clock.Milli(0))
}

// The store has dropped the changes after a host's revision, and the next page is from another
// host that knows less. Its full list names leaves that are gone: it must not replace what this
// host knows.
func TestOlderListIsIgnoredAfterLostHistory(t *testing.T) {
	var sink leafSink
	f := Follower{Log: zerolog.Nop(), Sink: &sink, PollTimeout: drainPoll}
	f.handlePage(0, Page{Whole: true, Revision: 9, Items: []Item{{Key: "b"}}})
	f.relist = true // what ErrCompacted leads to
	f.handlePage(0, Page{Whole: true, Revision: 8, Items: []Item{{Key: "a"}, {Key: "b"}}})
	assert.Assert(t, !sink.has("a") && f.relist)
	f.handlePage(0, Page{Whole: true, Revision: 10, Items: []Item{{Key: "c"}}})
	assert.Assert(t, sink.has("c") && !f.relist)
}
