package httpd

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An engine that finds its address in use never returns from its start. The daemon would
// hang instead of failing.
func TestAddressInUseIsAnError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	s := Server{Address: ln.Addr().String(), Handler: http.NotFoundHandler()}
	assert.ErrorContains(t, s.Start(), "address already in use")
	assert.NilError(t, s.Close())
}

// A server must answer requests, and Close must return once callers have none in flight.
func TestServeAndClose(t *testing.T) {
	s := Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, Status{Status: "ok"})
	})}
	assert.NilError(t, s.Start())
	res, err := http.Get("http://" + s.Addr())
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusOK)
	http.DefaultClient.CloseIdleConnections()
	assert.NilError(t, s.Close())
}

// A busy host runs a handler some time after its request was read, and the library writes
// the answer after the handler returns. A connection that counted as idle meanwhile would
// be closed without an answer.
func TestIdleCloseSparesARequestThatWasRead(t *testing.T) {
	var c conns
	server, peer := net.Pipe()
	defer func() { _ = peer.Close() }()
	all := func(net.Conn) bool { return true }
	c.add(server)
	remote := server.RemoteAddr().String()
	c.open[remote].idleSince = time.Now().Add(-time.Minute)
	c.recordRequestRead(server)
	c.closeIdle(all)
	go func() { _, _ = server.Write([]byte("x")) }()
	_, err := peer.Read(make([]byte, 1))
	assert.NilError(t, err, "closed while a request was in flight")
	c.recordAnswered(server)
	c.closeIdle(all)
	go func() { _, _ = server.Write([]byte("x")) }()
	_, err = peer.Read(make([]byte, 1))
	assert.NilError(t, err, "closed before its answer could be written")
	c.open[remote].idleSince = time.Now().Add(-time.Minute)
	c.closeIdle(all)
	_, err = peer.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// A caller closes or resets its connection while its request is handled. Without a
// cancelled context, the host would go on working for nobody.
func TestContextEndsWhenTheCallerDisconnects(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close": func(c *net.TCPConn) { assert.Check(t, c.Close()) },
		"reset": func(c *net.TCPConn) {
			assert.Check(t, c.SetLinger(0))
			assert.Check(t, c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			handling, cancelled := make(chan struct{}), make(chan struct{})
			s := Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(handling)
				select {
				case <-r.Context().Done():
					close(cancelled)
				case <-time.After(5 * time.Second):
				}
			})}
			assert.NilError(t, s.Start())
			c, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			assert.NilError(t, err)
			<-handling
			end(c.(*net.TCPConn))
			select {
			case <-cancelled:
			case <-time.After(500 * time.Millisecond):
				t.Error("the context has not ended while the request is handled")
			}
			assert.NilError(t, s.Close())
		})
	}
}

// Callers send requests and disconnect while the host is paused. When it continues, it
// finds requests and ends of connections together, and would handle requests whose
// callers no longer wait.
func TestRequestOfADisconnectedCallerIsNotHandled(t *testing.T) {
	handled := make(chan string, 4)
	s := Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handled <- r.URL.Path })}
	// With its only event loop blocked, the server reads nothing.
	s.pollers = 1
	assert.NilError(t, s.Start())
	held, release := blockNextRead(&s)
	first, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	_, err = first.Write([]byte("GET /stays HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	<-held
	second, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	_, err = second.Write([]byte("GET /disconnects HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	assert.NilError(t, second.Close())
	time.Sleep(50 * time.Millisecond) // until the close has crossed loopback
	release()
	assert.Equal(t, <-handled, "/stays")
	assert.NilError(t, first.Close())
	assert.NilError(t, s.Close())
	assert.Equal(t, len(handled), 0, "the request of the disconnected caller was handled")
}

// A caller closes a connection and opens the next one from the same address. The close
// event of the first one may come later, and must not cancel requests on the next one.
func TestEndOfAFormerConnectionSparesTheNextFromItsAddress(t *testing.T) {
	var c conns
	former, a := net.Pipe()
	next, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	c.add(former)
	c.add(next) // all pipes have the same address
	r, cancel := c.withCancel(&http.Request{RemoteAddr: next.RemoteAddr().String()}, next)
	defer cancel()
	c.recordPeerClosed(former)
	c.remove(former)
	assert.NilError(t, r.Context().Err())
	c.recordPeerClosed(next)
	assert.ErrorIs(t, r.Context().Err(), context.Canceled)
}

// CloseIdle closes a connection that was recorded, but that the engine has not added yet, on a
// host that paused in between. The engine counts it as open from then on, and Close would
// never return.
func TestCloseReturnsAfterIdleCloseDuringAccept(t *testing.T) {
	s := &Server{Address: "127.0.0.1:0", Handler: http.NotFoundHandler()}
	assert.NilError(t, s.Start())
	accepted, accept := make(chan struct{}), make(chan struct{})
	s.engine.OnOpen(func(c net.Conn) {
		s.conns.add(c)
		close(accepted)
		<-accept
	})
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	<-accepted
	time.Sleep(2 * idleGrace) // until the connection counts as idle
	s.closeIdleNow()
	close(accept)
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	select {
	case err := <-closed:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("Close did not return")
	}
}
