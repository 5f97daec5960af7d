// Package deny quarantines requests that crash backend servers. Without it, a
// request that crashes every server that runs it would take down a whole fleet,
// one resend after another.
package deny

import (
	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/clock"
)

// How long a request is refused, by the number of servers that it crashed.
const (
	// SuspectTime applies after the first crash. The server may have crashed for
	// another reason, so the request is retried once all hosts know of the strike.
	SuspectTime = clock.Second
	// QuarantineTime applies after the second crash, and starts again with each resend.
	QuarantineTime = 10 * clock.Minute
)

// maxStrikes bounds the size of a table; the record that expires first is evicted.
const maxStrikes = 4096

// Fingerprint identifies a request by the service and the text that a server would run.
func Fingerprint(service, text string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Strike is the record of one fingerprint, as exchanged between hosts.
type Strike struct {
	Fingerprint uint64
	// Count is how many servers the request crashed.
	Count int
	// TimeLeft is how long the request is still refused.
	TimeLeft clock.Milli
}

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
	e := t.records[fingerprint]
	e.count++
	e.until = now + SuspectTime
	if e.count > 1 {
		e.until = now + QuarantineTime
	}
	t.put(fingerprint, e)
	return Strike{Fingerprint: fingerprint, Count: e.count, TimeLeft: e.until - now}
}

// Merge merges a strike from another host and reports whether it was new. Only new
// strikes are forwarded, so that each host forwards a strike once.
func (t *Table) Merge(now clock.Milli, s Strike) bool {
	e := t.records[s.Fingerprint]
	if s.Count <= e.count {
		return false
	}
	t.put(s.Fingerprint, record{count: s.Count, until: max(e.until, now+min(s.TimeLeft, QuarantineTime))})
	return true
}

// Blocked reports whether a request is refused now, and for how long. Each resend
// of a quarantined request renews its quarantine.
func (t *Table) Blocked(now clock.Milli, fingerprint uint64) (clock.Milli, bool) {
	e, ok := t.records[fingerprint]
	if !ok || now >= e.until {
		return 0, false
	}
	if e.count > 1 {
		e.until = now + QuarantineTime
		t.records[fingerprint] = e
	}
	return e.until - now, true
}

// Get returns the record of a fingerprint.
func (t *Table) Get(now clock.Milli, fingerprint uint64) Strike {
	e := t.records[fingerprint]
	return Strike{Fingerprint: fingerprint, Count: e.count, TimeLeft: max(0, e.until-now)}
}

// HasStrikes reports whether the table has a record of the request, expired or not.
// Such a request is always sent as a canary first.
func (t *Table) HasStrikes(fingerprint uint64) bool {
	_, ok := t.records[fingerprint]
	return ok
}

// Active lists the strikes of requests that are refused now.
func (t *Table) Active(now clock.Milli) []Strike {
	var list []Strike
	for f, e := range t.records {
		if now < e.until {
			list = append(list, Strike{Fingerprint: f, Count: e.count, TimeLeft: e.until - now})
		}
	}
	return list
}

func (t *Table) put(fingerprint uint64, e record) {
	if t.records == nil {
		t.records = map[uint64]record{}
	}
	if _, ok := t.records[fingerprint]; !ok && len(t.records) >= maxStrikes {
		t.evict()
	}
	t.records[fingerprint] = e
}

func (t *Table) evict() {
	var victim uint64
	var at clock.Milli = -1
	for f, e := range t.records {
		if at < 0 || e.until < at {
			victim, at = f, e.until
		}
	}
	delete(t.records, victim)
}
