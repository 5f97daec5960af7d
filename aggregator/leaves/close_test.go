package leaves

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/fetch"
	"dandelionstile/share/sched"
)

// The control loop goes on while the pool closes, and closes connections whose calls have ended.
// The process must not end in a panic by that, which looked like a crash to those who restart it.
func TestConnectionsMayCloseWhileThePoolCloses(t *testing.T) {
	e := &fetch.Engine{}
	assert.NilError(t, e.Start())
	t.Cleanup(func() { assert.NilError(t, e.Close()) })
	const rounds, conns = 2000, 8
	for range rounds {
		p := &Pool{HTTP: e, Report: func(any) {}}
		for id := range sched.ConnID(conns) {
			p.ensureConn(id, "127.0.0.1:1", "l")
		}
		var loop sync.WaitGroup
		loop.Go(func() {
			for id := range sched.ConnID(conns) {
				p.CloseConn(id)
				p.ensureConn(id, "127.0.0.1:1", "l")
				p.CloseConn(id)
			}
		})
		assert.NilError(t, p.Close())
		loop.Wait()
	}
}
