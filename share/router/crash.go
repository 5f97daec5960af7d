package router

import (
	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/deny"
)

// CrashReports are crash reports received from other hosts.
type CrashReports struct{ List []crash.Report }

// SendCrashReports sends crash reports to other hosts.
type SendCrashReports struct{ List []crash.Report }

func (CrashReports) event()      {}
func (SendCrashReports) action() {}

// connCheckPause is the least time between two connection checks of one leaf:
// where many replies are lost, one new connection shows as much as many.
const connCheckPause clock.Milli = 500

func fingerprint(r *call.Request) uint64 {
	return deny.Fingerprint(r.Method+" "+r.Host+r.Target, string(r.Body))
}

// addCrashReports adds other hosts' crash reports and forwards the new ones.
func (e *Engine) addCrashReports(now clock.Milli, s CrashReports) {
	var added []crash.Report
	for _, r := range s.List {
		if r.Age < crash.ReportTTL && !e.crashes.Proven(now, r.Fingerprint) && e.crashes.Add(now-r.Age, r.Fingerprint, r.Leaf) {
			added = append(added, r)
		}
	}
	if len(added) > 0 {
		e.do(SendCrashReports{List: added})
	}
}

// checkConn checks whether a leaf crashed during the call that just broke. The next
// request to it would show that too, but a failed leaf is avoided, and a request that
// is sent only now and then would crash many leaves before three of the crashes were
// detected in time.
func (e *Engine) checkConn(now clock.Milli, f *leaf) {
	if f.removed || now < f.connCheckAt {
		return
	}
	f.connCheckAt = now + connCheckPause
	e.do(CheckConn{Leaf: f.ID, Address: f.Address})
}

// connRefused handles the report that no process listens at a leaf's address.
func (e *Engine) connRefused(now clock.Milli, a ConnRefused) {
	f := e.leaves[a.Leaf]
	if f == nil {
		return
	}
	e.leafDown(now, f)
	e.callFailed(now, f, 1, "nobody listens", 0)
}

// leafDown attributes a leaf's crash to the requests that it was running.
func (e *Engine) leafDown(now clock.Milli, f *leaf) {
	list := e.crashes.LeafDown(now, f.ID)
	if len(list) == 0 {
		return
	}
	e.do(Note{Kind: NoteCrash, Leaf: f.ID, Service: f.Service, Total: len(list), Cause: "it went down with requests on it"})
	e.do(SendCrashReports{List: list})
}
