// Package crash detects requests that crash the leaves that run them.
//
// Some requests crash every leaf that starts to run them, and their callers retry
// them at any host. Without a memory that hosts share, such a request takes down one
// leaf after the other for as long as its caller retries. A host whose leaf goes down
// reports the requests that were running there to the other hosts; a request that was
// running on several leaves as they went down is rejected everywhere. Its caller may send
// it again at any time, so reports don't expire. Hosts compare what they know by digests,
// so that one that was restarted, cut off or stalled gets what it lacks.
//
// A request that leaves have answered successfully in the recent past is not blamed:
// among many callers that send the same request, some have it on any leaf that dies
// of another cause, and once rejected it would never be served again. Such an answer voids
// the reports on all hosts.
package crash

import "dandelionstile/share/clock"

// Report says that a request was running on a leaf when the leaf went down or, if Answered is
// set, that a leaf has answered it. An answer voids the reports of leaves that went down before
// it or up to ProvenTTL later.
type Report struct {
	Fingerprint uint64
	// Leaf is empty if Answered is set.
	Leaf     string
	Answered bool
	// Age is the time since the leaf went down, or since the answer.
	Age clock.Milli
}

const (
	// suspectWindow is the longest time between a broken call and the detection that
	// the leaf is down for which the request is suspected: a leaf that only lost a
	// reply accepts the next connection.
	suspectWindow clock.Milli = 1500
	// BlockThreshold is the number of leaves that must have gone down with a request
	// for it to be rejected. Two may be chance where leaves die of other causes with
	// many requests on them.
	BlockThreshold = 3
	// maxReports limits the reports kept; see leastRecent.
	maxReports = 4096
	// maxAnswered limits the answers kept; the oldest is evicted.
	maxAnswered = 2048
	// ProvenTTL is the least time for which a successful answer clears a request; the
	// longest is twice that. It is several times suspectWindow, so that an answer
	// still counts when the leaf is found down, and short, so that a request that new
	// leaves cannot run is not cleared for long.
	ProvenTTL = 10 * clock.Second
	// maxProven bounds the memory for answered requests; with more per ProvenTTL each
	// is cleared for a shorter time.
	maxProven = 4096
	// maxReportsSent is the maximum number of reports sent per leaf that goes down. Other
	// hosts get the rest by comparing digests.
	maxReportsSent = 16
)

// Tracker remembers which requests were running on which leaves as they went down.
type Tracker struct {
	// broken holds the recent broken calls by leaf.
	broken map[string][]brokenCall
	// suspects holds the requests with reports by fingerprint; count is the number of
	// reports.
	suspects map[uint64]*suspect
	count    int
	// answered holds the time of the last answer that voided reports, by fingerprint.
	answered map[uint64]clock.Milli
	// digest is the digest of suspects and answered.
	digest Digest
	// nextBucket is the bucket with which the next answer to a digest begins.
	nextBucket int
	// proven holds the time of the last answer to each request since rotatedAt,
	// provenBefore that to the requests of the preceding period.
	proven, provenBefore map[uint64]clock.Milli
	rotatedAt            clock.Milli
}

// suspect is a request that was running on leaves as they went down.
type suspect struct {
	// downs holds when each leaf went down; newest is the latest of these times.
	downs  map[string]clock.Milli
	newest clock.Milli
}

// brokenCall is a call that broke while its leaf may have been running the request.
type brokenCall struct {
	fingerprint uint64
	at          clock.Milli
}

// RecordBroken records a broken call; it becomes a report if the leaf is found down within
// suspectWindow.
func (t *Tracker) RecordBroken(now clock.Milli, leaf string, fingerprint uint64) {
	if t.broken == nil {
		t.broken = map[string][]brokenCall{}
	}
	list := t.broken[leaf]
	for len(list) > 0 && now-list[0].at > suspectWindow {
		list = list[1:]
	}
	t.broken[leaf] = append(list, brokenCall{fingerprint, now})
}

// RecordDown records that a leaf is down and returns the resulting reports: one for each
// request whose call to the leaf has broken recently, at most maxReportsSent; further ones
// are stored and not returned. Known reports are not returned again, and requests that leaves
// have recently answered are not reported.
func (t *Tracker) RecordDown(now clock.Milli, leaf string) []Report {
	var list []Report
	for _, b := range t.broken[leaf] {
		if now-b.at > suspectWindow || t.Proven(now, b.fingerprint) {
			continue
		}
		if t.addDown(now, b.fingerprint, leaf) && len(list) < maxReportsSent {
			list = append(list, Report{Fingerprint: b.fingerprint, Leaf: leaf})
		}
	}
	delete(t.broken, leaf)
	return list
}

// RecordAnswer records a successful answer, which removes the reports against the request
// and protects it from new ones for a while; see ProvenTTL. If there were any, it returns the
// report that voids them on other hosts, and true.
func (t *Tracker) RecordAnswer(now clock.Milli, fingerprint uint64) (Report, bool) {
	t.rotate(now)
	if t.proven == nil {
		t.proven = map[uint64]clock.Milli{}
	}
	t.proven[fingerprint] = now
	if t.suspects[fingerprint] == nil {
		return Report{}, false
	}
	t.addAnswer(now, fingerprint)
	return Report{Fingerprint: fingerprint, Answered: true}, true
}

// Proven reports whether leaves have answered a request successfully within the last one to
// two ProvenTTL.
func (t *Tracker) Proven(now clock.Milli, fingerprint uint64) bool {
	_, ok := t.provenAt(now, fingerprint)
	return ok
}

// provenAt is Proven, with the time of the answer.
func (t *Tracker) provenAt(now clock.Milli, fingerprint uint64) (clock.Milli, bool) {
	t.rotate(now)
	if at, ok := t.proven[fingerprint]; ok {
		return at, true
	}
	at, ok := t.provenBefore[fingerprint]
	return at, ok
}

// rotate starts a new period of successful answers if the current one is over or full, and
// drops those of the period before the preceding one.
func (t *Tracker) rotate(now clock.Milli) {
	age := now - t.rotatedAt
	if age < ProvenTTL && len(t.proven) < maxProven {
		return
	}
	t.provenBefore, t.proven, t.rotatedAt = t.proven, nil, now
	if age >= 2*ProvenTTL {
		t.provenBefore = nil
	}
}

// Add applies another host's report. It returns what other hosts are to be told, and whether
// that was new here: the report or, if leaves have recently answered the request, that they
// have.
func (t *Tracker) Add(now clock.Milli, r Report) (Report, bool) {
	at := now - r.Age
	if r.Answered {
		return r, t.addAnswer(at, r.Fingerprint)
	}
	if provenAt, ok := t.provenAt(now, r.Fingerprint); ok {
		return Report{Fingerprint: r.Fingerprint, Answered: true, Age: now - provenAt}, t.addAnswer(provenAt, r.Fingerprint)
	}
	return r, t.addDown(at, r.Fingerprint, r.Leaf)
}

// addDown stores that a leaf went down with a request, unless an answer voids that, and reports
// whether it is new.
func (t *Tracker) addDown(at clock.Milli, fingerprint uint64, leaf string) bool {
	if answeredAt, ok := t.answered[fingerprint]; ok && at < answeredAt+ProvenTTL {
		return false
	}
	s := t.suspects[fingerprint]
	if s == nil {
		s = &suspect{downs: map[string]clock.Milli{}, newest: at}
		if t.suspects == nil {
			t.suspects = map[uint64]*suspect{}
		}
		t.suspects[fingerprint] = s
	}
	if _, known := s.downs[leaf]; known {
		return false
	}
	s.downs[leaf] = at
	s.newest = max(s.newest, at)
	t.count++
	t.digest.toggle(fingerprint, leaf)
	for t.count > maxReports {
		t.evict(t.leastRecent())
	}
	return t.suspects[fingerprint] == s
}

// addAnswer stores that a leaf answered a request, which voids the reports of leaves that went
// down up to ProvenTTL later. It reports whether other hosts need to know: an answer less than
// ProvenTTL after the known one may be the same, as hosts date it differently.
func (t *Tracker) addAnswer(at clock.Milli, fingerprint uint64) bool {
	known, ok := t.answered[fingerprint]
	if ok && at <= known {
		return false
	}
	if t.answered == nil {
		t.answered = map[uint64]clock.Milli{}
	}
	t.answered[fingerprint] = at
	t.voidDowns(fingerprint, at+ProvenTTL)
	if ok {
		return at >= known+ProvenTTL
	}
	t.digest.toggle(fingerprint, answeredMark)
	if len(t.answered) <= maxAnswered {
		return true
	}
	oldest := fingerprint
	for f, answeredAt := range t.answered {
		if answeredAt < t.answered[oldest] {
			oldest = f
		}
	}
	delete(t.answered, oldest)
	t.digest.toggle(oldest, answeredMark)
	return oldest != fingerprint
}

// voidDowns removes the reports on a request of leaves that went down before a time.
func (t *Tracker) voidDowns(fingerprint uint64, before clock.Milli) {
	s := t.suspects[fingerprint]
	if s == nil {
		return
	}
	for leaf, at := range s.downs {
		if at < before {
			delete(s.downs, leaf)
			t.count--
			t.digest.toggle(fingerprint, leaf)
		}
	}
	if len(s.downs) == 0 {
		delete(t.suspects, fingerprint)
	}
}

// evict removes all reports on a request.
func (t *Tracker) evict(fingerprint uint64) {
	t.voidDowns(fingerprint, t.suspects[fingerprint].newest+1)
}

// leastRecent returns the request to evict: the one whose newest report is the oldest. Blocked
// requests are evicted only if there are no others.
func (t *Tracker) leastRecent() uint64 {
	var found uint64
	var least *suspect
	for fingerprint, s := range t.suspects {
		if least == nil || least.blocked() && !s.blocked() || least.blocked() == s.blocked() && s.newest < least.newest {
			found, least = fingerprint, s
		}
	}
	return found
}

// blocked reports whether the request is rejected.
func (s *suspect) blocked() bool { return len(s.downs) >= BlockThreshold }

// Leaves returns the number of leaves that have gone down with a request.
func (t *Tracker) Leaves(fingerprint uint64) int {
	s := t.suspects[fingerprint]
	if s == nil {
		return 0
	}
	return len(s.downs)
}

// Blocked reports whether a request is rejected, because BlockThreshold leaves have gone
// down with it.
func (t *Tracker) Blocked(fingerprint uint64) bool { return t.Leaves(fingerprint) >= BlockThreshold }
