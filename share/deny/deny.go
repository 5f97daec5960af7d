// Package deny quarantines requests that crash backend servers. Without it, a
// request that crashes every server that runs it would take down a whole fleet,
// one resend after another.
package deny

import (
	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/clock"
)

// How long a request is rejected, by the number of servers that it crashed.
const (
	// SuspectDuration applies after the first crash. The server may have crashed for
	// another reason, so a second canary may run once all hosts know of the strike.
	SuspectDuration = clock.Second
	// QuarantineDuration applies after the second crash, and starts again with each resend.
	QuarantineDuration = 10 * clock.Minute
)

// maxStrikes limits the records of a table; the one that expires first is evicted.
const maxStrikes = 4096

// Fingerprint identifies a request by the service and the text that a server would run. A
// zero byte separates the two, so that moving a byte from one to the other changes it.
func Fingerprint(service, text string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Strike is what a host knows about one fingerprint, as exchanged between hosts.
type Strike struct {
	Fingerprint uint64
	// Count is how many servers the request crashed.
	Count int
	// TimeLeft is how long the request is still rejected.
	TimeLeft clock.Milli
}

// record is a Strike with the time until which the request is rejected, instead of how
// long it still is.
type record struct {
	count int
	until clock.Milli
}

// Table holds the strikes that one process knows of. The zero value is empty.
type Table struct {
	records map[uint64]record
}

// Add records that a request crashed a server and returns the strike to send to
// other hosts.
func (t *Table) Add(now clock.Milli, fingerprint uint64) Strike {
	rec := t.records[fingerprint]
	rec.count++
	rec.until = now + SuspectDuration
	if rec.count > 1 {
		rec.until = now + QuarantineDuration
	}
	t.put(fingerprint, rec)
	return Strike{Fingerprint: fingerprint, Count: rec.count, TimeLeft: rec.until - now}
}

// Merge merges a strike from another host and reports whether it was new: whether its
// count is higher than the known one. Only new strikes are forwarded, so that each host
// forwards a strike once.
func (t *Table) Merge(now clock.Milli, s Strike) bool {
	rec := t.records[s.Fingerprint]
	if s.Count <= rec.count {
		return false
	}
	t.put(s.Fingerprint, record{count: s.Count, until: max(rec.until, now+min(s.TimeLeft, QuarantineDuration))})
	return true
}

// Blocked reports whether a request is rejected now, and for how long. Each resend
// of a quarantined request renews its quarantine.
func (t *Table) Blocked(now clock.Milli, fingerprint uint64) (clock.Milli, bool) {
	rec, ok := t.records[fingerprint]
	if !ok || now >= rec.until {
		return 0, false
	}
	if rec.count > 1 {
		rec.until = now + QuarantineDuration
		t.records[fingerprint] = rec
	}
	return rec.until - now, true
}

// Get returns a fingerprint's strike, also an expired one. Its Count is 0 if there is
// none.
func (t *Table) Get(now clock.Milli, fingerprint uint64) Strike {
	rec := t.records[fingerprint]
	return Strike{Fingerprint: fingerprint, Count: rec.count, TimeLeft: max(0, rec.until-now)}
}

// HasStrikes reports whether the table has a record of the request, expired or not.
// Such a request is always sent as a canary first.
func (t *Table) HasStrikes(fingerprint uint64) bool {
	_, ok := t.records[fingerprint]
	return ok
}

// Active lists the strikes of requests that are rejected now, in no particular order.
func (t *Table) Active(now clock.Milli) []Strike {
	var list []Strike
	for f, rec := range t.records {
		if now < rec.until {
			list = append(list, Strike{Fingerprint: f, Count: rec.count, TimeLeft: rec.until - now})
		}
	}
	return list
}

// put stores a record. If the table is full, it evicts another.
func (t *Table) put(fingerprint uint64, rec record) {
	if t.records == nil {
		t.records = map[uint64]record{}
	}
	if _, ok := t.records[fingerprint]; !ok && len(t.records) >= maxStrikes {
		t.evict()
	}
	t.records[fingerprint] = rec
}

// evict removes the record that expires first, or expired longest ago.
func (t *Table) evict() {
	var victim uint64
	var earliest clock.Milli = -1 // no record seen yet
	for f, rec := range t.records {
		if earliest < 0 || rec.until < earliest {
			victim, earliest = f, rec.until
		}
	}
	delete(t.records, victim)
}
