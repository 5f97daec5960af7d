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
