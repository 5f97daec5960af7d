package mirror

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"dandelionstile/share/clock"
	"dandelionstile/share/fetch"
)

// ErrCompacted reports that the changes since a revision are no longer available, so
// that a full page must be read.
var ErrCompacted = errors.New("history is no longer available")

// errStale reports a page from a host that has not recently reached the store.
var errStale = errors.New("page from the host is too old")

// Source is a source of pages. Read waits up to the given time for changes after a
// revision; it returns a full page at once if the revision is 0, and ErrCompacted if the
// source no longer has the changes.
type Source interface {
	Read(after int64, wait clock.Milli) (Page, error)
	// Disconnect closes the source's connection; the next read opens a new one.
	Disconnect()
}

// Sink receives the pages that were read. Its methods are called from one goroutine.
type Sink interface {
	// Apply receives each page that was read, except full pages that are older than the
	// data that it already has, and stale pages without newer data.
	Apply(now clock.Milli, p Page)
	// StoreLost reports that the store cannot be reached, possibly more than once, and
	// StoreRecovered that it can again. Entries may have lapsed meanwhile.
	StoreLost(now clock.Milli)
	StoreRecovered(now clock.Milli)
	// StoreSteady withdraws StoreLost: another host has read the store all the while.
	StoreSteady(now clock.Milli)
	// Pending reports whether the sink needs calls of Tick during a read.
	Pending() bool
	Tick(now clock.Milli)
}

// Timing of a follower.
const (
	// readInterval is the interval between two reads. Leaves that start together
	// write one after the other, and each read of the store is billed.
	readInterval clock.Milli = 150
	// retryInterval is the interval after a failed read that followed another one.
	retryInterval clock.Milli = 100
	// tickInterval is the interval between ticks of a pending sink.
	tickInterval clock.Milli = 100
	// lostAfter is the time without fresh data after which the store counts as lost, if
	// it did not answer this host in that time, or this host stood still.
	lostAfter clock.Milli = 1500
	// immediateWait requests the store's current state without waiting for a change.
	immediateWait clock.Milli = 1
	// refreshWait is how long a host that has lost its source lets another host look
	// for fresh data before it tries the next source.
	refreshWait clock.Milli = 250
	// ageSlack is how much older than PollTimeout, the wait of the other host's own
	// read, a page may be before it counts as stale.
	ageSlack clock.Milli = 500
	// slowReply is how much longer than its wait a read of the store may take, and how
	// much longer than readInterval a pause between two reads. If it takes longer, the
	// store did not answer, or this host stood still while the reply was waiting.
	slowReply clock.Milli = 500
)

// Follower keeps a mirror up to date. Exported fields are set before Start.
type Follower struct {
	Self  Peer
	Store Source
	// PollTimeout is how long a read of the store waits for a change. A read of
	// another host waits as long, but at most maxPeerWait, and fails peerTimeout later.
	PollTimeout clock.Milli
	// DiscoveryTimeout bounds the wait for other hosts before the first read, and
	// DiscoverySettle is how long the follower then waits for more of them. Hosts
	// that start together would otherwise all read the store.
	DiscoveryTimeout, DiscoverySettle clock.Milli
	Engine                            *fetch.Engine
	Clock                             clock.Clock
	Log                               zerolog.Logger
	Sink                              Sink

	// connect returns a client of another host; Start sets it to one of Engine.
	connect func(address string) client
	mirror  Mirror
	mu      sync.Mutex // guards chooser, whose self is set before run starts, and peersKnown
	chooser chooser
	// source is the name of the source in use, and current the source itself.
	source  string
	current Source
	// after is the revision up to which the data was read, and relist is set while the
	// changes since then are not available, so that the next read requests a full page.
	after  int64
	relist bool
	// freshAt is when the store was in the state that was last read.
	freshAt clock.Milli
	// doubtedAt is when the store last did not answer a read of this host, or this host
	// stood still; 0 if data of a later time has been read since.
	doubtedAt clock.Milli
	// lost is set while the sink counts the store as lost.
	lost bool
	// searching is set after a read that failed or brought only stale data.
	searching bool
	// steppedAt is when the last read ended.
	steppedAt clock.Milli
	// peersKnown is closed once other hosts are known.
	peersKnown chan struct{}
	stop       chan struct{}
	done       sync.WaitGroup
}

// Mirror returns this host's copy, for other hosts to read.
func (f *Follower) Mirror() *Mirror { return &f.mirror }

// Start starts reading in the background.
func (f *Follower) Start() {
	f.stop = make(chan struct{})
	if f.connect == nil {
		f.connect = func(address string) client { return &fetch.Client{Engine: f.Engine, Address: address} }
	}
	f.mu.Lock()
	f.signalPeersKnown()
	f.mu.Unlock()
	f.chooser.self = f.Self
	f.source = noSource
	f.done.Go(f.run)
}

// SetPeers replaces the list of other hosts.
func (f *Follower) SetPeers(list []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.peers = list
	f.signalPeersKnown()
}

// signalPeersKnown closes peersKnown if other hosts are known. It creates the channel
// on its first call. The caller holds mu.
func (f *Follower) signalPeersKnown() {
	if f.peersKnown == nil {
		f.peersKnown = make(chan struct{})
	}
	select {
	case <-f.peersKnown:
	default:
		if len(f.chooser.peers) > 0 {
			close(f.peersKnown)
		}
	}
}

// waitForPeers waits until other hosts are known and DiscoverySettle has passed, or
// until DiscoveryTimeout has.
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

// Close stops reading, waits for the read in progress and closes the connections. A read ends
// at once if its engine was closed before.
func (f *Follower) Close() error {
	close(f.stop)
	f.done.Wait()
	f.Store.Disconnect()
	if f.current != nil {
		f.current.Disconnect()
	}
	return nil
}

// run makes reads until Close.
func (f *Follower) run() {
	f.waitForPeers()
	f.freshAt = f.Clock.Now()
	f.steppedAt = f.freshAt
	for {
		searching := f.searching
		err := f.step()
		f.searching = err != nil
		if errors.Is(err, fetch.ErrClosed) {
			return
		}
		select {
		case <-f.stop:
			return
		case <-time.After(f.pause(searching).Duration()):
		}
	}
}

// pause returns the time until the next read. After the first failure, and until the store has
// been asked, there is none, since another source may be well; and another host is read again no
// later than the data becomes stale.
func (f *Follower) pause(wasSearching bool) clock.Milli {
	switch {
	case f.searching && wasSearching && !f.storeIsDue():
		return retryInterval
	case f.searching:
		return 0
	case f.source == storeSource:
		return readInterval
	}
	return min(readInterval, max(0, f.freshAt+f.maxAge()-f.Clock.Now()))
}

func (f *Follower) storeIsDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.storeIsDue(f.Clock.Now())
}

// step makes one read from the preferred source and applies its result. It returns an
// error if the source failed or has only stale data. After ErrCompacted it returns nil, and
// the next read requests a full page.
func (f *Follower) step() error {
	f.selectSource()
	started, wait := f.Clock.Now(), f.readWait()
	page, err := f.read(wait)
	if errors.Is(err, fetch.ErrClosed) {
		return err // the process ends, which says nothing about the source
	}
	now := f.Clock.Now()
	overdue := now - started - wait
	switch {
	case overdue > f.replyLimit(), err != nil && f.source == storeSource && !errors.Is(err, ErrCompacted):
		f.doubtedAt = now
	case started-f.steppedAt > readInterval+slowReply:
		f.doubtedAt = started
	}
	f.steppedAt = now
	if errors.Is(err, ErrCompacted) {
		f.Log.Info().Str("source", f.sourceLabel()).Int64("revision", f.after).Msg("history-gone")
		f.relist = true
		return nil
	}
	if err != nil {
		f.handleFailure(now, err)
		return err
	}
	page.Age = f.ageOf(now, page, overdue)
	if f.source != storeSource && page.Age > f.maxAge() {
		f.applyStale(now, page)
		err := errors.Wrapf(errStale, "%d ms", page.Age)
		f.handleFailure(now, err)
		return err
	}
	f.handlePage(now, page)
	return nil
}

// replyLimit is how much longer than its wait a read may take without any doubt.
func (f *Follower) replyLimit() clock.Milli {
	if f.source == storeSource {
		return slowReply
	}
	return peerTimeout + slowReply // a frozen host is no reason to doubt the store
}

// maxAge is the age from which on a page is stale.
func (f *Follower) maxAge() clock.Milli { return f.PollTimeout + ageSlack }

// ageOf returns the age of a page that was read so much later than its wait. A reply that is
// overdue may have been waiting for this host, which stood still; the many requests of a full
// listing take their time. A host that knows less than this one has not reached the store since,
// whatever age it reports: its clock may have stood still with it.
func (f *Follower) ageOf(now clock.Milli, page Page, overdue clock.Milli) clock.Milli {
	age := page.Age
	if overdue > f.replyLimit() && !page.Whole {
		age += overdue
	}
	if page.Revision < f.after {
		age = max(age, now-f.freshAt)
	}
	return age
}

// read makes one read. If the sink has pending entries, it gets ticks meanwhile, since
// the entries are due by the clock. When they waited for the end of the read, a source
// that had just stopped replying delayed the removal of an entry by a second.
func (f *Follower) read(wait clock.Milli) (Page, error) {
	after := f.after
	if f.relist {
		after = 0
	}
	if !f.Sink.Pending() {
		return f.current.Read(after, wait)
	}
	type result struct {
		page Page
		err  error
	}
	done := make(chan result, 1)
	go func() {
		page, err := f.current.Read(after, wait)
		done <- result{page, err}
	}()
	ticks := time.NewTicker(tickInterval.Duration())
	defer ticks.Stop()
	for {
		select {
		case r := <-done:
			return r.page, r.err
		case <-ticks.C:
			f.Sink.Tick(f.Clock.Now())
		}
	}
}

// readWait returns how long the next read waits for a change. A read of the store does
// not wait while the data is old, since other hosts wait for the answer.
func (f *Follower) readWait() clock.Milli {
	age := f.Clock.Now() - f.freshAt
	switch {
	case f.source == storeSource && age > f.PollTimeout:
		return immediateWait
	case f.source == storeSource:
		return f.PollTimeout
	case f.searching:
		return refreshWait
	}
	return min(f.PollTimeout, maxPeerWait)
}

// applyStale applies new data from a host that has not recently reached the store, and
// ignores data that is not new. A host that starts while the store is down would
// otherwise have no routes, and reject its callers, until the store is back. The data
// still counts as old: the host continues to look for fresher data, and reports the age
// to its own readers.
func (f *Follower) applyStale(now clock.Milli, page Page) {
	if page.Revision <= f.after {
		return
	}
	f.Log.Warn().Str("source", f.sourceLabel()).Int64("revision", page.Revision).Int64("former", f.after).
		Int64("age-ms", int64(page.Age)).Msg("old-news-taken")
	f.apply(now, page)
}

// apply applies a page that is not older than this host's data.
func (f *Follower) apply(now clock.Milli, page Page) {
	f.after = max(f.after, page.Revision)
	f.relist = f.relist && !page.Whole
	f.mirror.Apply(now, page)
	f.Sink.Apply(now, page)
}

// selectSource switches to the preferred source, closes the connection to the former one
// and logs the change.
func (f *Follower) selectSource() {
	f.mu.Lock()
	best := f.chooser.next(f.Clock.Now())
	f.mu.Unlock()
	if best == f.source {
		return
	}
	if f.current != nil {
		f.current.Disconnect()
	}
	f.Log.Info().Str("source", sourceName(best)).Str("former", sourceName(f.source)).Msg("source-chosen")
	f.source = best
	f.current = f.Store
	if best != storeSource {
		f.current = &peerSource{client: f.connect(best), address: best, maxAge: f.maxAge()}
	}
}

func (f *Follower) sourceLabel() string { return sourceName(f.source) }

func sourceName(source string) string {
	if source == storeSource {
		return "store"
	}
	return source
}

// handleFailure starts the backoff of the source, and reports the loss of the store to the
// sink once no data has been fresh for lostAfter, if the store has not answered. Stale data of
// another host is no loss: that host may be cut off from the store, or stand still, while the
// store is well and its removals count.
func (f *Follower) handleFailure(now clock.Milli, err error) {
	f.mu.Lock()
	f.chooser.recordFailure(now, f.source)
	f.mu.Unlock()
	f.Log.Warn().Err(err).Str("source", f.sourceLabel()).Int64("revision", f.after).
		Int64("age-ms", int64(now-f.freshAt)).Bool("store-doubted", f.doubtedAt != 0).Msg("source-failed")
	if f.doubtedAt != 0 && now-f.freshAt > lostAfter {
		f.lose(now)
	}
}

// lose reports the loss of the store to the sink, once.
func (f *Follower) lose(now clock.Milli) {
	if f.lost {
		return
	}
	f.lost = true
	f.mirror.setSteadySince(now)
	f.Log.Warn().Int64("age-ms", int64(now-f.freshAt)).Bool("store-doubted", f.doubtedAt != 0).Msg("store-lost")
	f.Sink.StoreLost(now)
}

// handlePage ends the backoff of the source and applies its page unless it is a full one older
// than this host's data. A fresh page ends a loss of the store.
func (f *Follower) handlePage(now clock.Milli, page Page) {
	f.mu.Lock()
	f.chooser.recordSuccess(f.source)
	f.mu.Unlock()
	if page.Age <= f.maxAge() {
		f.endLoss(now, page)
	}
	f.freshAt = max(f.freshAt, now-page.Age)
	if page.Whole {
		f.Log.Info().Str("source", f.sourceLabel()).Int64("revision", page.Revision).Int("items", len(page.Items)).Msg("listed")
	}
	if page.Whole && page.Revision < f.after {
		return // older than the data of this host
	}
	f.apply(now, page)
}

// endLoss reports the end of a loss of the store to the sink when a fresh page was read. The
// loss may not have been reported: a read that waited for the store may have ended with a
// reply, a host that stood still has made no read, and one that asked other hosts first learns
// of the loss from the host that has seen it.
func (f *Follower) endLoss(now clock.Milli, page Page) {
	away := now - f.freshAt
	seenByOther := page.Regained > 0 && page.Regained <= away
	if (f.doubtedAt != 0 || seenByOther) && away > lostAfter {
		f.lose(now)
	}
	// Another host's data may be fresh enough to use and yet older than the doubt.
	if now-page.Age >= f.doubtedAt {
		f.doubtedAt = 0
	}
	if !f.lost {
		return
	}
	f.lost = false
	f.Log.Info().Str("source", f.sourceLabel()).Int64("away-ms", int64(away)).Int64("steady-ms", int64(page.Steady)).Msg("store-regained")
	if page.Steady >= away {
		f.mirror.setSteadySince(now - page.Steady)
		f.Sink.StoreSteady(now)
		return
	}
	f.mirror.setRegained(now)
	f.Sink.StoreRecovered(now)
}
