// Package dedup gives non-idempotent requests at-most-once execution without
// shared state. An id names the host and the incarnation that minted it. Only that
// incarnation runs the id's request, and it remembers which requests it ran. After
// it ends, its ids are answered "unknown" and never run.
package dedup

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/clock"
)

// Errors of parsing and minting ids.
var (
	// ErrMalformed means that the text is not a valid id.
	ErrMalformed = errors.New("malformed id")
	// ErrCount means that the number of ids requested is not between 1 and MaxMint.
	ErrCount = errors.New("number of ids requested is out of range")
)

// Limits of a registry.
const (
	// MaxMint is how many ids one call may mint.
	MaxMint = 1000
	// Lifetime is how long after it was minted an id may start its request, and how long
	// its result is kept.
	Lifetime = 10 * clock.Minute
	// maxRecords limits the ids remembered at once; the oldest is evicted, unless its
	// request is running, and answered "unknown" from then on.
	maxRecords = 1 << 17
)

// ID identifies a request that must not run twice.
type ID struct {
	// Host and Incarnation identify the process that minted the id.
	Host        string
	Incarnation uint64
	Sequence    uint64
}

// String returns the id in the form that callers use.
func (i ID) String() string {
	return i.Host + "." + strconv.FormatUint(i.Incarnation, 36) + "." + strconv.FormatUint(i.Sequence, 36)
}

// Parse parses an id in the form that String returns. Other spellings of an id are
// malformed.
func Parse(s string) (ID, error) {
	rest, seq, ok := cutLast(s)
	if !ok {
		return ID{}, ErrMalformed
	}
	host, inc, ok := cutLast(rest)
	if !ok || host == "" {
		return ID{}, ErrMalformed
	}
	sequence, err := strconv.ParseUint(seq, 36, 64)
	if err != nil {
		return ID{}, ErrMalformed
	}
	incarnation, err := strconv.ParseUint(inc, 36, 64)
	if err != nil {
		return ID{}, ErrMalformed
	}
	id := ID{Host: host, Incarnation: incarnation, Sequence: sequence}
	if id.String() != s {
		return ID{}, ErrMalformed // a second spelling, such as h.01.1 for h.1.1
	}
	return id, nil
}

// cutLast splits s at its last dot. Host names may contain dots.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// Verdict is the decision on a request that carries an id.
type Verdict uint8

// The verdicts.
const (
	// Run means that the request has not run: run it.
	Run Verdict = iota + 1
	// Join means that the request is running: wait for its result.
	Join
	// Done means that the request has run: answer with its result.
	Done
	// Foreign means that another host minted the id: forward the request to it.
	Foreign
	// Unknown means that this host cannot know whether the request ran: do not run it.
	Unknown
	// NeverMinted means that this host did not mint the id.
	NeverMinted
	// Reused means that the id was used for a request with other contents.
	Reused
)

// Registry holds the ids that one incarnation minted and the state of their requests.
// R is the type of the results that are kept to answer resends. Host and Incarnation
// are set before the first call. A Registry is not safe for concurrent use.
type Registry[R any] struct {
	Host        string
	Incarnation uint64

	nextSequence uint64 // sequence of the next id; ids start at 1
	oldest       uint64 // ids with a lower sequence are evicted
	records      map[uint64]*record[R]
}

// record is the state of one id.
type record[R any] struct {
	minted      clock.Milli
	contentHash uint64
	state       Verdict // 0 (not started), Join or Done
	result      R
}

// Mint returns n new ids. It returns ErrCount unless n is between 1 and MaxMint.
func (r *Registry[R]) Mint(now clock.Milli, n int) ([]ID, error) {
	if n < 1 || n > MaxMint {
		return nil, ErrCount
	}
	if r.records == nil {
		r.records = map[uint64]*record[R]{}
		r.nextSequence, r.oldest = 1, 1
	}
	ids := make([]ID, n)
	for i := range ids {
		r.records[r.nextSequence] = &record[R]{minted: now}
		ids[i] = ID{Host: r.Host, Incarnation: r.Incarnation, Sequence: r.nextSequence}
		r.nextSequence++
	}
	r.evict(now)
	return ids, nil
}

// evict removes ids past their lifetime or above maxRecords, oldest first, up to the
// first that is neither or whose request is running.
func (r *Registry[R]) evict(now clock.Milli) {
	for r.oldest < r.nextSequence {
		rec := r.records[r.oldest]
		if rec != nil {
			expired := now-rec.minted > Lifetime || len(r.records) > maxRecords
			if !expired || rec.state == Join {
				return
			}
			delete(r.records, r.oldest)
		}
		r.oldest++
	}
}

// Begin decides on a request with an id. The result is set only with Done. The
// contentHash is a hash of the request, so that two different requests with one id
// are detected. After Run the caller must call Finish or Release once.
func (r *Registry[R]) Begin(now clock.Milli, id ID, contentHash uint64) (Verdict, R) {
	var none R
	if id.Host != r.Host {
		return Foreign, none
	}
	if id.Incarnation != r.Incarnation {
		return Unknown, none
	}
	r.evict(now)
	if id.Sequence == 0 || id.Sequence >= r.nextSequence {
		return NeverMinted, none
	}
	rec, ok := r.records[id.Sequence]
	// evict stops at a running request, so there may be expired ids after it.
	if !ok || (rec.state == 0 && now-rec.minted > Lifetime) {
		return Unknown, none
	}
	if rec.state != 0 && rec.contentHash != contentHash {
		return Reused, none
	}
	if rec.state == 0 {
		rec.state, rec.contentHash = Join, contentHash
		return Run, none
	}
	return rec.state, rec.result
}

// Finish stores the result of a request for which Begin returned Run. It does nothing if
// the request is not running.
func (r *Registry[R]) Finish(id ID, result R) {
	if rec, ok := r.records[id.Sequence]; ok && rec.state == Join {
		rec.state, rec.result = Done, result
	}
}

// Release resets the id of a request that certainly did not run, so that a resend
// may run. It does nothing if the request is not running.
func (r *Registry[R]) Release(id ID) {
	if rec, ok := r.records[id.Sequence]; ok && rec.state == Join {
		rec.state, rec.contentHash = 0, 0
	}
}

// Len returns how many ids the registry holds.
func (r *Registry[R]) Len() int { return len(r.records) }
