package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/router"
)

// fakeLeaf is a leaf whose connections are each handled by a script.
type fakeLeaf struct {
	t        *testing.T
	ln       net.Listener
	wait     sync.WaitGroup
	accepted chan struct{}
}

// serve starts a leaf that runs a script for each connection.
func serve(t *testing.T, script func(net.Conn, *bufio.Reader)) *fakeLeaf {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &fakeLeaf{t: t, ln: ln, accepted: make(chan struct{}, 10_000)}
	l.wait.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.accepted <- struct{}{}
			l.wait.Go(func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		assert.NilError(t, ln.Close())
		l.wait.Wait()
	})
	return l
}

// conns returns how many connections the leaf has accepted, without those that a test has
// received from accepted.
func (l *fakeLeaf) conns() int { return len(l.accepted) }

// caller makes calls through a pool, one at a time.
type caller struct {
	t    *testing.T
	pool *Pool
	done chan router.CallDone
	last uint64
}

func newCaller(t *testing.T) *caller {
	t.Helper()
	c := &caller{t: t, done: make(chan router.CallDone, 10)}
	c.pool = &Pool{Dialect: DefaultDialect, Clock: clock.Wall{}, OnDone: func(d router.CallDone) { c.done <- d }}
	t.Cleanup(func() { assert.NilError(t, c.pool.Close()) })
	return c
}

const testTimeout = 5 * time.Second

func (c *caller) send(l *fakeLeaf, id string, body []byte) {
	c.last++
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	c.pool.Send(router.Send{
		Call: c.last, Leaf: "leaf-1", Address: l.ln.Addr().String(), Timeout: 1000,
		Request: &call.Request{ID: id, Method: method, Target: "/a//b?x=%2f", Host: "h", Header: http.Header{"Own": {"1"}}, Body: body},
	})
}

func (c *caller) result() router.CallDone {
	c.t.Helper()
	select {
	case d := <-c.done:
		return d
	case <-time.After(testTimeout):
		c.t.Fatal("the call did not end")
		return router.CallDone{}
	}
}

// ask sends a request and returns the result of the call.
func (c *caller) ask(l *fakeLeaf, id string) router.CallDone {
	c.t.Helper()
	c.send(l, id, nil)
	return c.result()
}

// readRequest reads a request with its body, and returns nil if the connection has ended.
func readRequest(t *testing.T, r *bufio.Reader) *http.Request {
	t.Helper()
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, err = io.Copy(io.Discard, q.Body)
	assert.NilError(t, err)
	return q
}

// writeText writes a text with line ends as in HTTP.
func writeText(c net.Conn, text string) {
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
}

// response returns a stamped reply to a request, with a body of up to 9 bytes.
func response(id, body string) string {
	return "HTTP/1.1 200 OK\nRequest-Id: " + id + "\nLeaf-Stamp: s-" + id + "\nContent-Length: " +
		string(rune('0'+len(body))) + "\n\n" + body
}

// net/http's writer would normalise the target (// and %2f). The leaf must get the caller's
// request with the headers of the dialect added, and both requests over one connection.
func TestRequestPassesUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 2)
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		for q := readRequest(t, r); q != nil; q = readRequest(t, r) {
			seen <- q
			writeText(c, response(q.Header.Get("Request-Id"), "body"))
		}
	})
	c := newCaller(t)
	for _, id := range []string{"one", "two"} {
		d := c.ask(l, id)
		assert.Equal(t, d.Kind, call.Answered)
		assert.Equal(t, string(d.Reply.Body), "body")
		assert.Equal(t, d.Reply.Stamp, "s-"+id)
		q := <-seen
		assert.Equal(t, q.RequestURI, "/a//b?x=%2f")
		assert.Equal(t, q.Host, "h")
		assert.Equal(t, q.Header.Get("Own"), "1")
		assert.Equal(t, q.Header.Get("Expect-Leaf"), "leaf-1")
		assert.Equal(t, q.Header.Get("Deadline-Ms"), "1000")
	}
	assert.Equal(t, l.conns(), 1)
}

// A leaf truncates its reply: in its head, with a length, in chunks, or by a reset where the
// reply ends with the connection. A partial reply must not count as a whole one.
func TestTruncatedReplyIsBroken(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\nLeaf-Stamp: s\nContent-Length: 10\n\nhalf",
		"chunks":  "HTTP/1.1 200 OK\nLeaf-Stamp: s\nTransfer-Encoding: chunked\n\n4\nhalf\n",
		"head":    "HTTP/1.1 200 OK\nLeaf-Sta",
		"garbage": "\x00\x01\x02 no reply\n\n",
		"reset":   "HTTP/1.1 200 OK\nLeaf-Stamp: s\n\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			l := serve(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				writeText(c, text)
				if name == "reset" {
					time.Sleep(20 * time.Millisecond)
					assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
				}
			})
			assert.Equal(t, newCaller(t).ask(l, "x").Kind, call.Broken)
		})
	}
}

// A reply without a length ends with an orderly close of its connection and is
// complete.
func TestReplyMayEndWithItsConnection(t *testing.T) {
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		writeText(c, "HTTP/1.1 200 OK\nLeaf-Stamp: s\n\nwhole")
	})
	d := newCaller(t).ask(l, "x")
	assert.Equal(t, d.Kind, call.Answered)
	assert.Equal(t, string(d.Reply.Body), "whole")
}

// A leaf sends a second reply to the first request while the next request is in flight.
// The next caller must get its own reply, not the stray one.
func TestStrayReplyIsSkipped(t *testing.T) {
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		first := readRequest(t, r)
		writeText(c, response(first.Header.Get("Request-Id"), "one"))
		q := readRequest(t, r)
		if q == nil {
			return
		}
		writeText(c, response(first.Header.Get("Request-Id"), "old"))
		writeText(c, response(q.Header.Get("Request-Id"), "new"))
		readRequest(t, r)
	})
	c := newCaller(t)
	assert.Equal(t, string(c.ask(l, "a").Reply.Body), "one")
	d := c.ask(l, "b")
	assert.Equal(t, d.Kind, call.Answered)
	assert.Equal(t, string(d.Reply.Body), "new")
}

// Bytes arrive on an idle connection, outside any call. The connection must not be
// used again.
func TestBytesOnAnIdleConnectionCloseIt(t *testing.T) {
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		q := readRequest(t, r)
		if q == nil {
			return
		}
		writeText(c, response(q.Header.Get("Request-Id"), "one"))
		time.Sleep(20 * time.Millisecond)
		writeText(c, response("zz", "odd"))
		readRequest(t, r)
	})
	c := newCaller(t)
	c.ask(l, "a")
	time.Sleep(80 * time.Millisecond)
	assert.Equal(t, string(c.ask(l, "b").Reply.Body), "one")
	assert.Equal(t, l.conns(), 2)
}

// A leaf replies before it has read the body and keeps the connection. It would
// read another request as the rest of the body, so the next one needs a new connection.
func TestEarlyReplyDoesNotFreeTheConnection(t *testing.T) {
	release := make(chan struct{})
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeText(c, response(q.Header.Get("Request-Id"), "no"))
		<-release
	})
	c := newCaller(t)
	c.send(l, "a", make([]byte, 8<<20))
	assert.Equal(t, c.result().Kind, call.Answered)
	c.send(l, "b", make([]byte, 8<<20))
	assert.Equal(t, c.result().Kind, call.Answered)
	assert.Equal(t, l.conns(), 2)
	close(release)
}

// A rejection that is taken for an answer is not retried, and an answer that is taken for a
// rejection runs twice.
func TestRejectionsAreClassified(t *testing.T) {
	for text, kind := range map[string]call.Kind{
		"HTTP/1.1 503 Busy\nNot-Run: 1\nContent-Length: 0\n\n":       call.Shed,
		"HTTP/1.1 421 Wrong\nContent-Length: 0\n\n":                  call.Foreign,
		"HTTP/1.1 500 Oops\nContent-Length: 0\n\n":                   call.Answered,
		"HTTP/1.1 200 OK\nRelay-Worked-Ms: 1\nContent-Length: 0\n\n": call.Broken,   // a host's header does not replace the stamp
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n":                     call.Broken,   // no stamp
		"HTTP/1.1 503 Full\nLeaf-Stamp: s\nContent-Length: 0\n\n":    call.Answered, // without Not-Run it may have run
	} {
		l := serve(t, func(c net.Conn, r *bufio.Reader) {
			if readRequest(t, r) != nil {
				writeText(c, text)
				readRequest(t, r)
			}
		})
		assert.Equal(t, newCaller(t).ask(l, "x").Kind, kind, "%q", text)
	}
}

// Nothing listens at the address. The request was not sent and may be tried elsewhere.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	assert.Equal(t, newCaller(t).ask(&fakeLeaf{ln: ln}, "x").Kind, call.NotSent)
}

// A call is cancelled while the leaf works. The leaf's connection must be closed at once,
// so that the leaf can stop.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	l := serve(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		_, err := r.ReadByte()
		assert.Assert(t, err != nil)
		close(closed)
	})
	c := newCaller(t)
	c.send(l, "x", nil)
	<-l.accepted
	time.Sleep(20 * time.Millisecond)
	c.pool.Cancel(1) // the only call
	assert.Equal(t, c.result().Kind, call.Cancelled)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the leaf's connection stayed open")
	}
}

// A leaf names its idle timeout. The connection must not be used close to that
// time, when the request would cross the leaf's close.
func TestIdleTimeoutOfTheLeafIsRespected(t *testing.T) {
	assert.Equal(t, parseIdleTimeout(http.Header{"Keep-Alive": {"max=5, timeout=7"}}), 7*clock.Second)
	assert.Equal(t, parseIdleTimeout(http.Header{"Keep-Alive": {"timeout=soon"}}), clock.Milli(0))
	var now clock.Virtual
	p := &Pool{Clock: &now}
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	c := newConn(local, &p.Dialect, &p.Memory)
	p.putIdle("l", c, 3*clock.Second)
	// The timeout of 3 s less idleMargin: 2,000 ms.
	now.Run(1900)
	assert.Assert(t, c.alive(now.Now()))
	now.Run(2100)
	assert.Assert(t, !c.alive(now.Now()))
	c.close()
}

// A leaf at its connection limit resets each connection as it accepts it, as after a
// power loss of all hosts, whose old connections it still holds. A request that must run
// only once was sent on such a connection and reported as possibly run. It must wait until
// the connection has stayed open for a moment, so that another leaf can take it.
func TestFullLeafGetsNoRequest(t *testing.T) {
	reset := func(c net.Conn, _ *bufio.Reader) {
		assert.Check(t, c.(*net.TCPConn).SetLinger(0))
	}
	l := serve(t, reset)
	c := newCaller(t)
	c.pool.Send(router.Send{
		Call: 1, Leaf: "l", Address: l.ln.Addr().String(), Timeout: 1000, AwaitRejection: true,
		Request: &call.Request{ID: "q", Method: "POST", Target: "/x", Host: "h", Header: http.Header{}},
	})
	d := <-c.done
	assert.Equal(t, d.Kind, call.Full, d.Cause)
	assert.Assert(t, d.Kind.NotRun())
}

// The host cancels a call before its connection is open. Nothing was sent, and it
// says nothing about the leaf: when it was reported as a failed dial, such calls made
// thousands of healthy leaves suspect in a day.
func TestCallGivenUpBeforeItsConnectionIsWithdrawn(t *testing.T) {
	c := newCaller(t)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.pool.dial(ctx, listener.Addr().String())
	d := dialFailure(ctx, err)
	assert.Equal(t, d.Kind, call.Withdrawn, d.Cause)
	assert.Assert(t, d.Kind.NotRun())
}

// slowClock is a clock on which everything takes long.
type slowClock struct{ reads atomic.Int64 }

// Now returns a time that is 300 ms after the former one.
func (c *slowClock) Now() clock.Milli { return clock.Milli(300 * c.reads.Add(1)) }

// A leaf is removed or begins to drain while a call to it waits for its connection. The
// request must not be sent to it a moment later, and an idle connection must not stay open.
func TestForgottenLeafGetsNoRequest(t *testing.T) {
	received := make(chan string, 10)
	l := serve(t, func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			received <- "the connection was closed"
			return
		}
		received <- r.Header.Get(DefaultDialect.RequestID)
		writeText(c, response(r.Header.Get(DefaultDialect.RequestID), "done"))
		_, err = in.ReadByte()
		assert.Check(t, err != nil)
		received <- "the connection was closed"
	})
	c := newCaller(t)
	c.pool.Clock = &slowClock{} // a new connection is watched for as long as it took to open
	send := router.Send{
		Call: 1, Leaf: "l", Address: l.ln.Addr().String(), Timeout: 1000, AwaitRejection: true,
		Request: &call.Request{ID: "q", Method: "GET", Target: "/x", Host: "h", Header: http.Header{}},
	}
	c.pool.Send(send)
	<-l.accepted
	c.pool.Forget("l")
	d := <-c.done
	assert.Equal(t, d.Kind, call.Withdrawn, d.Cause)
	assert.Equal(t, <-received, "the connection was closed")
	send.Call = 2
	c.pool.Send(send)
	assert.Equal(t, (<-c.done).Kind, call.Answered)
	assert.Equal(t, <-received, "q")
	c.pool.Forget("l")
	assert.Equal(t, <-received, "the connection was closed")
}

// After a broken call, a connection check finds out whether the leaf went down. It must
// report only an address at which nothing listens.
func TestConnCheckReportsOnlyRefusedConnections(t *testing.T) {
	refused := make(chan router.ConnRefused, 2)
	p := &Pool{Dialect: DefaultDialect, Clock: clock.Wall{}, OnConnRefused: func(a router.ConnRefused) { refused <- a }}
	open := serve(t, func(net.Conn, *bufio.Reader) {})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.CheckConn(router.CheckConn{Leaf: "here", Address: open.ln.Addr().String()})
	assert.NilError(t, closed.Close())
	p.CheckConn(router.CheckConn{Leaf: "gone", Address: closed.Addr().String()})
	select {
	case a := <-refused:
		assert.Equal(t, a.Leaf, "gone")
	case <-time.After(testTimeout):
		t.Fatal("the refused connection was not reported")
	}
	assert.NilError(t, p.Close())
	assert.Equal(t, len(refused), 0)
}
