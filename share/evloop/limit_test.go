package evloop

import (
	"os"
	"syscall"
	"testing"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
)

// The limit on descriptors is low. Those that are held for connections to come leave none for
// the files, listeners and engines that the process opens next.
func TestHeldDescriptorsLeaveSomeToOthers(t *testing.T) {
	const free = 100
	g := nbio.NewEngine(nbio.Config{NPoller: 1})
	g.OnData(func(c *nbio.Conn, data []byte) { c.DataHandler()(c, data) })
	assert.NilError(t, g.Start())
	var former syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &former))
	low := former
	f, err := os.Open(os.DevNull)
	assert.NilError(t, err)
	low.Cur = uint64(f.Fd()) + free
	assert.NilError(t, f.Close())
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low))
	t.Cleanup(func() { assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &former)) })
	var l Loops
	assert.NilError(t, l.Open(g, 1))
	t.Cleanup(func() {
		l.Close()
		g.Stop()
	})
	f, err = os.Open(os.DevNull)
	assert.NilError(t, err)
	assert.NilError(t, f.Close())
}
