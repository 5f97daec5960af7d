package evloop

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// openDescriptors returns how many descriptors the process has open.
func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	return len(entries)
}

// A process runs out of descriptors. Those that are held must be freed, and not be taken again
// at once, or it could accept and open nothing.
func TestHeldDescriptorsAreReleased(t *testing.T) {
	g, l := startEngine(t, 2)
	t.Cleanup(func() {
		l.Close()
		g.Stop()
	})
	before := openDescriptors(t)
	l.Release(errors.Wrap(os.NewSyscallError("accept4", syscall.EMFILE), "accept"))
	assert.Equal(t, openDescriptors(t), before-maxHeld)
	_, conn := dialLocal(t)
	added := make(chan *nbio.Conn, 1)
	assert.NilError(t, l.Add(conn, func(c *nbio.Conn) { added <- c }))
	l.Prepare()
	assert.NilError(t, (<-added).Close())
	assert.Assert(t, openDescriptors(t) < before-maxHeld/2)
	l.held.resume = time.Now()
	l.Prepare()
	assert.Assert(t, openDescriptors(t) >= before)
}
