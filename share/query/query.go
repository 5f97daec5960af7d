// Package query holds the types that travel with a request: calls to leafs,
// their outcomes, and the answer with its coverage.
package query

import (
	"sort"

	"dandelionstile/share/clock"
	"dandelionstile/share/topo"
)

// Kind is the final word on a call or an update.
type Kind uint8

// The kinds. Only OK carries a result.
const (
	// OK: the leaf answered.
	OK Kind = iota + 1
	// NotRun: no byte of the request left for a leaf.
	NotRun
	// Shed: the request reached the leaf, which says that it did not run it.
	Shed
	// Unknown: the request may have run.
	Unknown
	// Died: the leaf's server went down while it had the request.
	Died
)

// String returns the kind as it is written in answers and logs.
func (k Kind) String() string {
	switch k {
	case OK:
		return "ok"
	case NotRun:
		return "not-run"
	case Shed:
		return "shed"
	case Unknown:
		return "unknown"
	case Died:
		return "died"
	}
	return "invalid"
}

// MayHaveRun tells whether the request may have run.
func (k Kind) MayHaveRun() bool { return k != NotRun && k != Shed }

// Reason says why a call or request has no result. The values appear in
// answers, logs and metrics, and are listed in docs/operate/refusals.md.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonQueueFull   Reason = "queue-full"
	ReasonDeadline    Reason = "deadline"
	ReasonDomainOut   Reason = "failure-domain-out"
	ReasonServerOut   Reason = "server-out"
	ReasonDraining    Reason = "draining"
	ReasonCold        Reason = "cold"
	ReasonNotOwner    Reason = "not-owner"
	ReasonQuarantined Reason = "quarantined"
	ReasonUnreachable Reason = "unreachable"
	ReasonSilent      Reason = "silent"
	ReasonReset       Reason = "reset"
	ReasonShed        Reason = "shed"
	ReasonSnapshot    Reason = "snapshot-not-held"
	ReasonForeign     Reason = "foreign-reply"
	ReasonNoReplica   Reason = "no-replica"
	ReasonOverload    Reason = "overload"
	ReasonNotReady    Reason = "not-ready"
	ReasonLeaving     Reason = "leaving"
	ReasonSuspended   Reason = "waking"
	ReasonCancelled   Reason = "cancelled"
	ReasonPatience    Reason = "patience"
	ReasonCrashed     Reason = "crashed-a-server"
	ReasonOwnerGone   Reason = "id-owner-gone"
	ReasonOwnerAway   Reason = "id-owner-unreachable"
	ReasonReused      Reason = "id-reused"
	ReasonLeafError   Reason = "leaf-error"
	ReasonBusy        Reason = "link-busy"
	// ReasonCallerGone ends a query whose caller has closed its connection.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonProven answers a canary that need not run: the aggregator knows
	// that a leaf survived the request.
	ReasonProven Reason = "proven"
)

// Row is one search result.
type Row struct {
	Key   string
	Score float64
	Text  string
}

// Before orders rows: best score first, then by key, so that the order is the
// same on every host.
func (r Row) Before(o Row) bool {
	if r.Score != o.Score {
		return r.Score > o.Score
	}
	return r.Key < o.Key
}

// Merge sorts rows, drops later rows with a key already seen, and keeps at most
// limit of them.
func Merge(rows []Row, limit int) []Row {
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].Before(rows[j]) })
	seen := make(map[string]struct{}, min(limit, len(rows)))
	kept := rows[:0]
	for _, r := range rows {
		if len(kept) == limit {
			break
		}
		if _, twice := seen[r.Key]; twice {
			continue
		}
		seen[r.Key] = struct{}{}
		kept = append(kept, r)
	}
	return kept
}

// Feedback is what an aggregator knows of one leaf.
type Feedback struct {
	Leaf string
	// Busy and Queued count the requests at the leaf and before it; Limit is
	// how many the aggregator sends to it at once.
	Busy   int
	Queued int
	Limit  int
	// Holds are the snapshots that the leaf has.
	Holds []topo.SnapshotID
	// Closed: the leaf takes no new work for now.
	Closed bool
	// CallTime is how long its recent calls took, in ms; 0 when not known.
	CallTime float64
}

// Outcome is the final word on one call to a leaf.
type Outcome struct {
	Call       uint64
	Kind       Kind
	Reason     Reason
	RetryAfter clock.Milli
	Rows       []Row
	// Body is the result of an update.
	Body string
	Took clock.Milli
	// Strikes counts, with kind Died, the servers that the request has brought
	// down; RetryAfter is then how long it is refused.
	Strikes int
	// Feedback is nil when the aggregator has nothing to say of the leaf.
	Feedback *Feedback
}

// Missing is a shard that an answer lacks.
type Missing struct {
	Shard  int
	Reason Reason
}

// Coverage tells how much of the pinned partition map an answer rests on.
type Coverage struct {
	Shards   int
	Answered int
	Missing  []Missing
}

// Complete tells whether every shard is in the answer.
func (c Coverage) Complete() bool { return c.Answered == c.Shards }

// Answer is what a caller gets for a query. With a Reason it is a refusal, and
// RetryAfter says when to come back.
type Answer struct {
	Pin        topo.SnapshotID
	Rows       []Row
	Coverage   Coverage
	Calls      int
	Extra      int
	Refused    Reason
	RetryAfter clock.Milli
}
