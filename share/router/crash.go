package router

import (
	"fmt"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/deny"
)

// CrashReports are crash reports received from other hosts.
type CrashReports struct {
	List []crash.Report
	// From is the host that has sent them in answer to this host's digest; empty for others.
	From string
}

// CrashSync asks for the crash reports that another host lacks, by its digest; see crash.Digest.
type CrashSync struct {
	From   string
	Digest []uint32
	// Limit is the maximum number of reports in the answer.
	Limit int
}

// SendCrashReports sends crash reports that are new to this host to other hosts. From is that of
// CrashReports.
type SendCrashReports struct {
	List []crash.Report
	From string
}

// AnswerCrashSync answers a CrashSync.
type AnswerCrashSync struct {
	To   string
	List []crash.Report
}

// SetCrashDigest replaces the digest of the crash reports that this host sends to other hosts.
type SetCrashDigest struct{ Digest crash.Digest }

func (CrashReports) event()      {}
func (CrashSync) event()         {}
func (SendCrashReports) action() {}
func (AnswerCrashSync) action()  {}
func (SetCrashDigest) action()   {}

// connCheckInterval is the least time between two connection checks of one leaf:
// where many replies are lost, one new connection shows as much as many.
const connCheckInterval clock.Milli = 500

// fingerprint identifies requests with the same method, host, target and body.
func fingerprint(r *call.Request) uint64 {
	return deny.Fingerprint(r.Method+" "+r.Host+r.Target, string(r.Body))
}

// addCrashReports adds other hosts' crash reports and forwards what was new.
func (e *Engine) addCrashReports(now clock.Milli, s CrashReports) {
	source := "reported by another host"
	if s.From != "" {
		source = "learned from " + s.From
	}
	var added []crash.Report
	var harmful, cleared []uint64
	for _, r := range s.List {
		wasBlocked := e.crashes.Blocked(r.Fingerprint)
		report, isNew := e.crashes.Add(now, r)
		switch blocked := e.crashes.Blocked(r.Fingerprint); {
		case blocked && !wasBlocked:
			harmful = append(harmful, r.Fingerprint)
		case wasBlocked && !blocked:
			cleared = append(cleared, r.Fingerprint)
		}
		if isNew {
			added = append(added, report)
		}
	}
	e.logRequests(LogHarmful, harmful, source)
	e.logRequests(LogCleared, cleared, source)
	if len(added) > 0 {
		e.emit(SendCrashReports{List: added, From: s.From})
	}
}

// answerCrashSync answers another host's digest if its crash reports differ.
func (e *Engine) answerCrashSync(now clock.Milli, s CrashSync) {
	if list := e.crashes.Diff(now, s.Digest, s.Limit); len(list) > 0 {
		e.emit(AnswerCrashSync{To: s.From, List: list})
	}
}

// shareCrashDigest passes the digest of the crash reports on if it has changed.
func (e *Engine) shareCrashDigest() {
	if digest := e.crashes.Digest(); digest != e.crashDigest {
		e.crashDigest = digest
		e.emit(SetCrashDigest{Digest: digest})
	}
}

// maxRequestsLogged is the maximum number of requests named in a log line.
const maxRequestsLogged = 4

// logRequests logs in one record that requests are refused from now on, or no longer.
func (e *Engine) logRequests(kind LogKind, fingerprints []uint64, source string) {
	if len(fingerprints) == 0 {
		return
	}
	cause := source + ": request"
	for _, f := range fingerprints[:min(len(fingerprints), maxRequestsLogged)] {
		cause += fmt.Sprintf(" %016x", f)
	}
	e.emit(LogRecord{Kind: kind, Total: len(fingerprints), Cause: cause})
}

// recordAnswer records that a leaf has answered a request, and tells other hosts if that voids
// crash reports.
func (e *Engine) recordAnswer(now clock.Milli, fingerprint uint64) {
	wasBlocked := e.crashes.Blocked(fingerprint)
	r, isNew := e.crashes.RecordAnswer(now, fingerprint)
	if !isNew {
		return
	}
	if wasBlocked {
		e.logRequests(LogCleared, []uint64{fingerprint}, "answered here")
	}
	e.emit(SendCrashReports{List: []crash.Report{r}})
}

// checkConn checks whether a leaf crashed during the call that just broke, at most once
// per connCheckInterval. The next request to the leaf would show that too, but a failed
// leaf is avoided, and a request that is sent only now and then would crash many leaves
// before three of the crashes were detected in time.
func (e *Engine) checkConn(now clock.Milli, f *leaf) {
	if f.removed || now < f.connCheckAt {
		return
	}
	f.connCheckAt = now + connCheckInterval
	e.emit(CheckConn{Leaf: f.ID, Address: f.Address})
}

// handleConnRefused records that no process listens at a leaf's address: the leaf becomes
// unhealthy, and the requests that it was running are reported.
func (e *Engine) handleConnRefused(now clock.Milli, a ConnRefused) {
	f := e.leaves[a.Leaf]
	if f == nil {
		return
	}
	e.reportCrash(now, f)
	e.recordFailedCall(now, f, unhealthyAtOnce, "connection refused", 0) // 0: there was no call
}

// reportCrash sends crash reports on the requests that a leaf is taken to have been running
// when it went down: those whose calls to it have just broken. There may be none.
func (e *Engine) reportCrash(now clock.Milli, f *leaf) {
	list := e.crashes.RecordDown(now, f.ID)
	if len(list) == 0 {
		return
	}
	e.emit(LogRecord{Kind: LogCrash, Leaf: f.ID, Service: f.Service, Total: len(list), Cause: "leaf crashed with requests in flight"})
	var harmful []uint64
	for _, r := range list {
		if e.crashes.Leaves(r.Fingerprint) == crash.BlockThreshold {
			harmful = append(harmful, r.Fingerprint)
		}
	}
	e.logRequests(LogHarmful, harmful, "seen here")
	e.emit(SendCrashReports{List: list})
}
