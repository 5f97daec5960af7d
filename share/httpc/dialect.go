// Package httpc sends requests over HTTP to leaves and other hosts, one call at a
// time on each connection, and reports what is known about each failed call.
//
// It parses replies with net/http rather than nbhttp. A leaf may end a reply by
// closing the connection, truncate it, reply before it has read the body, or send
// bytes outside any reply. The package must distinguish these cases, and keep
// control of the connection. Package syntax checks the bytes before net/http parses
// them, which is lenient.
package httpc

// Dialect holds the names of the headers between the hosts and the leaves.
type Dialect struct {
	// RequestID identifies a request, on the request and on its reply.
	RequestID string
	// Deadline carries the remaining time in ms.
	Deadline string
	// ExpectLeaf names the leaf that a request is for; any other leaf at the
	// address rejects it.
	ExpectLeaf string
	// LeafID identifies the leaf on its health replies.
	LeafID string
	// Stamp is the leaf's stamp on its reply.
	Stamp string
	// NotRun marks a reply of a leaf that did not run the request.
	NotRun string
	// PartStamps and MissingShards describe a merged answer: the stamps of the
	// replies in it, and how many shards are missing.
	PartStamps, MissingShards string
}

// DefaultDialect is the project's own dialect.
var DefaultDialect = Dialect{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ExpectLeaf: "Expect-Leaf", LeafID: "Leaf-Id",
	Stamp: "Leaf-Stamp", NotRun: "Not-Run", PartStamps: "Part-Stamps", MissingShards: "Missing-Parts",
}

// Headers between hosts of the system.
const (
	// HeaderForwardTarget is the time in ms within which the answer to a forwarded
	// request must be sent.
	HeaderForwardTarget = "Relay-Target-Ms"
	// HeaderForwardShards lists the requested shards, and HeaderForwardMissing the
	// shards missing from the answer, separated by commas.
	HeaderForwardShards  = "Relay-Shards"
	HeaderForwardMissing = "Relay-Missing"
	// HeaderForwardLate marks a request whose caller's target had already passed
	// when the sender received it.
	HeaderForwardLate = "Relay-Late"
	// HeaderForwardVersion is the sender's configuration version, and on an answer that of
	// the configuration by which it was merged.
	HeaderForwardVersion = "Relay-Version"
	// HeaderForwardProcessingTime is the time in ms that the other host spent on the request.
	HeaderForwardProcessingTime = "Relay-Worked-Ms"
)
