package mirror

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"dandelionstile/share/clock"
	"dandelionstile/share/fetch"
)

// ErrCompacted means that the changes since a revision are no longer known; a whole page
// is due.
var ErrCompacted = errors.New("history is no longer available")

// errStale: a host was asked that has itself not heard from the store of late.
var errStale = errors.New("what the host has is too old")

// Source is where pages come from. After 0 asks for a whole page.
type Source interface {
	Read(after int64, wait clock.Milli) (Page, error)
	// Disconnect gives up its connection.
	Disconnect()
}

// Sink takes what was read, from one goroutine.
type Sink interface {
	// Apply gets each page that was read.
	Apply(now clock.Milli, p Page)
	// StoreLost and Regained tell that no source, or one again, has fresh news.
	StoreLost(now clock.Milli)
	StoreRecovered(now clock.Milli)
	// Pending asks for turns while a read goes on, and Turn is one.
	Pending() bool
	Tick(now clock.Milli)
}

// Timing of a follower, in ms.
const (
	// gather is the pause between two reads: leafs that start together write
	// one after the other, and each read of the store is billed.
	gather clock.Milli = 150
	// retryPause is the pause after a failed read.
	retryPause clock.Milli = 100
	// turnEvery is the pause between two turns of a sink that expects something.
	turnEvery clock.Milli = 100
	// lostAfter is after how long without fresh news the sink is told.
	lostAfter clock.Milli = 1500
	// briefWait asks the store for what it has now.
	briefWait clock.Milli = 1
	// slack is what a page may be older than the longest wait of a reader.
	slack clock.Milli = 500
)

// Follower keeps a mirror up to date. The exported fields are set before Start.
type Follower struct {
	Self  Peer
	Store Source
	// PollTimeout is how long a read of the store waits for a change. Twice as much
	// may pass until a host notices that the one it follows is cut off.
	PollTimeout clock.Milli
	// DiscoveryTimeout is how long the first read waits at most for other hosts to be known,
	// and PeerSettle how long it waits for more of them. Hosts that start together
	// would otherwise all read the store.
	DiscoveryTimeout, DiscoverySettle clock.Milli
	Engine                            *fetch.Engine
	Clock                             clock.Clock
	Log                               zerolog.Logger
	Sink                              Sink

	mirror     Mirror
	mu         sync.Mutex
	choose     chooser
	source     string
	reading    Source
	after      int64
	freshAt    clock.Milli
	lost       bool
	peersKnown chan struct{}
	stop       chan struct{}
	done       sync.WaitGroup
}

// Mirror is what this host has, for others.
func (f *Follower) Mirror() *Mirror { return &f.mirror }

// Start begins to read.
func (f *Follower) Start() {
	f.stop = make(chan struct{})
	f.mu.Lock()
	f.signalPeers()
	f.mu.Unlock()
	f.choose.self = f.Self
	f.freshAt = f.Clock.Now()
	f.source = "none"
	f.done.Go(f.run)
}

// SetPeers replaces the other hosts.
func (f *Follower) SetPeers(list []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choose.peers = list
	f.signalPeers()
}

// signalPeers makes the channel that is closed once other hosts are known, and closes
// it when they are.
func (f *Follower) signalPeers() {
	if f.peersKnown == nil {
		f.peersKnown = make(chan struct{})
	}
	select {
	case <-f.peersKnown:
	default:
		if len(f.choose.peers) > 0 {
			close(f.peersKnown)
		}
	}
}

// waitForPeers waits until other hosts are known.
func (f *Follower) waitForPeers() {
	select {
	case <-f.stop:
		return
	case <-time.After(f.DiscoveryTimeout.Duration()):
		return
	case <-f.peersKnown:
	}
	select {
	case <-f.stop:
	case <-time.After(min(f.DiscoverySettle, f.DiscoveryTimeout).Duration()):
	}
}

// Close ends the reading and waits.
func (f *Follower) Close() error {
	close(f.stop)
	f.done.Wait()
	f.Store.Disconnect()
	if f.reading != nil {
		f.reading.Disconnect()
	}
	return nil
}

func (f *Follower) run() {
	f.waitForPeers()
	for {
		pause := gather
		if err := f.step(); err != nil {
			pause = retryPause
		}
		select {
		case <-f.stop:
			return
		case <-time.After(pause.Duration()):
		}
	}
}

// step makes one read from the best source.
func (f *Follower) step() error {
	f.pick()
	page, err := f.read()
	now := f.Clock.Now()
	if err == nil && page.Age > f.PollTimeout+slack {
		f.takeOld(now, page)
		err = errors.Wrapf(errStale, "%d ms", page.Age)
	}
	if errors.Is(err, ErrCompacted) {
		f.Log.Info().Str("source", f.name()).Int64("revision", f.after).Msg("history-gone")
		f.after = 0
		return nil
	}
	if err != nil {
		f.failed(now, err)
		return err
	}
	f.took(now, page)
	return nil
}

// read makes one read. The sink gets its turns meanwhile: what it expects falls
// due by the clock. Left to the end of a read, an entry that was to be taken as
// gone was kept for another second by a source that had just fallen silent.
func (f *Follower) read() (Page, error) {
	wait := f.wait()
	if !f.Sink.Pending() {
		return f.reading.Read(f.after, wait)
	}
	type result struct {
		page Page
		err  error
	}
	done := make(chan result, 1)
	go func() {
		page, err := f.reading.Read(f.after, wait)
		done <- result{page, err}
	}()
	turns := time.NewTicker(turnEvery.Duration())
	defer turns.Stop()
	for {
		select {
		case r := <-done:
			return r.page, r.err
		case <-turns.C:
			f.Sink.Tick(f.Clock.Now())
		}
	}
}

// wait is how long the next read waits for a change. The first read of the store
// after its news have become old does not: others wait for the answer.
func (f *Follower) wait() clock.Milli {
	if f.source == theStore && f.Clock.Now()-f.freshAt > f.PollTimeout {
		return briefWait
	}
	return f.PollTimeout
}

// takeOld takes what is new here from a host that has itself not heard from the
// store of late. A host that starts while the store is down would otherwise turn
// its callers away until the store is back, for want of any routes. The news
// stay old: the host goes on looking for fresher ones, and tells their age to
// those that follow it.
func (f *Follower) takeOld(now clock.Milli, page Page) {
	if page.Revision <= f.after {
		return
	}
	f.Log.Warn().Str("source", f.name()).Int64("revision", page.Revision).Int64("former", f.after).
		Int64("age-ms", int64(page.Age)).Msg("old-news-taken")
	f.after = page.Revision
	f.mirror.Apply(now, page)
	f.Sink.Apply(now, page)
}

// pick takes the best source; a change of source is logged.
func (f *Follower) pick() {
	f.mu.Lock()
	best := f.choose.next(f.Clock.Now())
	f.mu.Unlock()
	if best == f.source {
		return
	}
	if f.reading != nil {
		f.reading.Disconnect()
	}
	f.Log.Info().Str("source", sourceName(best)).Str("former", sourceName(f.source)).Msg("source-chosen")
	f.source = best
	f.reading = f.Store
	if best != theStore {
		f.reading = &peerSource{line: fetch.Client{Engine: f.Engine, Address: best}}
	}
}

func (f *Follower) name() string { return sourceName(f.source) }

func sourceName(source string) string {
	if source == theStore {
		return "store"
	}
	return source
}

func (f *Follower) failed(now clock.Milli, err error) {
	f.mu.Lock()
	f.choose.failed(now, f.source)
	f.mu.Unlock()
	f.Log.Warn().Err(err).Str("source", f.name()).Int64("revision", f.after).
		Int64("age-ms", int64(now-f.freshAt)).Msg("source-failed")
	if !f.lost && now-f.freshAt > lostAfter {
		f.lost = true
		f.Sink.StoreLost(now)
	}
}

func (f *Follower) took(now clock.Milli, page Page) {
	f.mu.Lock()
	f.choose.worked(f.source)
	f.mu.Unlock()
	if f.lost || now-f.freshAt > lostAfter+f.PollTimeout {
		f.Log.Info().Str("source", f.name()).Int64("away-ms", int64(now-f.freshAt)).Msg("store-regained")
		f.Sink.StoreLost(now)
		f.Sink.StoreRecovered(now)
		f.lost = false
	}
	f.freshAt = max(f.freshAt, now-page.Age)
	if page.Whole {
		f.Log.Info().Str("source", f.name()).Int64("revision", page.Revision).Int("items", len(page.Items)).Msg("listed")
	}
	if page.Whole && page.Revision < f.after {
		return // an older listing than what is known
	}
	f.after = max(f.after, page.Revision)
	f.mirror.Apply(now, page)
	f.Sink.Apply(now, page)
}
