// Package query holds the types of a request: calls to leaves, their outcomes,
// and the answer with its coverage.
package query

import (
	"sort"

	"dandelionstile/share/clock"
	"dandelionstile/share/topo"
)

// Kind classifies the result of a call or an update.
type Kind uint8

// The kinds of results. Only OK carries rows or a body.
const (
	// OK means that the leaf ran the request and returned its result.
	OK Kind = iota + 1
	// NotRun means that the request did not run: it was not sent to a leaf, or the leaf
	// drains or doesn't hold its snapshot.
	NotRun
	// Shed means that the leaf received the request and did not run it for lack of
	// capacity.
	Shed
	// Unknown means that the request may have run.
	Unknown
	// Died means that the leaf's server crashed while it had the request.
	Died
)

// String returns the kind as it appears in answers and logs.
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

// MayHaveRun reports whether the request may have run.
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
	// ReasonForeign means that a leaf's reply was not for the request.
	ReasonForeign   Reason = "foreign-reply"
	ReasonNoReplica Reason = "no-replica"
	ReasonOverload  Reason = "overload"
	ReasonNotReady  Reason = "not-ready"
	ReasonLeaving   Reason = "leaving"
	// ReasonSuspended rejects calls after a pause of the aggregator's process.
	ReasonSuspended Reason = "waking"
	ReasonCancelled Reason = "cancelled"
	ReasonPatience  Reason = "patience"
	ReasonCrashed   Reason = "crashed-a-server"
	// ReasonOwnerGone means that no host knows whether an update ran: the process that
	// minted its id has ended or no longer remembers the id, or its host is not in the
	// host list.
	ReasonOwnerGone Reason = "id-owner-gone"
	// ReasonOwnerAway means that the host that minted an update's id could not be reached
	// or did not answer in time.
	ReasonOwnerAway Reason = "id-owner-unreachable"
	ReasonReused    Reason = "id-reused"
	ReasonLeafError Reason = "leaf-error"
	ReasonBusy      Reason = "link-busy"
	// ReasonCallerGone ends a query whose caller has closed the connection.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonProven answers a canary that does not run, because the aggregator knows
	// that a leaf has completed the request before.
	ReasonProven Reason = "proven"
)

// Row is one search result.
type Row struct {
	Key   string
	Score float64
	Text  string
}

// Before reports whether r sorts before o: by score, the best first, then by key,
// so that the order is the same on every host.
func (r Row) Before(o Row) bool {
	if r.Score != o.Score {
		return r.Score > o.Score
	}
	return r.Key < o.Key
}

// Merge sorts rows, removes later rows with the same key, and returns at most limit
// of them. It reuses the slice.
func Merge(rows []Row, limit int) []Row {
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].Before(rows[j]) })
	seen := make(map[string]struct{}, min(limit, len(rows)))
	merged := rows[:0]
	for _, r := range rows {
		if len(merged) == limit {
			break
		}
		if _, duplicate := seen[r.Key]; duplicate {
			continue
		}
		seen[r.Key] = struct{}{}
		merged = append(merged, r)
	}
	return merged
}

// Feedback is the state of one leaf as its aggregator reports it.
type Feedback struct {
	Leaf string
	// Busy and Queued count the calls in flight at the leaf and those that wait for
	// it; Limit is how many calls the aggregator has in flight there at most.
	Busy   int
	Queued int
	Limit  int
	// Holds lists the snapshots that the leaf has.
	Holds []topo.SnapshotID
	// Closed is set while the leaf accepts no calls from any host.
	Closed bool
	// CallTime is the moving average of the leaf's call durations in ms, or 0 if unknown.
	CallTime float64
}

// Outcome is the result of one call to a leaf.
type Outcome struct {
	Call       uint64
	Kind       Kind
	Reason     Reason
	RetryAfter clock.Milli
	Rows       []Row
	// Body is the result of an update that ran.
	Body string
	// Took is the duration of the call at the leaf.
	Took clock.Milli
	// Strikes counts, if Kind is Died, the servers that the request has crashed.
	// RetryAfter is then how long the request is rejected.
	Strikes int
	// Feedback is nil if the aggregator reports nothing about the leaf.
	Feedback *Feedback
}

// Missing is a shard that is not in an answer.
type Missing struct {
	Shard  int
	Reason Reason
}

// Coverage says how much of the pinned partition map an answer includes.
type Coverage struct {
	Shards   int
	Answered int
	Missing  []Missing
}

// Complete reports whether every shard is in the answer.
func (c Coverage) Complete() bool { return c.Answered == c.Shards }

// Answer is the answer to a caller's query. If Refused is set, the query was
// rejected, and the caller may retry it after RetryAfter. Calls counts the query's calls
// that may have run or were shed, Extra those beyond the first per shard.
type Answer struct {
	Pin        topo.SnapshotID
	Rows       []Row
	Coverage   Coverage
	Calls      int
	Extra      int
	Refused    Reason
	RetryAfter clock.Milli
}
