// Package mirror keeps a copy of the platform's store on every host while only a
// few of them read the store. A host that reads it serves its copy to the other
// hosts of its region; a host that gets no fresh data from there reads the store
// itself. Reads of the store are billed and limited for all hosts together, so
// they must not grow with the number of hosts. No host may miss a change because
// the host it reads from is dead, frozen or unreachable.
package mirror

import (
	"sync"

	"dandelionstile/share/clock"
	"dandelionstile/share/fetch"
)

// Item is one key and its value; a deleted item has no value.
type Item struct {
	Key     string
	Value   []byte
	Deleted bool
}

// size returns the memory that an item takes, in bytes.
func (i *Item) size() int { return len(i.Key) + len(i.Value) + itemCost }

// Page is the result of one read.
type Page struct {
	Items []Item
	// Revision is where the next read continues.
	Revision int64
	// Whole pages hold all items; other pages hold changes only.
	Whole bool
	// Age is the time since the store was last reached.
	Age clock.Milli
	// Steady is how long the host that serves the page has had a fresh copy, without a
	// loss of the store; 0 for pages of the store itself.
	Steady clock.Milli
	// Regained is the time since that host's last loss of the store ended; 0 if it had none.
	// Steady doesn't tell, since it is short after a start as well.
	Regained clock.Milli
}

// hasChanges reports whether the page tells its reader anything but its age.
func (p *Page) hasChanges() bool { return p.Whole || len(p.Items) > 0 }

const (
	// maxHistory is how many changes are kept for other hosts; a host that is further
	// behind gets a full page.
	maxHistory = 4000
	// maxHistoryBytes bounds the size of these changes. A value that is written again and again
	// must not fill the memory, nor a page beyond what its reader takes in one reply.
	maxHistoryBytes = fetch.MaxReplyBytes * 3 / 4
)

// Mirror is one host's copy of the store. The zero value is empty. It is safe for
// concurrent use.
type Mirror struct {
	mu           sync.Mutex
	items        map[string][]byte
	history      []change
	historyBytes int
	historyStart int64 // changes after this revision are in history
	revision     int64
	asOf         clock.Milli   // when the store was last reached
	steadySince  clock.Milli   // when the first page was read, or the store's last loss ended
	regainedAt   clock.Milli   // when the store's last loss ended; 0 if there was none
	updated      chan struct{} // closed by the next page; nil if nobody waits

	cacheMu sync.Mutex
	cached  cachedPage
}

// change is a change of one item and the revision of its page.
type change struct {
	revision int64
	item     Item
}

// Apply applies a page that was read at the given time. A full page replaces all items
// and the history; a page without items only advances the revision. Either may also advance
// the time at which the store was last reached.
func (m *Mirror) Apply(now clock.Milli, p Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.notify()
	m.asOf = max(m.asOf, now-p.Age)
	if m.steadySince == 0 {
		m.steadySince = now
	}
	if p.Whole {
		m.replace(p)
		return
	}
	if len(p.Items) == 0 {
		m.revision = max(m.revision, p.Revision)
		return
	}
	for _, i := range p.Items {
		m.set(i)
		m.history = append(m.history, change{p.Revision, i})
		m.historyBytes += i.size()
	}
	m.trimHistory()
	m.revision = max(m.revision, p.Revision)
}

// trimHistory drops the oldest changes beyond maxHistory and maxHistoryBytes.
func (m *Mirror) trimHistory() {
	excess := 0
	for len(m.history)-excess > maxHistory || m.historyBytes > maxHistoryBytes {
		m.historyBytes -= m.history[excess].item.size()
		excess++
	}
	if excess > 0 {
		m.historyStart = m.history[excess-1].revision
		m.history = append([]change(nil), m.history[excess:]...)
	}
}

// setSteadySince sets the time since which the copy has been fresh.
func (m *Mirror) setSteadySince(t clock.Milli) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steadySince = t
}

// setRegained sets the time at which a loss of the store ended.
func (m *Mirror) setRegained(t clock.Milli) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steadySince, m.regainedAt = t, t
}

// replace replaces all items by those of a full page.
func (m *Mirror) replace(p Page) {
	m.items = make(map[string][]byte, len(p.Items))
	for _, i := range p.Items {
		m.set(i)
	}
	m.history, m.historyBytes = nil, 0
	m.historyStart, m.revision = p.Revision, p.Revision
}

func (m *Mirror) set(i Item) {
	if m.items == nil {
		m.items = map[string][]byte{}
	}
	if i.Deleted {
		delete(m.items, i.Key)
		return
	}
	m.items[i.Key] = i.Value
}

// notify closes the channel on which readers wait for a page.
func (m *Mirror) notify() {
	if m.updated != nil {
		close(m.updated)
		m.updated = nil
	}
}

// Since returns the changes after a revision, or a full page if the history no longer
// has them all, and a channel that is closed when the next page is applied. It reports false
// before the first page.
func (m *Mirror) Since(now clock.Milli, after int64) (Page, <-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.updated == nil {
		m.updated = make(chan struct{})
	}
	if m.revision == 0 {
		return Page{}, m.updated, false
	}
	p := Page{Revision: m.revision, Age: now - m.asOf, Steady: now - m.steadySince}
	if m.regainedAt != 0 {
		p.Regained = max(1, now-m.regainedAt)
	}
	if after < m.historyStart {
		p.Whole = true
		for key, value := range m.items {
			p.Items = append(p.Items, Item{Key: key, Value: value})
		}
		return p, m.updated, true
	}
	for _, c := range m.history {
		if c.revision > after {
			p.Items = append(p.Items, c.item)
		}
	}
	return p, m.updated, true
}
