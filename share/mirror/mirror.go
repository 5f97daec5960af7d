// Package mirror keeps what the platform's store publishes on every host while
// only a few of them read the store. A host that reads it serves what it has to
// the others of its region; whoever gets nothing fresh from there reads the
// store itself. Reads of the store are billed and limited for all hosts
// together, so they must not grow with the number of hosts; and no host may
// miss a change because another one that it follows is dead, frozen or cut off.
package mirror

import (
	"sync"

	"dandelionstile/share/clock"
)

// Item is one key and its value; a deleted one has none.
type Item struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Page is what one read brought.
type Page struct {
	Items []Item
	// Revision is what to continue from.
	Revision int64
	// Whole pages hold all there is; the others hold changes only.
	Whole bool
	// Age is how long ago the store itself was last heard from.
	Age clock.Milli
}

// history is how many changes are kept for hosts that follow; one that is
// further behind gets a whole page.
const history = 4000

// Mirror is one host's copy. The zero value is empty. It is safe for use by
// several goroutines.
type Mirror struct {
	mu       sync.Mutex
	items    map[string][]byte
	log      []logged
	first    int64 // changes after this revision are in the log
	revision int64
	asOf     clock.Milli
	changed  chan struct{}

	packing sync.Mutex
	kept    keptPage
}

type logged struct {
	revision int64
	item     Item
}

// Apply takes a page that was read at a time.
func (m *Mirror) Apply(now clock.Milli, p Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asOf = max(m.asOf, now-p.Age)
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
		m.log = append(m.log, logged{p.Revision, i})
	}
	if over := len(m.log) - history; over > 0 {
		m.first = m.log[over-1].revision
		m.log = append([]logged(nil), m.log[over:]...)
	}
	m.revision = max(m.revision, p.Revision)
	m.wake()
}

func (m *Mirror) replace(p Page) {
	m.items = make(map[string][]byte, len(p.Items))
	for _, i := range p.Items {
		m.set(i)
	}
	m.log = nil
	m.first, m.revision = p.Revision, p.Revision
	m.wake()
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

func (m *Mirror) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Since returns what is new after a revision, and a channel that is closed at
// the next change. It is false while nothing was ever read.
func (m *Mirror) Since(now clock.Milli, after int64) (Page, <-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	if m.revision == 0 {
		return Page{}, m.changed, false
	}
	p := Page{Revision: m.revision, Age: now - m.asOf}
	if after < m.first {
		p.Whole = true
		for key, value := range m.items {
			p.Items = append(p.Items, Item{Key: key, Value: value})
		}
		return p, m.changed, true
	}
	for _, l := range m.log {
		if l.revision > after {
			p.Items = append(p.Items, l.item)
		}
	}
	return p, m.changed, true
}
