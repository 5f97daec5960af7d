// Package ticket gives non-idempotent requests at-most-once execution without
// shared state. A host mints ids that name it and its incarnation; only that
// incarnation ever runs them, and it remembers what it ran. When it is gone,
// its ids are answered "unknown" and run nowhere.
package dedup

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/clock"
)

// Errors of reading an id.
var (
	// ErrMalformed: the text is not an id that any host mints.
	ErrMalformed = errors.New("malformed id")
	// ErrTooMany: more ids were asked for than one call mints.
	ErrTooMany = errors.New("too many ids asked for")
)

// Bounds of a book.
const (
	// MaxMint is how many ids one call mints.
	MaxMint = 1000
	// Lifetime is how long an id may be used after it was minted.
	Lifetime = 10 * clock.Minute
	// maxOpen bounds the ids remembered at once; the oldest goes first and is
	// answered "unknown" from then on.
	maxOpen = 1 << 17
)

// ID names one request that must not run twice.
type ID struct {
	// Host and Incarnation name the process that minted the id.
	Host        string
	Incarnation uint64
	Sequence    uint64
}

// String writes the id as callers hold it.
func (i ID) String() string {
	return i.Host + "." + strconv.FormatUint(i.Incarnation, 36) + "." + strconv.FormatUint(i.Sequence, 36)
}

// Parse reads an id.
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
		return ID{}, ErrMalformed // two spellings of one id would be two ids elsewhere
	}
	return id, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// Verdict says what to do with a request that carries an id.
type Verdict uint8

// The verdicts.
const (
	// Run: this is the first time; run it.
	Run Verdict = iota + 1
	// Join: it is running; wait for its result.
	Join
	// Done: it ran; the result is at hand.
	Done
	// Foreign: another host minted it; send it there.
	Foreign
	// Lost: this host cannot know what became of it; it will not run.
	Unknown
	// Unissued: this host never minted it.
	NeverMinted
	// Reused: the id came before with another request.
	Reused
)

// Registry is the memory of one incarnation: every id it minted and what became of
// it. R is the result kept for resends. Host and Incarnation are set before the
// first call. A Book is used from one goroutine.
type Registry[R any] struct {
	Host        string
	Incarnation uint64

	next  uint64 // sequence of the next id; ids start at 1
	floor uint64 // ids below are forgotten
	open  map[uint64]*record[R]
}

type record[R any] struct {
	minted  clock.Milli
	content uint64
	state   Verdict // 0, Join or Done
	result  R
}

// Mint returns n new ids.
func (b *Registry[R]) Mint(now clock.Milli, n int) ([]ID, error) {
	if n < 1 || n > MaxMint {
		return nil, ErrTooMany
	}
	if b.open == nil {
		b.open = map[uint64]*record[R]{}
		b.next, b.floor = 1, 1
	}
	ids := make([]ID, n)
	for i := range ids {
		b.open[b.next] = &record[R]{minted: now}
		ids[i] = ID{Host: b.Host, Incarnation: b.Incarnation, Sequence: b.next}
		b.next++
	}
	b.forget(now)
	return ids, nil
}

// forget drops ids past their life, oldest first. A running one stays.
func (b *Registry[R]) forget(now clock.Milli) {
	for b.floor < b.next {
		r := b.open[b.floor]
		if r != nil {
			old := now-r.minted > Lifetime || len(b.open) > maxOpen
			if !old || r.state == Join {
				return
			}
			delete(b.open, b.floor)
		}
		b.floor++
	}
}

// Begin decides about a request with an id. The content is a hash over the
// request, so that one id cannot stand for two requests. After Run the caller
// must call Finish once.
func (b *Registry[R]) Begin(now clock.Milli, id ID, content uint64) (Verdict, R) {
	var none R
	if id.Host != b.Host {
		return Foreign, none
	}
	if id.Incarnation != b.Incarnation {
		return Unknown, none
	}
	b.forget(now)
	if id.Sequence == 0 || id.Sequence >= b.next {
		return NeverMinted, none
	}
	r, ok := b.open[id.Sequence]
	if !ok || (r.state == 0 && now-r.minted > Lifetime) {
		return Unknown, none
	}
	if r.state != 0 && r.content != content {
		return Reused, none
	}
	if r.state == 0 {
		r.state, r.content = Join, content
		return Run, none
	}
	return r.state, r.result
}

// Finish records the result of a request that Begin let run.
func (b *Registry[R]) Finish(id ID, result R) {
	if r, ok := b.open[id.Sequence]; ok && r.state == Join {
		r.state, r.result = Done, result
	}
}

// Release takes back a request that truly did not run, so that a resend of its
// id may run.
func (b *Registry[R]) Release(id ID) {
	if r, ok := b.open[id.Sequence]; ok && r.state == Join {
		r.state, r.content = 0, 0
	}
}

// Len is how many ids the book remembers.
func (b *Registry[R]) Len() int { return len(b.open) }
