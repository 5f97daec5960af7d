// Package router decides what becomes of each request: whether it is taken,
// which leaf gets it, when a second leaf is asked, how long a missing shard is
// worth waiting for, and what the caller is told. It holds no socket, logger or
// clock: it takes the time and an event and returns actions, so that the same
// code runs in the program and in tests that replay a load.
package router

import (
	"slices"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/roster"
	"dandelionstile/share/route"
)

// Event is something that happened; one of the types below.
type Event interface{ event() }

// Arrive is a request that a caller has sent in full.
type Arrive struct {
	// Query is a number that no other request of this process has.
	Query   uint64
	Request *call.Request
	// Wait is how long the caller will wait; 0 is not told.
	Wait clock.Milli
	// Remote is where the caller connected from.
	Remote string
	// Forwarded requests come from another host, which keeps the caller. They
	// are served from here and not forwarded again. Shards are then what is asked
	// for, Target is how long the answer has until it must leave, and Version
	// the configuration that the sender goes by.
	Forwarded bool
	Shards    []string
	Target    clock.Milli
	Version   uint64
	// Late says that the caller's target had passed when it came to the sender.
	Late bool
}

// CallerGone says that a caller closed its connection.
type CallerGone struct{ Query uint64 }

// Done is the end of a call to a leaf.
type Done struct {
	Call  uint64
	Kind  call.Kind
	Reply *call.Reply
	// Cause explains a call without a reply.
	Cause string
	// Refusal is why another host has refused forwarded shards.
	Refusal Refusal
	// ProcessingTime is how long the other host of a forwarded request took, without
	// the way there and back.
	ProcessingTime clock.Milli
}

// Facts replaces what is known of routes, leafs and failure domains.
type Facts struct {
	Table  *route.Table
	Leaves []roster.Leaf
	// DomainsOut are the failure domains that get no new work.
	DomainsOut map[string]bool
	// Regions maps failure domains to regions; nil leaves what is known.
	Regions map[string]string
}

// Peers replaces the list of other hosts that are there.
type Peers struct{ List []Peer }

// Peer is another host of the system.
type Peer struct {
	// Address is where it takes forwarded requests.
	Address string
	Domain  string
	// Capacity is the processor that it may use, in thousandths of a core; 0 if
	// it is not known.
	Capacity uint32
	Started  uint64
	// Suspected hosts have not answered others of late.
	Suspected bool
}

// ProbeResult is what a leaf said of its health.
type ProbeResult struct {
	Leaf    string
	Healthy bool
}

// ConnRefused says that nobody listens at a leaf's address.
type ConnRefused struct{ Leaf string }

// Tick says that the time of Next has come.
type Tick struct{}

func (Arrive) event()      {}
func (CallerGone) event()  {}
func (ConnRefused) event() {}
func (Done) event()        {}
func (Facts) event()       {}
func (Peers) event()       {}
func (ProbeResult) event() {}
func (Tick) event()        {}

// Action is something for the program to do; one of the types below.
type Action interface{ action() }

// Send hands a request to a leaf.
type Send struct {
	Call    uint64
	Request *call.Request
	Leaf    string
	Address string
	// Timeout is how long the leaf may take.
	Timeout clock.Milli
	// Watch has a new connection watched for a moment before the request is sent
	// on it, so that the leaf can turn the connection away first.
	Watch bool
}

// Forward hands shards of a request to another host, to be answered from there.
type Forward struct {
	Call    uint64
	Request *call.Request
	Address string
	Shards  []string
	// Target is when the answer must leave there, and Left when all ends.
	Target, Timeout clock.Milli
	Version         uint64
	// Late says that the caller's target had passed when it came here.
	Late bool
}

// Preconnect opens a connection ahead to another host.
type Preconnect struct{ Address string }

// Cancel gives up on a call by closing its connection.
type Cancel struct{ Call uint64 }

// Probe asks a leaf for its health.
type Probe struct {
	Leaf    string
	Address string
	Path    string
}

// CheckConn finds out whether anybody listens at a leaf's address; only Absent is
// told.
type CheckConn struct {
	Leaf    string
	Address string
}

// Answer ends a request. Exactly one comes for each that arrived and whose
// caller is still there.
type Answer struct {
	Query uint64
	// Reply is one leaf's reply, handed on as it is; nil for all others.
	Reply *call.Reply
	// Merged is the answer of a query over shards; nil for all others.
	Merged *Merged
	// Refusal tells why there is neither.
	Refusal Refusal
	// RetryAfter is when to come back after a refusal.
	RetryAfter clock.Milli
}

// Merged is a whole or partial answer of a query over shards.
type Merged struct {
	Parts []*call.Reply
	// Missing names the shards that are not in.
	Missing []string
	Top     int
}

// Refusal is the reason for which a request got no leaf's reply.
type Refusal int

// Reasons for refusals. Those up to NoRoom are told to callers as not run.
const (
	// None: the request was answered.
	None Refusal = iota
	// NoConfig: no routes are known here yet.
	NoConfig
	// NoRoute: no route matches.
	NoRoute
	// NoLeaf: no leaf of the service can take it now.
	NoLeaf
	// NoRoom: there is more work than can be done in time.
	NoRoom
	// Failed: leafs were asked and did not answer properly.
	Failed
	// Harmful: leafs have gone down under this request.
	Harmful
	// Stale: another host goes by a newer configuration than this one.
	Stale
	// Late: the caller's deadline or the route's timeout has passed.
	Late
)

var refusalNames = [...]string{"none", "no-config", "no-route", "no-leaf", "no-room", "failed", "harmful", "stale", "late"}

// String names the reason as logs and metrics do.
func (r Refusal) String() string { return refusalNames[r] }

// ParseRefusal reads a reason by its name; None for names that are not known.
func ParseRefusal(name string) Refusal {
	return Refusal(max(0, slices.Index(refusalNames[:], name)))
}

// CallEnded tells of the end of a call to a leaf, for the counters.
type CallEnded struct {
	Service string
	Domain  string
	Kind    call.Kind
	Took    clock.Milli
}

// Note is a decision or a changed belief, for the log.
type Note struct {
	Kind    NoteKind
	Request string
	Query   uint64
	Route   string
	Version uint64
	Service string
	Leaf    string
	// Cause is the reason in words; Refusal is that of a refusal.
	Cause   string
	Refusal Refusal
	// Took is the age of the request or call, in milliseconds.
	Took clock.Milli
	// Count and Of count shards; of the limiter, queries under way and their limit.
	Count, Total int
	// Missing names the shards left out, each with the last thing that
	// happened to it.
	Missing []MissingShard
	// Extra is how many calls beyond the first per shard were made.
	Extra int
	// Wait is how long the caller said it would wait, Passed what is taken to
	// have passed since its first attempt, in ms.
	Wait, SinceFirstAttempt clock.Milli
	// Due is how long the answer may take to be in time, in ms.
	Due    clock.Milli
	Remote string
	// Forwarded requests came from another host, which has the caller.
	Forwarded bool
	// Late says that no answer can be in time: the caller's target had passed
	// when the request came, or has passed since.
	Late bool
	// BudgetLeft is what the budget of second calls still holds.
	BudgetLeft float64
}

// MissingShard is one shard that an answer lacks.
type MissingShard struct {
	Service string
	Leaf    string
	Cause   string
}

// NoteKind is what a note is about.
type NoteKind int

// Kinds of notes.
const (
	NoteAdmitted NoteKind = iota
	NoteAnswered
	NotePartial
	NoteRefused
	NoteCallerGone
	NoteHedged
	NoteRetried
	NoteWithheld
	NoteForwarded
	NoteForwardFailed
	NoteLeafUnhealthy
	NoteLeafHealthy
	NoteLeafNew
	NoteLeafDraining
	NoteLeafRemoved
	NoteTable
	NoteDomainOut
	NoteDomainBack
	NotePeerUnhealthy
	NotePeers
	NoteCrash
	NoteLimitSet
	NoteLimitLifted
	NoteLeafReport
	NoteLeavesKnown
	NoteLeavesNew
	NoteLeavesRemoved
)

var noteNames = [...]string{
	"admitted", "answered", "answered-in-part", "refused", "caller-gone", "hedged", "retried",
	"second-call-withheld", "forwarded", "forward-failed", "leaf-unhealthy", "leaf-healthy", "leaf-new", "leaf-drains", "leaf-gone",
	"routes-in-force", "domain-out", "domain-back", "peer-unhealthy", "peers", "leaf-crashed",
	"limit-set", "limit-lifted", "leaf-heard", "leafs-known", "leaves-new", "leaves-gone",
}

// String names the kind as logs and metrics do.
func (k NoteKind) String() string { return noteNames[k] }

// Failure tells whether the note explains a request that was not served in
// full, or a changed belief; such notes are kept when others are dropped.
func (k NoteKind) Failure() bool {
	switch k {
	case NoteAdmitted, NoteAnswered, NoteHedged, NoteForwarded, NoteLeafReport:
		return false
	}
	return true
}

func (CallEnded) action()  {}
func (Preconnect) action() {}
func (Forward) action()    {}
func (Send) action()       {}
func (Cancel) action()     {}
func (Probe) action()      {}
func (CheckConn) action()  {}
func (Answer) action()     {}
func (Note) action()       {}
