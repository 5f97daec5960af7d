package evloop

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"
)

// startEngine starts an engine and connects to its loops.
func startEngine(t *testing.T, count int) (*nbio.Engine, *Loops) {
	t.Helper()
	g := nbio.NewEngine(nbio.Config{NPoller: count})
	g.OnData(func(c *nbio.Conn, data []byte) { c.DataHandler()(c, data) })
	assert.NilError(t, g.Start())
	var l Loops
	assert.NilError(t, l.Open(g, count))
	return g, &l
}

// The engine assigns connections to loops by their descriptors. If the free descriptors
// have the same remainder each time, a loop gets none of the connections and Close would
// never end.
func TestEveryLoopIsReached(t *testing.T) {
	for _, loops := range []int{1, 2, 3, 4} {
		for _, gap := range []int{0, 1, 2, 3} {
			t.Run(fmt.Sprintf("%d-loops-%d-held", loops, gap), func(t *testing.T) {
				for range gap {
					f, err := os.Open(os.DevNull)
					assert.NilError(t, err)
					defer func() { assert.NilError(t, f.Close()) }()
				}
				g, l := startEngine(t, loops)
				for i, lp := range l.loops {
					assert.Equal(t, lp.conn.Hash()%loops, i)
				}
				l.Close()
				g.Stop()
			})
		}
	}
}

// dialLocal returns both ends of a connection.
func dialLocal(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	client, err = net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err = ln.Accept()
	assert.NilError(t, err)
	return client, server
}

// addConn adds a connection that calls onData, and returns its other end.
func addConn(t *testing.T, g *nbio.Engine, l *Loops, onData func()) net.Conn {
	t.Helper()
	client, server := dialLocal(t)
	added := make(chan struct{})
	assert.NilError(t, l.Add(server, func(c *nbio.Conn) {
		c.OnData(func(*nbio.Conn, []byte) { onData() })
		_, err := g.AddConn(c)
		assert.Check(t, err)
		close(added)
	}))
	<-added
	return client
}

// send makes the other end of a connection readable.
func send(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte{0})
	assert.NilError(t, err)
}

// holdLoop blocks an event loop until release is called.
func holdLoop(lp *loop) (release func()) {
	held, block := make(chan struct{}), make(chan struct{})
	lp.call(func() {
		close(held)
		<-block
	})
	<-held
	return func() { close(block) }
}

// useConfirmed takes all confirmed descriptors, as connections would.
func (d *descriptors) useConfirmed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.loops {
		lp := &d.loops[i]
		d.fresh = append(d.fresh, lp.confirmed...)
		lp.confirmed = nil
	}
}

// A loop is in the middle of a batch, in which events of a former connection may wait. A
// connection with that descriptor must not be added before the batch has ended.
func TestConnectionWaitsForTheNextBatch(t *testing.T) {
	const settle = 50 * time.Millisecond
	g, l := startEngine(t, 1)
	l.held.useConfirmed()
	release := holdLoop(l.loops[0])
	_, conn := dialLocal(t)
	added := make(chan *nbio.Conn, 1)
	assert.NilError(t, l.Add(conn, func(c *nbio.Conn) { added <- c }))
	time.Sleep(settle)
	assert.Equal(t, len(added), 0)
	release()
	assert.NilError(t, (<-added).Close())
	l.Close()
	g.Stop()
}

// Calls come before and while the loop handles a batch that the byte which wakes it is in.
// They must wait for the next batch, since events of a former connection may follow in this
// one.
func TestCallDuringABatchWaitsForTheNext(t *testing.T) {
	g, l := startEngine(t, 1)
	lp := l.loops[0]
	var order []string // only used by the loop until it has ended
	entered, proceed := make(chan struct{}), make(chan struct{})
	before := addConn(t, g, l, func() {
		order = append(order, "before")
		entered <- struct{}{}
		<-proceed
	})
	after := addConn(t, g, l, func() { order = append(order, "after") })
	send(t, before)
	<-entered // in the first batch
	// The second batch has these events in this order.
	send(t, before)
	lp.call(func() { order = append(order, "first call") })
	send(t, after)
	proceed <- struct{}{}
	<-entered // in the second batch
	lp.call(func() { order = append(order, "second call") })
	proceed <- struct{}{}
	l.Close()
	g.Stop()
	assert.DeepEqual(t, order, []string{"before", "before", "after", "first call", "second call"})
}

// unixConn returns a connection whose other end is closed.
func unixConn(t *rapid.T) net.Conn {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	assert.NilError(t, syscall.Close(pair[1]))
	file := os.NewFile(uintptr(pair[0]), "conn")
	conn, err := net.FileConn(file)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	return conn
}

// A descriptor that was free must not be used before its loop has confirmed it, whatever
// order connections come, end and are confirmed in.
func TestOnlyConfirmedDescriptorsAreUsed(t *testing.T) {
	file, err := os.Open(os.DevNull)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	rapid.Check(t, func(t *rapid.T) {
		loops := rapid.IntRange(1, 3).Draw(t, "loops")
		var d descriptors
		assert.NilError(t, d.open(int(file.Fd()), loops))
		defer d.close()
		ended := map[int]bool{} // descriptors of connections that have ended, until they are confirmed
		var open []*nbio.Conn
		defer func() {
			for _, c := range open {
				assert.Check(t, c.Close())
			}
		}()
		var pending []int
		round := 0
		t.Repeat(map[string]func(*rapid.T){
			"connect": func(t *rapid.T) {
				c, confirmed, err := d.convert(unixConn(t))
				assert.NilError(t, err)
				assert.Assert(t, !confirmed || !ended[c.Hash()])
				open = append(open, c)
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "connection")
				ended[open[i].Hash()] = true
				assert.NilError(t, open[i].Close())
				open = slices.Delete(open, i, i+1)
			},
			"prepare": func(*rapid.T) {
				loops, now := d.prepare()
				if len(loops) > 0 {
					pending, round = loops, now
				}
			},
			"release": func(*rapid.T) {
				d.release()
				d.resume = time.Time{}
			},
			"confirm": func(*rapid.T) {
				for _, i := range pending {
					if round == d.round {
						for _, fd := range d.loops[i].pending {
							delete(ended, fd)
						}
					}
					d.confirm(i, round)
				}
				pending = nil
			},
		})
	})
}

// A program closes its connections while others are still being opened. Those must be
// closed too, and the caller must be told.
func TestAddAfterClose(t *testing.T) {
	g, l := startEngine(t, 2)
	l.Close()
	client, server := dialLocal(t)
	err := l.Add(server, func(*nbio.Conn) { t.Error("added") })
	assert.Assert(t, errors.Is(err, ErrClosed))
	assert.NilError(t, client.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	g.Stop()
}

// Connections that stay open must be spread over the loops. Otherwise one large request
// would delay all of them.
func TestOpenConnectionsAreSpread(t *testing.T) {
	const loops, conns = 2, 20
	g, l := startEngine(t, loops)
	var perLoop [loops]int
	var open []*nbio.Conn
	for range conns {
		_, server := dialLocal(t)
		added := make(chan *nbio.Conn, 1)
		assert.NilError(t, l.Add(server, func(c *nbio.Conn) { added <- c }))
		c := <-added
		open = append(open, c)
		perLoop[c.Hash()%loops]++
		l.Prepare()
	}
	assert.Equal(t, perLoop, [loops]int{conns / loops, conns / loops})
	for _, c := range open {
		assert.NilError(t, c.Close())
	}
	l.Close()
	g.Stop()
}

// Two loops that own a connection would close it while the other one reads it; one that no loop
// owns would stay open.
func TestEveryConnectionHasOneLoop(t *testing.T) {
	const loops, conns = 3, 12
	g, l := startEngine(t, loops)
	added := make(chan *nbio.Conn, conns)
	for range conns {
		client, server := dialLocal(t)
		defer func() { assert.NilError(t, client.Close()) }()
		assert.NilError(t, l.Add(server, func(c *nbio.Conn) {
			_, err := g.AddConn(c)
			assert.Check(t, err)
			added <- c
		}))
	}
	owners := map[int]int{}
	var mu sync.Mutex
	for range conns {
		c := <-added
		l.Each(func(owns func(*nbio.Conn) bool) {
			mu.Lock()
			defer mu.Unlock()
			if owns(c) {
				owners[c.Hash()]++
			}
		})()
	}
	assert.Equal(t, len(owners), conns)
	for _, n := range owners {
		assert.Equal(t, n, 1)
	}
	l.Close()
	l.Each(func(func(*nbio.Conn) bool) { t.Error("called after Close") })()
	g.Stop()
}

// readConn is a connection that counts the bytes that its loop reads.
type readConn struct {
	*nbio.Conn
	peer net.Conn
	read atomic.Int32
}

// addReadConn adds a connection that counts.
func addReadConn(t *testing.T, g *nbio.Engine, l *Loops) *readConn {
	t.Helper()
	peer, server := dialLocal(t)
	r := &readConn{peer: peer}
	added := make(chan *nbio.Conn, 1)
	assert.NilError(t, l.Add(server, func(c *nbio.Conn) {
		c.OnData(func(_ *nbio.Conn, data []byte) { r.read.Add(int32(len(data))) })
		_, err := g.AddConn(c)
		assert.Check(t, err)
		added <- c
	}))
	r.Conn = <-added
	return r
}

// A function finds a connection idle and closes it, and a request on it is read in between: it
// would be handled and its caller get no answer.
func TestLoopReadsNothingDuringItsFunctions(t *testing.T) {
	const loops, conns, settle = 2, 4, 50 * time.Millisecond
	g, l := startEngine(t, loops)
	var open []*readConn
	for range conns {
		open = append(open, addReadConn(t, g, l))
		l.Prepare()
	}
	perLoop := map[int]int{}
	for _, r := range open {
		perLoop[r.Hash()%loops]++
		// checkUnread sends on the connection and checks that nothing is read meanwhile.
		checkUnread := func() {
			before := r.read.Load()
			_, err := r.peer.Write([]byte{0})
			assert.Check(t, err)
			time.Sleep(settle)
			assert.Check(t, r.read.Load() == before, "read in between")
		}
		l.Each(func(owns func(*nbio.Conn) bool) {
			if owns(r.Conn) {
				checkUnread()
			}
		})()
		called := make(chan struct{})
		l.Call(r.Conn, func() {
			defer close(called)
			checkUnread()
		})
		<-called
	}
	assert.Equal(t, len(perLoop), loops)
	const sent = 2 // to each connection
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range open {
			if n := r.read.Load(); n != sent {
				return poll.Continue("%d bytes of %d are read", n, sent)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for _, r := range open {
		assert.NilError(t, r.Close())
	}
	l.Close()
	g.Stop()
}
