// Package netio sets up the network library for the whole process. Packages that
// start engines of the library import it.
package netio

import (
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
)

func init() {
	// The library logs to standard output, which belongs to the programs.
	logging.SetLevel(logging.LevelNone)
	// The library writes to buffers that it has freed, and frees some twice. Its default
	// allocator would give such a buffer to two connections.
	mempool.DefaultMemPool = mempool.NewSTD()
}
