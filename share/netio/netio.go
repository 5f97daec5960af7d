// Package netio sets up the network library for the whole process. Every package
// that starts an engine of the library imports it.
package netio

import (
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
)

func init() {
	// The library logs to standard output, which is for the output of the process itself.
	logging.SetLevel(logging.LevelNone)
	// The library writes to buffers that it has freed, and frees some of them twice.
	// With its default allocator, which reuses them, two connections would share such a
	// buffer.
	mempool.DefaultMemPool = mempool.NewSTD()
}

// minBodyBlock is the smallest buffer of a body, in bytes. The library begins with the size
// of the first chunk; with a buffer for each chunk of one byte, a body would take fifty times
// its size.
const minBodyBlock = 512

// bodyAllocator allocates the buffers of bodies.
type bodyAllocator struct{ mempool.Allocator }

// Malloc returns a buffer of size bytes, with room for minBodyBlock.
func (bodyAllocator) Malloc(size int) *[]byte {
	b := make([]byte, size, max(size, minBodyBlock))
	return &b
}

// NewBodyAllocator returns the allocator that engines need for bodies.
func NewBodyAllocator() mempool.Allocator { return bodyAllocator{mempool.DefaultMemPool} }
