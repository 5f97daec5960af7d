package leaves

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/fetch"
	"dandelionstile/share/junk"
	"dandelionstile/share/sched"
)

// A leaf tells its state in what is no reply by the grammar of HTTP. The scheduler must not act on
// it, and a whole reply must still count.
func TestStateOutsideTheGrammarIsNotUsed(t *testing.T) {
	const headers = "Leaf-State: draining\r\nLeaf-Incarnation: 7\r\n"
	var text atomic.Value
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_ = junk.SendCut(c.(*net.TCPConn), text.Load().(string), false) // the pool may have closed
			}
			_ = c.Close() // fails only if SendCut has closed it
		}
	})
	e := &fetch.Engine{}
	assert.NilError(t, e.Start())
	probes := make(chan ProbeDone, 1)
	p := &Pool{HTTP: e, Report: func(message any) {
		if probe, ok := message.(ProbeDone); ok {
			probes <- probe
		}
	}}
	t.Cleanup(func() {
		assert.NilError(t, p.Close())
		assert.NilError(t, e.Close())
		assert.NilError(t, ln.Close())
		serving.Wait()
	})
	id := sched.ConnID(0)
	probe := func(reply string) ProbeDone {
		id++
		text.Store(reply)
		p.Probe(ln.Addr().String(), sched.Probe{Leaf: "l", Conn: id})
		return <-probes
	}
	for name, reply := range junk.Broken(headers) {
		got := probe(reply)
		assert.Check(t, got.Err != nil && !got.Status.Draining && got.Status.Incarnation == 0, "%s: %+v", name, got)
	}
	got := probe(junk.Whole(headers)["closing"])
	assert.NilError(t, got.Err)
	assert.Assert(t, got.Status.Draining && got.Status.Incarnation == 7, "%+v", got.Status)
}
