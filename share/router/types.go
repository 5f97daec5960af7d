// Package router makes the decisions about each request: whether it is
// admitted, which leaf serves it, when to hedge or retry, how long to wait for
// missing shards, and how the caller is answered. It holds no socket, logger or
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

// Event is an input of the engine; one of the types below.
type Event interface{ event() }

// Arrival is a request that has been read in full.
type Arrival struct {
	// Query identifies the request within this process.
	Query   uint64
	Request *call.Request
	// Wait is how long the caller will wait; 0 if it did not say.
	Wait clock.Milli
	// Remote is the address and port of the caller's connection.
	Remote string
	// Forwarded requests come from another host, which answers the caller. They
	// are sent to leaves only and not forwarded again. For them, Shards lists the
	// requested shards, Target is the time until the answer must leave this host,
	// and Version is the sender's configuration version, by which they are handled.
	Forwarded bool
	Shards    []string
	Target    clock.Milli
	Version   uint64
	// Late reports that the caller's target had passed when the request reached
	// the sender.
	Late bool
}

// CallerGone reports that a caller closed its connection.
type CallerGone struct{ Query uint64 }

// CallDone is the outcome of a call to a leaf or to another host.
type CallDone struct {
	Call  uint64
	Kind  call.Kind
	Reply *call.Reply
	// Cause explains a call without a reply.
	Cause string
	// Refusal is the reason for which another host refused forwarded shards.
	Refusal Refusal
	// ProcessingTime is how long the other host took for a forwarded request,
	// without the network round trip.
	ProcessingTime clock.Milli
}

// Topology replaces the known leaves and the failure domains out of service, and the routes
// if its Table is newer than the one in force; another Table, or nil, leaves them as they are.
type Topology struct {
	Table *route.Table
	// Leaves are all leaves; a known one that isn't listed is removed.
	Leaves []roster.Leaf
	// DomainsOut are all failure domains that get no new work.
	DomainsOut map[string]bool
	// Regions maps failure domains to regions; nil keeps the known map.
	Regions map[string]string
}

// Peers replaces the list of the other live hosts.
type Peers struct{ List []Peer }

// Peer is another host of the system.
type Peer struct {
	// Address is where it accepts forwarded requests.
	Address string
	Domain  string
	// Capacity is the processor time that it may use, in thousandths of a core;
	// 0 if unknown.
	Capacity uint32
	// Started changes when the host's process restarts.
	Started uint64
	// Suspected reports that other hosts recently got no answer from it.
	Suspected bool
}

// ProbeResult is the result of a leaf's health check.
type ProbeResult struct {
	Leaf    string
	Healthy bool
}

// ConnRefused reports that no process listens at a leaf's address.
type ConnRefused struct{ Leaf string }

// Tick reports that the time returned by Engine.NextTick has come.
type Tick struct{}

func (Arrival) event()     {}
func (CallerGone) event()  {}
func (ConnRefused) event() {}
func (CallDone) event()    {}
func (Topology) event()    {}
func (Peers) event()       {}
func (ProbeResult) event() {}
func (Tick) event()        {}

// Action is an output of the engine for the program to execute; one of the types
// below.
type Action interface{ action() }

// Send sends a request to a leaf.
type Send struct {
	Call    uint64
	Request *call.Request
	Leaf    string
	Address string
	// Timeout is how long the leaf may take.
	Timeout clock.Milli
	// AwaitRejection delays the request on a new connection for a moment, so that the
	// leaf can reject the connection first.
	AwaitRejection bool
}

// Forward sends shards of a request to another host, which queries their leaves.
type Forward struct {
	Call    uint64
	Request *call.Request
	Address string
	Shards  []string
	// Target is the time until the answer must leave that host, Timeout the time
	// until the request ends.
	Target, Timeout clock.Milli
	// Version is the configuration version by which this host handles the request.
	Version uint64
	// Late reports that the caller's target had passed when the request arrived.
	Late bool
}

// Preconnect opens a connection to another host before it is needed.
type Preconnect struct{ Address string }

// Forget closes the idle connections to a leaf that has been removed or is draining, and
// withdraws the calls to it that have not been sent.
type Forget struct{ Leaf string }

// Cancel aborts a call to a leaf or to another host by closing its connection.
type Cancel struct{ Call uint64 }

// Probe checks a leaf's health.
type Probe struct {
	Leaf    string
	Address string
	Path    string
}

// CheckConn checks whether a process listens at a leaf's address; only a refused
// connection is reported, as ConnRefused.
type CheckConn struct {
	Leaf    string
	Address string
}

// Answer ends a request. Exactly one is returned for each request whose caller
// has not disconnected.
type Answer struct {
	Query uint64
	// Reply is a single leaf's reply, returned unchanged; nil for other answers.
	Reply *call.Reply
	// Merged is the answer to a query over shards; nil for other answers.
	Merged *Merged
	// Refusal is the reason if Reply and Merged are nil.
	Refusal Refusal
	// RetryAfter is how long the caller should wait before it retries after a refusal.
	RetryAfter clock.Milli
}

// Merged is a complete or partial answer to a query over shards.
type Merged struct {
	// Parts are the replies of leaves and the merged answers of other hosts.
	Parts []*call.Reply
	// Missing names the shards that the answer lacks.
	Missing []string
	// TopK is the maximum number of records in the answer.
	TopK int
	// Version is that of the configuration by which the parts are merged.
	Version uint64
}

// Refusal is the reason for which a request got no leaf's reply.
type Refusal int

// Reasons for refusals. Failed and Late leave open whether the request has run; with the
// others, apart from None, callers are told that no leaf has run it.
const (
	// None: the request was answered.
	None Refusal = iota
	// NoConfig: this host knows no routes yet.
	NoConfig
	// NoRoute: no route matches.
	NoRoute
	// NoLeaf: too few shards have a leaf that can serve them now; if leaves were called,
	// none has run the request.
	NoLeaf
	// NoCapacity: the load exceeds what can be served in time, or the time has passed
	// before a leaf can have run the request.
	NoCapacity
	// Failed: leaves or other hosts were called, and too few shards have a proper reply.
	// The request may have run.
	Failed
	// Harmful: leaves have crashed while they ran this request.
	Harmful
	// Stale: the host that forwarded the request has a configuration that this one hasn't
	// got yet or no longer keeps, or requests shards that the route doesn't have.
	Stale
	// Late: the caller's deadline or the route's timeout has passed. The request may have
	// run.
	Late
)

var refusalNames = [...]string{"none", "no-config", "no-route", "no-leaf", "no-room", "failed", "harmful", "stale", "late"}

// String returns the reason's name in logs and metrics.
func (r Refusal) String() string { return refusalNames[r] }

// ParseRefusal returns the reason with the given name, or None if it is unknown.
func ParseRefusal(name string) Refusal {
	return Refusal(max(0, slices.Index(refusalNames[:], name)))
}

// CountCall reports the end of a call to a leaf, for the metrics.
type CountCall struct {
	Service string
	Domain  string
	Kind    call.Kind
	Took    clock.Milli
}

// LogRecord is a log record of a decision or a state change.
type LogRecord struct {
	Kind    LogKind
	Request string
	Query   uint64
	Route   string
	Version uint64
	Service string
	// Leaf is a leaf's name, or the address of another host.
	Leaf string
	// Cause explains the decision in words, or names the failure domain or the leaves
	// that have changed; Refusal is the reason of a refusal.
	Cause   string
	Refusal Refusal
	// Took is the age of the request or call, in milliseconds; for a leaf report, the
	// additional latency.
	Took clock.Milli
	// Count and Total are numbers of shards; for the limiter, queries in flight
	// and the limit; for changes, the number of routes, leaves or hosts; for a crash,
	// that of the crash reports sent; for harmful requests, their number.
	Count, Total int
	// Missing lists the shards that the answer lacks, each with its last known
	// state.
	Missing []MissingShard
	// Extra is the number of hedges and retries that were charged to the budget.
	Extra int
	// Wait is how long the caller said it would wait, SinceFirstAttempt the
	// estimated time since its first attempt, in ms.
	Wait, SinceFirstAttempt clock.Milli
	// Due is how long the answer may take to be in time, in ms.
	Due    clock.Milli
	Remote string
	// Forwarded requests came from another host, which answers the caller.
	Forwarded bool
	// Late reports that no answer can be in time: the caller's target had passed
	// when the request arrived, or has passed since.
	Late bool
	// BudgetLeft is the number of hedges and retries left in the budget.
	BudgetLeft float64
}

// MissingShard is a shard that an answer lacks.
type MissingShard struct {
	Service string
	// Leaf is the leaf, or the address of the host, that was called last; "" if none was.
	Leaf string
	// Cause is why the shard has no reply.
	Cause string
}

// LogKind is the subject of a log record.
type LogKind int

// Kinds of log records.
const (
	LogAdmitted LogKind = iota
	LogAnswered
	LogPartial
	LogRefused
	LogCallerGone
	LogHedged
	LogRetried
	LogWithheld
	LogForwarded
	LogForwardFailed
	LogLeafUnhealthy
	LogLeafHealthy
	LogLeafNew
	LogLeafDraining
	LogLeafRemoved
	LogTable
	LogDomainOut
	LogDomainBack
	LogPeerUnhealthy
	LogPeers
	LogCrash
	LogHarmful
	LogCleared
	LogLimitSet
	LogLimitLifted
	LogLeafReport
	LogLeavesKnown
	LogLeavesNew
	LogLeavesRemoved
)

var logNames = [...]string{
	"admitted", "answered", "answered-in-part", "refused", "caller-gone", "hedged", "retried",
	"second-call-withheld", "forwarded", "forward-failed", "leaf-unhealthy", "leaf-healthy", "leaf-new", "leaf-drains", "leaf-gone",
	"routes-in-force", "domain-out", "domain-back", "peer-unhealthy", "peers", "leaf-crashed", "request-harmful", "request-cleared",
	"limit-set", "limit-lifted", "leaf-heard", "leafs-known", "leaves-new", "leaves-gone",
}

// String returns the kind's name in logs and metrics.
func (k LogKind) String() string { return logNames[k] }

// Important reports whether the record is about a refusal, a partial answer, a failed call,
// a withheld one, a caller that disconnected or a state change; such records are kept when
// others are dropped.
func (k LogKind) Important() bool {
	switch k {
	case LogAdmitted, LogAnswered, LogHedged, LogForwarded, LogLeafReport:
		return false
	}
	return true
}

func (CountCall) action()  {}
func (Preconnect) action() {}
func (Forward) action()    {}
func (Send) action()       {}
func (Forget) action()     {}
func (Cancel) action()     {}
func (Probe) action()      {}
func (CheckConn) action()  {}
func (Answer) action()     {}
func (LogRecord) action()  {}
