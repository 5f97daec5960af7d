package router

import (
	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/deny"
)

// CrashReports are what other hosts have seen.
type CrashReports struct{ List []crash.Report }

// SendCrashReports passes reports on to other hosts.
type SendCrashReports struct{ List []crash.Report }

func (CrashReports) event()      {}
func (SendCrashReports) action() {}

// connCheckPause is the least time between two connection checks of one leaf:
// where many answers are lost, one new connection tells as much as many.
const connCheckPause clock.Milli = 500

func fingerprint(r *call.Request) uint64 {
	return deny.Fingerprint(r.Method+" "+r.Host+r.Target, string(r.Body))
}

// heardOfCrashes takes what other hosts have seen, and passes on what is new here.
func (e *Engine) heardOfCrashes(now clock.Milli, s CrashReports) {
	var news []crash.Report
	for _, one := range s.List {
		if one.Age < crash.ReportTTL && !e.crashes.Proven(now, one.Fingerprint) && e.crashes.Add(now-one.Age, one.Fingerprint, one.Leaf) {
			news = append(news, one)
		}
	}
	if len(news) > 0 {
		e.do(SendCrashReports{List: news})
	}
}

// checkConn finds out whether a leaf went down with the call that just broke. The
// next request to it would show so, but a leaf that failed is avoided, and a
// request that is sent once in a while would bring down many leafs before three
// of them were seen to be gone in time.
func (e *Engine) checkConn(now clock.Milli, f *leaf) {
	if f.removed || now < f.connCheckAt {
		return
	}
	f.connCheckAt = now + connCheckPause
	e.do(CheckConn{Leaf: f.ID, Address: f.Address})
}

// absent takes word that nobody listens at a leaf's address.
func (e *Engine) absent(now clock.Milli, a ConnRefused) {
	f := e.leafs[a.Leaf]
	if f == nil {
		return
	}
	e.leafDown(now, f)
	e.callFailed(now, f, 1, "nobody listens", 0)
}

// leafDown is called when nobody listens at a leaf's address any more.
func (e *Engine) leafDown(now clock.Milli, f *leaf) {
	list := e.crashes.LeafDown(now, f.ID)
	if len(list) == 0 {
		return
	}
	e.do(Note{Kind: NoteCrash, Leaf: f.ID, Service: f.Service, Total: len(list), Cause: "it went down with requests on it"})
	e.do(SendCrashReports{List: list})
}
