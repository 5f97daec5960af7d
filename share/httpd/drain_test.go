package httpd

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// drainServer is a server with one event loop. It handles requests to /held until answer is
// called.
type drainServer struct {
	*Server
	// began counts the held requests whose handler has been called.
	began  atomic.Int32
	answer func()
	// close closes the server, and returns the same error if it is called again.
	close func() error
}

// startDrain starts a server, which the test closes at its end.
func startDrain(t *testing.T) *drainServer {
	t.Helper()
	held := make(chan struct{})
	d := &drainServer{answer: sync.OnceFunc(func() { close(held) })}
	d.Server = &Server{Address: "127.0.0.1:0", pollers: 1, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
		if r.URL.Path == "/held" {
			d.began.Add(1)
			<-held
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size)) // the caller may have disconnected
	})}
	d.close = sync.OnceValue(d.Close)
	assert.NilError(t, d.Start())
	t.Cleanup(func() { assert.NilError(t, d.close()) })
	t.Cleanup(d.answer)
	return d
}

// send sends a request without waiting for its answer.
func (c *client) send(t *testing.T, path string) {
	t.Helper()
	_, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
}

// receive reads an answer to its end, and returns its size.
func (c *client) receive() (int64, error) {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	n, err := io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return n, err
}

// isClosed reports whether the server has closed its end of a connection.
func isClosed(c *nbio.Conn) bool {
	c.Lock()
	defer c.Unlock()
	closed, _ := c.IsClosed()
	return closed
}

// waitAtMost waits until a condition holds, or for a while: a server need not let it become true.
func waitAtMost(condition func() bool) {
	for end := time.Now().Add(4 * settle); !condition() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// pauseBeforeWrite makes a server pause between the return of a handler and the write of its
// answer, until write is called. returned is closed once it pauses.
func (d *drainServer) pauseBeforeWrite(t *testing.T) (returned <-chan struct{}, write func()) {
	t.Helper()
	done, gate := make(chan struct{}), make(chan struct{})
	write = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(write)
	d.engine.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.serve(w, r)
		close(done)
		<-gate
	})
	return done, write
}

// timeOutIdle applies a short idle timeout for a while.
func (d *drainServer) timeOutIdle() {
	d.SetLimits(Limits{IdleTimeout: time.Millisecond})
	time.Sleep(2 * sweepInterval)
	d.SetLimits(Limits{})
	d.waitForLoops()
}

// startClose starts to close a server. closed is closed at the end.
func (d *drainServer) startClose(t *testing.T) (closed <-chan struct{}) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, d.close())
	}()
	return done
}

// hasInFlight returns a check that this many requests were read and their handlers have not
// returned.
func (d *drainServer) hasInFlight(want int) poll.Check {
	return func(poll.LogT) poll.Result {
		d.conns.mu.Lock()
		defer d.conns.mu.Unlock()
		got := 0
		for _, o := range d.conns.open {
			got += o.requests
		}
		if got != want {
			return poll.Continue("%d requests are in flight", got)
		}
		return poll.Success()
	}
}

// checkBetweenCloses has a server close two connections, and sends a request on one of them once
// the other is closed. A close takes until its caller has read an answer, since the sockets linger.
func checkBetweenCloses(t *testing.T, d *drainServer, closeBoth func()) {
	t.Helper()
	const linger, size = 5, 256 << 10 // in seconds; more than the callers' sockets take
	var callers [2]*client
	var ends [2]*nbio.Conn
	for i := range callers {
		callers[i] = dial(t, d.Server)
		callers[i].send(t, "/")
		_, err := callers[i].receive()
		assert.NilError(t, err)
		ends[i] = d.serverSide(callers[i].conn).(*nbio.Conn)
		assert.NilError(t, ends[i].SetLinger(1, linger))
		callers[i].send(t, "/?bytes="+strconv.Itoa(size))
	}
	time.Sleep(2 * idleGrace) // until the connections count as idle
	assert.Equal(t, d.Unsent(), 0)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		closeBoth()
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if isClosed(ends[0]) || isClosed(ends[1]) {
			return poll.Success()
		}
		return poll.Continue("no connection is closed")
	}, poll.WithDelay(time.Millisecond))
	first, second := callers[0], callers[1]
	if isClosed(ends[1]) {
		first, second = second, first
	}
	// TCP may delay what a caller sends while its receive buffer is full.
	n, err := second.receive()
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
	second.send(t, "/held")
	waitAtMost(func() bool { return d.began.Load() > 0 })
	n, err = first.receive()
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
	<-closed
	waitAtMost(func() bool { return d.began.Load() > 0 })
	began := d.began.Load()
	d.answer()
	if _, err := second.receive(); began > 0 {
		assert.NilError(t, err, "the answer of a request that was handled")
	}
}

// A request is read after CloseIdle has found its connection idle, and before it closes it. The
// request was handled and its caller got no answer.
func TestIdleCloseAnswersRequestsReadAfterItsCheck(t *testing.T) {
	d := startDrain(t)
	checkBetweenCloses(t, d, d.closeIdleNow)
}

// CloseIdle closes a connection whose event loop has taken a request from the socket and has not
// parsed it yet. The caller got no answer to a request that its host had read.
func TestIdleCloseSparesRequestsThatAreNotParsed(t *testing.T) {
	d := startDrain(t)
	c := dial(t, d.Server)
	c.send(t, "/")
	_, err := c.receive()
	assert.NilError(t, err)
	end := d.serverSide(c.conn).(*nbio.Conn)
	read, parse := make(chan struct{}), make(chan struct{})
	resume := sync.OnceFunc(func() { close(parse) })
	t.Cleanup(resume)
	handleData := end.DataHandler()
	end.OnData(func(c *nbio.Conn, data []byte) {
		close(read)
		<-parse
		handleData(c, data)
	})
	time.Sleep(2 * idleGrace) // until the connection counts as idle
	c.send(t, "/held")
	<-read
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		d.closeIdleNow()
	}()
	waitAtMost(func() bool { return isClosed(end) })
	resume()
	<-closed
	d.answer()
	_, err = c.receive()
	assert.NilError(t, err)
}

// A request is read after the idle timeout of its connection was checked, and before the
// connection is closed. The request was handled and its caller got no answer.
func TestIdleTimeoutAnswersRequestsReadAfterItsCheck(t *testing.T) {
	d := startDrain(t)
	checkBetweenCloses(t, d, d.timeOutIdle)
}

// CloseIdle and the idle timeout find a connection idle whose handler has returned some time
// before, on a host that paused before it wrote the answer. The caller got none.
func TestIdleCloseSparesAnswersThatAreNotWritten(t *testing.T) {
	for name, closeIdle := range map[string]func(*drainServer){
		"CloseIdle":    func(d *drainServer) { d.closeIdleNow() },
		"idle timeout": (*drainServer).timeOutIdle,
	} {
		t.Run(name, func(t *testing.T) {
			d := startDrain(t)
			returned, write := d.pauseBeforeWrite(t)
			c := dial(t, d.Server)
			c.send(t, "/")
			<-returned
			time.Sleep(2 * idleGrace) // until the connection counts as idle
			end := d.serverSide(c.conn).(*nbio.Conn)
			closeIdle(d)
			waitAtMost(func() bool { return isClosed(end) })
			write()
			_, err := c.receive()
			assert.NilError(t, err)
		})
	}
}

// Close ends a connection whose handler has returned and whose answer is not written yet. The
// caller got none.
func TestCloseWaitsForAnswersThatAreNotWritten(t *testing.T) {
	d := startDrain(t)
	returned, write := d.pauseBeforeWrite(t)
	c := dial(t, d.Server)
	c.send(t, "/")
	<-returned
	end := d.serverSide(c.conn).(*nbio.Conn)
	closed := d.startClose(t)
	waitAtMost(func() bool { return isClosed(end) })
	write()
	_, err := c.receive()
	assert.NilError(t, err)
	<-closed
}

// Close ends the connection of a caller that is reading its answer. The caller got a part of it.
func TestCloseLetsCallersReadTheirAnswers(t *testing.T) {
	d := startDrain(t)
	c := dial(t, d.Server)
	const size = 16 << 20 // more than the sockets take
	c.send(t, "/?bytes="+strconv.Itoa(size))
	_, err := c.reader.Peek(1)
	assert.NilError(t, err)
	end := d.serverSide(c.conn).(*nbio.Conn)
	poll.WaitOn(t, d.hasInFlight(0), poll.WithDelay(time.Millisecond))
	assert.Equal(t, d.Unsent(), 1)
	closed := d.startClose(t)
	waitAtMost(func() bool { return isClosed(end) })
	n, err := c.receive()
	assert.NilError(t, err, "after %d bytes of %d", n, size)
	assert.Equal(t, n, int64(size))
	<-closed
}

// Close ends a connection whose request was read and whose handler has not been called yet. The
// handler was called later and the caller got no answer.
func TestCloseWaitsForRequestsThatWereRead(t *testing.T) {
	d := startDrain(t)
	c := dial(t, d.Server)
	c.send(t, "/")
	_, err := c.receive()
	assert.NilError(t, err)
	end := d.serverSide(c.conn).(*nbio.Conn)
	handle := make(chan struct{})
	assert.Assert(t, end.Execute(func() { <-handle })) // handlers run after it
	release := sync.OnceFunc(func() { close(handle) })
	t.Cleanup(release)
	c.send(t, "/held")
	poll.WaitOn(t, d.hasInFlight(1), poll.WithDelay(time.Millisecond))
	closed := d.startClose(t)
	waitAtMost(func() bool { return isClosed(end) })
	release()
	d.answer()
	_, err = c.receive()
	<-closed
	waitAtMost(func() bool { return d.began.Load() > 0 })
	assert.NilError(t, err, "handled %d times", d.began.Load())
}

// Close finds no request in flight, though one has arrived that is read while Close stops the other
// parts of the server. It was handled and its caller got no answer.
func TestCloseAnswersRequestsReadDuringIt(t *testing.T) {
	for name, hold := range map[string]func(*testing.T, *drainServer) (c *client, release func()){
		"event loop is late": func(t *testing.T, d *drainServer) (*client, func()) {
			c := dial(t, d.Server)
			c.send(t, "/")
			_, err := c.receive()
			assert.NilError(t, err)
			return c, blockLoop(t, d.Server)
		},
		"accept is late": func(t *testing.T, d *drainServer) (*client, func()) {
			handled := make(chan struct{})
			d.workers.Go(func() { <-handled }) // Close waits for it too
			d.conns.mu.Lock()
			return dial(t, d.Server), func() {
				d.conns.mu.Unlock()
				waitAtMost(func() bool { return d.began.Load() > 0 })
				close(handled)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startDrain(t)
			c, release := hold(t, d)
			release = sync.OnceFunc(release)
			t.Cleanup(release)
			c.send(t, "/held")
			time.Sleep(settle) // until the request has crossed loopback
			closed := d.startClose(t)
			time.Sleep(settle) // until Close waits
			release()
			waitAtMost(func() bool { return d.Conns() == 0 })
			waitAtMost(func() bool { return d.began.Load() > 0 })
			d.answer()
			_, err := c.receive()
			<-closed
			if d.began.Load() > 0 {
				assert.NilError(t, err, "the answer of a request that was handled")
			}
		})
	}
}
