// Package quota bounds the memory that the messages of a process take up together. A limit
// per message is not enough: many messages below it can still exceed the memory of the host.
package quota

import (
	"bytes"
	"sync/atomic"
)

const (
	// DefaultLimit is the limit of a Bytes without one.
	DefaultLimit = 64 << 20
	// hostShare is the part of a host's memory, as a divisor, that ForHost allows. What is
	// counted takes up to four times as much: buffers are copied as they grow, and the
	// garbage collector lets the heap double.
	hostShare = 8
	// minHostLimit is the least limit of a known memory. A single user may hold half of it,
	// as much as the largest message has.
	minHostLimit = 16 << 20
	// headerCost is the memory that a header takes besides its text, in bytes.
	headerCost = 128
)

// Bytes counts the bytes that its users hold. It is safe for concurrent use. A nil Bytes has
// no limit.
type Bytes struct {
	// Limit is the most that all users hold together, in bytes; 0 means DefaultLimit. It is
	// set before the first use.
	Limit int64

	used atomic.Int64
}

// ForHost returns the limit for a host with the given memory, in bytes, or 0 if the memory
// is unknown.
func ForHost(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(minHostLimit, memory/hostShare)
}

// HeadCost returns the memory that a part of a message head takes.
func HeadCost(head []byte) int64 {
	return int64(len(head) + headerCost*bytes.Count(head, []byte{'\n'}))
}

// Grow adds n bytes to the holding of a user that has held bytes, and reports whether that
// is allowed. A user may hold no more than what is left for all others. So a few large
// messages, such as those of a faulty leaf, cannot keep small ones from being read.
func (b *Bytes) Grow(held, n int64) bool {
	if b == nil {
		return true
	}
	used := b.used.Add(n)
	if held+n <= b.limit()-used {
		return true
	}
	b.used.Add(-n)
	return false
}

// Add adds n bytes to the holding of a user, whether or not Grow would allow it.
func (b *Bytes) Add(n int64) { b.Release(-n) }

// Release gives n bytes back.
func (b *Bytes) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Used returns the number of bytes that are held.
func (b *Bytes) Used() int64 { return b.used.Load() }

func (b *Bytes) limit() int64 {
	if b.Limit > 0 {
		return b.Limit
	}
	return DefaultLimit
}
