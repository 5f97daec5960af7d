package router

import "dandelionstile/share/clock"

// door bounds how many queries over shards this host has under way for its
// callers while answers come too late. Leafs that are asked for more than they
// can do serve nobody in time, for each of them works on a part of every query;
// to turn some queries away at once is what lets the others be in time. It goes
// by outcomes and not by queues, since a host sees only its own part of the
// leafs' load. Callers that come back are let in: they would not come a third
// time.
//
// Replayed, 1.7 times the usual load while a leaf in seven takes five times as
// long: credit 0.17 without it, 0.33 with it (TestCrowdMeetsSlowLeafs). On days
// where single shards are late for other reasons it must stay open; that is what
// doorLate is for.
type door struct {
	// limit is how many may be under way; 0 for no limit.
	limit float64
	open  int
	// late is the smoothed share of queries that were not answered in time.
	late float64
	// refused is how many queries in a row were turned away.
	refused int
	// cutAt is when the limit was last lowered.
	cutAt clock.Milli
}

const (
	// doorGain smooths the share of late answers over some twelve: a second's
	// worth at an ordinary host.
	doorGain = 1.0 / 12
	// doorLate is the share of late answers from which on queries are turned
	// away. With none, single slow shards closed the door, and days without
	// overload lost 0.03 of their worth; 0.3 and 0.7 replay at 0.38 and 0.27.
	doorLate = 0.5
	// doorCut is the factor by which the limit falls, at most once in
	// doorPause: about the time that a query takes, so that the effect of one
	// cut shows before the next.
	doorCut               = 0.6
	doorPause clock.Milli = 150
	// doorGrow is what each answer in time adds: the limit doubles in some three
	// rounds of queries.
	doorGrow = 0.35
	// doorRun is how many queries in a row are turned away at most.
	doorRun = 4
	// doorLeast lets enough queries in to see that the load has gone.
	doorLeast = 2.0
	// doorSlack is by how much the limit must exceed what is under way to be
	// dropped: the load has gone.
	doorSlack = 4.0
)

// admits tells whether one more query goes under way. Of those beyond the limit
// a part is let in all the same: leafs may be late for another reason than their
// load, and then to turn callers away helps nobody.
func (d *door) admits() bool {
	if !d.narrow() || float64(d.open) < d.limit {
		d.refused = 0
		return true
	}
	if d.refused++; d.refused > doorRun {
		d.refused = 0
		return true
	}
	return false
}

// narrow tells whether queries are being turned away.
func (d *door) narrow() bool { return d.limit > 0 }

// missed records a query that was not answered in time.
func (d *door) missed(now clock.Milli) {
	d.late += (1 - d.late) * doorGain
	if d.late < doorLate || now < d.cutAt+doorPause {
		return
	}
	d.cutAt = now
	under := float64(d.open)
	if d.narrow() {
		under = min(under, d.limit)
	}
	d.limit = max(doorLeast, under*doorCut)
}

// met records one that was.
func (d *door) met() {
	d.late -= d.late * doorGain
	if !d.narrow() {
		return
	}
	d.limit += doorGrow
	if d.limit > float64(d.open)*doorSlack && d.late < doorLate/2 {
		d.limit = 0
	}
}
