package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/router"
)

// leafAt answers each connection by a script.
type leafAt struct {
	t        *testing.T
	ln       net.Listener
	wait     sync.WaitGroup
	accepted chan struct{}
}

// serve starts a leaf that gives each connection to a script.
func serve(t *testing.T, script func(net.Conn, *bufio.Reader)) *leafAt {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &leafAt{t: t, ln: ln, accepted: make(chan struct{}, 100)}
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

// conns is how many connections the leaf has had.
func (l *leafAt) conns() int { return len(l.accepted) }

// caller makes calls through a pool, one at a time.
type caller struct {
	t    *testing.T
	pool *Pool
	done chan router.Done
	last uint64
}

func newCaller(t *testing.T) *caller {
	t.Helper()
	c := &caller{t: t, done: make(chan router.Done, 10)}
	c.pool = &Pool{Dialect: DefaultDialect, Clock: clock.Wall{}, OnDone: func(d router.Done) { c.done <- d }}
	t.Cleanup(func() { assert.NilError(t, c.pool.Close()) })
	return c
}

const patience = 5 * time.Second

func (c *caller) send(l *leafAt, id string, body []byte) {
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

func (c *caller) result() router.Done {
	c.t.Helper()
	select {
	case d := <-c.done:
		return d
	case <-time.After(patience):
		c.t.Fatal("the call did not end")
		return router.Done{}
	}
}

func (c *caller) ask(l *leafAt, id string) router.Done {
	c.t.Helper()
	c.send(l, id, nil)
	return c.result()
}

func take(t *testing.T, r *bufio.Reader) *http.Request {
	t.Helper()
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, err = io.Copy(io.Discard, q.Body)
	assert.NilError(t, err)
	return q
}

func say(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\nRequest-Id: " + id + "\nLeaf-Stamp: s-" + id + "\nContent-Length: " +
		string(rune('0'+len(body))) + "\n\n" + body
}

// A request passes unchanged but for the tier's own headers, and the
// connection is used again for the next.
func TestRequestPassesUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 2)
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		for q := take(t, r); q != nil; q = take(t, r) {
			seen <- q
			say(c, answer(q.Header.Get("Request-Id"), "body"))
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

// A leaf breaks off in the middle of its reply, with a length, in chunks, or
// by a reset where the end of the connection would be the end of the reply.
// None of these is a reply: a caller must not take a part for the whole.
func TestReplyThatBreaksOffIsNone(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\nLeaf-Stamp: s\nContent-Length: 10\n\nhalf",
		"chunks":  "HTTP/1.1 200 OK\nLeaf-Stamp: s\nTransfer-Encoding: chunked\n\n4\nhalf\n",
		"head":    "HTTP/1.1 200 OK\nLeaf-Sta",
		"garbage": "\x00\x01\x02 no reply\n\n",
		"reset":   "HTTP/1.1 200 OK\nLeaf-Stamp: s\n\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			l := serve(t, func(c net.Conn, r *bufio.Reader) {
				take(t, r)
				say(c, text)
				if name == "reset" {
					time.Sleep(20 * time.Millisecond)
					assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
				}
			})
			assert.Equal(t, newCaller(t).ask(l, "x").Kind, call.Broken)
		})
	}
}

// A reply without a length that ends with its connection in good order is
// whole.
func TestReplyMayEndWithItsConnection(t *testing.T) {
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		take(t, r)
		say(c, "HTTP/1.1 200 OK\nLeaf-Stamp: s\n\nwhole")
	})
	d := newCaller(t).ask(l, "x")
	assert.Equal(t, d.Kind, call.Answered)
	assert.Equal(t, string(d.Reply.Body), "whole")
}

// A leaf sends a second reply after the first, at once or when the next
// request is already on its way. The next caller gets its own answer and not
// the stray one, which names another request.
func TestStrayReplyReachesNobody(t *testing.T) {
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		first := take(t, r)
		say(c, answer(first.Header.Get("Request-Id"), "one"))
		q := take(t, r)
		if q == nil {
			return
		}
		say(c, answer(first.Header.Get("Request-Id"), "old"))
		say(c, answer(q.Header.Get("Request-Id"), "new"))
		take(t, r)
	})
	c := newCaller(t)
	assert.Equal(t, string(c.ask(l, "a").Reply.Body), "one")
	d := c.ask(l, "b")
	assert.Equal(t, d.Kind, call.Answered)
	assert.Equal(t, string(d.Reply.Body), "new")
}

// Bytes come on an idle connection. They belong to nobody, and the connection
// is not used again.
func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		q := take(t, r)
		if q == nil {
			return
		}
		say(c, answer(q.Header.Get("Request-Id"), "one"))
		time.Sleep(20 * time.Millisecond)
		say(c, answer("zz", "odd"))
		take(t, r)
	})
	c := newCaller(t)
	c.ask(l, "a")
	time.Sleep(80 * time.Millisecond)
	assert.Equal(t, string(c.ask(l, "b").Reply.Body), "one")
	assert.Equal(t, l.conns(), 2)
}

// A leaf answers before it has read the body and keeps the connection. Another
// request on it would be read as the rest of the body, so it goes elsewhere.
func TestEarlyReplyDoesNotFreeTheConnection(t *testing.T) {
	release := make(chan struct{})
	l := serve(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		say(c, answer(q.Header.Get("Request-Id"), "no"))
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

// What a leaf says of a request that it did not run is told from failures.
func TestRefusalsAreTold(t *testing.T) {
	for text, kind := range map[string]call.Kind{
		"HTTP/1.1 503 Busy\nNot-Run: 1\nContent-Length: 0\n\n":       call.Shed,
		"HTTP/1.1 421 Wrong\nContent-Length: 0\n\n":                  call.Foreign,
		"HTTP/1.1 500 Oops\nContent-Length: 0\n\n":                   call.Answered,
		"HTTP/1.1 200 OK\nRelay-Worked-Ms: 1\nContent-Length: 0\n\n": call.Broken, // a leaf is no host
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n":                     call.Broken, // no signature
		"HTTP/1.1 503 Full\nLeaf-Stamp: s\nContent-Length: 0\n\n":    call.Answered,
	} {
		l := serve(t, func(c net.Conn, r *bufio.Reader) {
			if take(t, r) != nil {
				say(c, text)
				take(t, r)
			}
		})
		assert.Equal(t, newCaller(t).ask(l, "x").Kind, kind, "%q", text)
	}
}

// Nobody listens: the request has not left this host, which is said so.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	assert.Equal(t, newCaller(t).ask(&leafAt{ln: ln}, "x").Kind, call.NotSent)
}

// A call is given up: the leaf sees its connection close at once.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	l := serve(t, func(_ net.Conn, r *bufio.Reader) {
		take(t, r)
		_, err := r.ReadByte()
		assert.Assert(t, err != nil)
		close(closed)
	})
	c := newCaller(t)
	c.send(l, "x", nil)
	<-l.accepted
	time.Sleep(20 * time.Millisecond)
	c.pool.Cancel(1)
	assert.Equal(t, c.result().Kind, call.Cancelled)
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the leaf's connection stayed open")
	}
}

// A leaf names how long it keeps an idle connection. It is not used beyond:
// the request would cross the leaf's close.
func TestIdleTimeoutOfTheLeafIsKept(t *testing.T) {
	assert.Equal(t, idleTime(http.Header{"Keep-Alive": {"max=5, timeout=7"}}), 7*clock.Second)
	assert.Equal(t, idleTime(http.Header{"Keep-Alive": {"timeout=soon"}}), clock.Milli(0))
	var now clock.Virtual
	p := &Pool{Clock: &now}
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := newConn(ours, &p.Dialect)
	p.put("l", c, 3*clock.Second)
	now.Run(1900)
	assert.Assert(t, c.alive(now.Now()))
	now.Run(2100)
	assert.Assert(t, !c.alive(now.Now()))
	c.shut()
}

// A leaf holds all the connections it accepts, as after a loss of power of all
// hosts, whose connections it does not know to be gone: it resets each new one. A
// request that may run once only was sent on such a connection, and its caller was
// told that it may have run. It is held until the connection has stood for a
// moment, so that it can go elsewhere.
func TestFullLeafGetsNoRequest(t *testing.T) {
	reset := func(c net.Conn, _ *bufio.Reader) {
		assert.Check(t, c.(*net.TCPConn).SetLinger(0))
	}
	l := serve(t, reset)
	c := newCaller(t)
	c.pool.Send(router.Send{
		Call: 1, Leaf: "l", Address: l.ln.Addr().String(), Timeout: 1000, Watch: true,
		Request: &call.Request{ID: "q", Method: "POST", Target: "/x", Host: "h", Header: http.Header{}},
	})
	d := <-c.done
	assert.Equal(t, d.Kind, call.Full, d.Cause)
	assert.Assert(t, d.Kind.NotRun())
}

// This host gives up on a call while its connection is being opened. Nothing left
// the host, and it says nothing of the leaf: told like a connection that could
// not be opened, it made thousands of sound leafs suspect on a day.
func TestCallGivenUpBeforeItsConnectionIsWithdrawn(t *testing.T) {
	c := newCaller(t)
	full, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, full.Close()) }()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.pool.dial(ctx, full.Addr().String())
	d := unopened(ctx, err)
	assert.Equal(t, d.Kind, call.Withdrawn, d.Cause)
	assert.Assert(t, d.Kind.NotRun())
}

// A call broke. Whether its leaf went down with it shows a connection check: where nobody
// listens the leaf is told absent; where somebody does, nothing is told.
func TestConnCheckTellsOnlyOfAbsentLeafs(t *testing.T) {
	absent := make(chan router.ConnRefused, 2)
	p := &Pool{Dialect: DefaultDialect, Clock: clock.Wall{}, OnConnRefused: func(a router.ConnRefused) { absent <- a }}
	here := serve(t, func(net.Conn, *bufio.Reader) {})
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.CheckConn(router.CheckConn{Leaf: "here", Address: here.ln.Addr().String()})
	assert.NilError(t, gone.Close())
	p.CheckConn(router.CheckConn{Leaf: "gone", Address: gone.Addr().String()})
	select {
	case a := <-absent:
		assert.Equal(t, a.Leaf, "gone")
	case <-time.After(patience):
		t.Fatal("not told")
	}
	assert.NilError(t, p.Close())
	assert.Equal(t, len(absent), 0)
}
