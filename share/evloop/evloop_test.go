package evloop

import (
	"fmt"
	"os"
	"testing"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
)

// The engine assigns connections to loops by their descriptors. If the free descriptors
// have the same remainder each time, a loop gets none of the connections and AwaitLoops
// would never end.
func TestEveryLoopIsReached(t *testing.T) {
	for _, loops := range []int{1, 2, 3, 4} {
		for _, gap := range []int{0, 1, 2, 3} {
			t.Run(fmt.Sprintf("%d-loops-%d-held", loops, gap), func(t *testing.T) {
				for range gap {
					f, err := os.Open(os.DevNull)
					assert.NilError(t, err)
					defer func() { assert.NilError(t, f.Close()) }()
				}
				g := nbio.NewEngine(nbio.Config{NPoller: loops})
				var p Prober
				g.OnData(func(c *nbio.Conn, _ []byte) { p.HandleProbe(c) })
				assert.NilError(t, g.Start())
				assert.NilError(t, p.AwaitLoops(g, loops))
				g.Stop()
			})
		}
	}
}
