// Package poison remembers requests that brought down backend servers. A
// request that crashes every server that runs it would otherwise take down a
// fleet, one resend after the other.
package deny

import (
	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/clock"
)

// How long a fingerprint is refused, by the number of servers it brought down.
const (
	// SuspectTime follows the first crash. The server may have died for another
	// reason, so the request gets a second chance once all hosts have heard.
	SuspectTime = clock.Second
	// QuarantineTime follows the second crash, and starts anew with each resend.
	QuarantineTime = 10 * clock.Minute
)

// maxStrikes bounds the memory of a table; the entry that expires first goes.
const maxStrikes = 4096

// Fingerprint identifies a request by what a backend server would run.
func Fingerprint(service, text string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Strike is what is known of one fingerprint, as it travels between hosts.
type Strike struct {
	Fingerprint uint64
	// Count is how many servers it brought down.
	Count int
	// TimeLeft is how long it is still refused.
	TimeLeft clock.Milli
}

type entry struct {
	count int
	until clock.Milli
}

// Table holds the strikes that one process knows of. The zero value is empty.
type Table struct {
	entries map[uint64]entry
}

// Add records that a request brought down a server and returns the strike to
// tell others.
func (t *Table) Add(now clock.Milli, fingerprint uint64) Strike {
	e := t.entries[fingerprint]
	e.count++
	e.until = now + SuspectTime
	if e.count > 1 {
		e.until = now + QuarantineTime
	}
	t.put(fingerprint, e)
	return Strike{Fingerprint: fingerprint, Count: e.count, TimeLeft: e.until - now}
}

// Merge takes a strike from another host and tells whether it was news, so
// that a strike goes round once and stops.
func (t *Table) Merge(now clock.Milli, s Strike) bool {
	e := t.entries[s.Fingerprint]
	if s.Count <= e.count {
		return false
	}
	t.put(s.Fingerprint, entry{count: s.Count, until: max(e.until, now+min(s.TimeLeft, QuarantineTime))})
	return true
}

// Blocked tells whether a request is refused now, and for how long. Each resend
// of a quarantined request renews its quarantine.
func (t *Table) Blocked(now clock.Milli, fingerprint uint64) (clock.Milli, bool) {
	e, ok := t.entries[fingerprint]
	if !ok || now >= e.until {
		return 0, false
	}
	if e.count > 1 {
		e.until = now + QuarantineTime
		t.entries[fingerprint] = e
	}
	return e.until - now, true
}

// Get returns what is known of a fingerprint.
func (t *Table) Get(now clock.Milli, fingerprint uint64) Strike {
	e := t.entries[fingerprint]
	return Strike{Fingerprint: fingerprint, Count: e.count, TimeLeft: max(0, e.until-now)}
}

// HasStrikes tells whether a request has ever brought down a server that this
// table remembers. Such a request always goes out as a canary first.
func (t *Table) HasStrikes(fingerprint uint64) bool {
	_, ok := t.entries[fingerprint]
	return ok
}

// Active lists what is refused now.
func (t *Table) Active(now clock.Milli) []Strike {
	var list []Strike
	for f, e := range t.entries {
		if now < e.until {
			list = append(list, Strike{Fingerprint: f, Count: e.count, TimeLeft: e.until - now})
		}
	}
	return list
}

func (t *Table) put(fingerprint uint64, e entry) {
	if t.entries == nil {
		t.entries = map[uint64]entry{}
	}
	if _, ok := t.entries[fingerprint]; !ok && len(t.entries) >= maxStrikes {
		t.evict()
	}
	t.entries[fingerprint] = e
}

func (t *Table) evict() {
	var first uint64
	var at clock.Milli = -1
	for f, e := range t.entries {
		if at < 0 || e.until < at {
			first, at = f, e.until
		}
	}
	delete(t.entries, first)
}
