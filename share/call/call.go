// Package call holds the data that hosts forward without reading it: a caller's request, a
// leaf's reply, and the outcome of one call to a leaf.
package call

import "net/http"

// Request is a caller's request as it is sent to leaves.
type Request struct {
	// ID is the caller's identifier for this attempt.
	ID     string
	Method string
	// Target is the path and query exactly as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Path returns the target without its query.
func (r *Request) Path() string {
	for i := range len(r.Target) {
		if r.Target[i] == '?' {
			return r.Target[:i]
		}
	}
	return r.Target
}

// Reply is a leaf's complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the leaf's stamp on this reply; in another host's merged answer, the stamps
	// of its parts.
	Stamp string
	// Missing lists the shards that are missing from another host's merged answer.
	Missing []string
	// Version is that of the configuration by which another host merged its answer; 0 if
	// it didn't say.
	Version uint64
}

// Successful reports whether the status of a reply is 2xx.
func (r *Reply) Successful() bool { return r.Status >= 200 && r.Status < 300 }

// Kind is the outcome of a call to a leaf, or to another host in place of one.
type Kind int

// The outcomes of a call.
const (
	// Answered means that the leaf ran the request and the whole reply was received.
	Answered Kind = iota
	// Shed means that the leaf rejected the request for lack of capacity and did not
	// run it.
	Shed
	// Foreign means that another leaf listens on the address; it did not run the
	// request.
	Foreign
	// NotSent means that no connection could be opened; nothing was sent.
	NotSent
	// Withdrawn means that this host cancelled the call before a connection was open;
	// nothing was sent.
	Withdrawn
	// Full means that the leaf closed a new connection before anything was sent on it,
	// as a leaf does when it has reached its connection limit.
	Full
	// Broken means that the connection ended, or carried no valid reply, after the
	// request was sent. The request may have run.
	Broken
	// Cancelled means that this host cancelled the call after the request was sent. The
	// request may have run.
	Cancelled
)

var kindNames = [...]string{"answered", "shed", "foreign", "not-sent", "withdrawn", "full", "broken", "cancelled"}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// NotRun reports whether the leaf is known not to have run the request.
func (k Kind) NotRun() bool { return k == Shed || k == Foreign || k.Unsent() }

// Unsent reports whether no part of the request was sent.
func (k Kind) Unsent() bool { return k == NotSent || k == Withdrawn || k == Full }
