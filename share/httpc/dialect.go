// Package hop carries requests to leafs over HTTP, one call at a time on each
// connection, and tells exactly what is known of a call that did not end well.
//
// It reads replies with net/http's codec and not with nbhttp's: a leaf may end
// a reply by closing, break off, answer before it has read a body, or send
// bytes that belong to no request, and each of these must be told apart on a
// connection that stays in this package's hands.
package httpc

// Dialect names the headers that the tier and its leafs speak.
type Dialect struct {
	// RequestID carries the caller's name for an attempt, both ways.
	RequestID string
	// Deadline carries how many ms are left.
	Deadline string
	// ExpectLeaf names the leaf that a request is meant for; any other leaf at
	// the address turns it down.
	ExpectLeaf string
	// LeafID names the leaf on its health replies.
	LeafID string
	// Stamp is the leaf's signature under its reply.
	Stamp string
	// NotRun stands on a reply that says the leaf did not run the request.
	NotRun string
	// PartStamps and Missing tell of a merged answer which replies are in it and
	// how many shards are not.
	PartStamps, MissingShards string
}

// DefaultDialect is the project's own dialect.
var DefaultDialect = Dialect{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ExpectLeaf: "Expect-Leaf", LeafID: "Leaf-Id",
	Stamp: "Leaf-Stamp", NotRun: "Not-Run", PartStamps: "Part-Stamps", MissingShards: "Missing-Parts",
}

// Headers between hosts of the system.
const (
	// HeaderForwardTarget says in how many ms a forwarded request's answer must
	// leave.
	HeaderForwardTarget = "Relay-Target-Ms"
	// HeaderForwardShards names the shards that are asked for, and
	// HeaderForwardMissing those that the answer lacks, with commas between.
	HeaderForwardShards  = "Relay-Shards"
	HeaderForwardMissing = "Relay-Missing"
	// HeaderForwardLate stands on a request whose caller's target had passed when
	// it came to the sender.
	HeaderForwardLate = "Relay-Late"
	// HeaderForwardVersion is the configuration that the sender goes by.
	HeaderForwardVersion = "Relay-Version"
	// HeaderForwardProcessingTime says how many ms the other host worked on it.
	HeaderForwardProcessingTime = "Relay-Worked-Ms"
)
