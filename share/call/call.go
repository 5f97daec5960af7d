// Package call holds what passes through the tier unread: a caller's request,
// a leaf's reply, and what became of one call to a leaf.
package call

import "net/http"

// Request is a caller's request as it is handed to leafs.
type Request struct {
	// ID is the caller's name for this attempt.
	ID     string
	Method string
	// Target is the path and query exactly as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Path is the target without its query.
func (r *Request) Path() string {
	for i := range len(r.Target) {
		if r.Target[i] == '?' {
			return r.Target[:i]
		}
	}
	return r.Target
}

// Reply is a leaf's whole reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the leaf's signature under this reply.
	Stamp string
	// Missing names the shards that another host's merged answer lacks.
	Missing []string
}

// Successful tells whether a reply is a success.
func (r *Reply) Successful() bool { return r.Status >= 200 && r.Status < 300 }

// Kind is what became of a call.
type Kind int

// Kinds of ends.
const (
	// Answered: the leaf ran the request and its whole reply is here.
	Answered Kind = iota
	// Shed: the leaf says that it had no room and did not run the request.
	Shed
	// Foreign: another leaf has the address; it did not run the request.
	Foreign
	// NotSent: no connection could be opened; nothing left this host.
	NotSent
	// Withdrawn: this host gave up before a connection was open; nothing left
	// it.
	Withdrawn
	// Full: the leaf ended a new connection before anything was sent on it, as
	// one does that holds all the connections it accepts.
	Full
	// Broken: the connection ended, or carried no proper reply, after the
	// request was sent. It may have run.
	Broken
	// Cancelled: this host gave up on it after it was sent. It may have run.
	Cancelled
)

var kindNames = [...]string{"answered", "shed", "foreign", "not-sent", "withdrawn", "full", "broken", "cancelled"}

// String names the kind as logs and metrics do.
func (k Kind) String() string { return kindNames[k] }

// NotRun tells whether the leaf is known not to have run the request.
func (k Kind) NotRun() bool { return k == Shed || k == Foreign || k.Unsent() }

// Unsent tells whether nothing of the request left this host.
func (k Kind) Unsent() bool { return k == NotSent || k == Withdrawn || k == Full }
