package httpd

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that hangs where its address is in use, instead of failing.
func TestAddressInUseIsAnError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	s := Server{Address: ln.Addr().String(), Handler: http.NotFoundHandler()}
	assert.ErrorContains(t, s.Start(), "address already in use")
	assert.NilError(t, s.Close())
}

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

// Guards against a close of connections with a request that was read and not handled yet.
func TestIdleCloseSparesARequestThatWasRead(t *testing.T) {
	var c conns
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c.opened(ours)
	remote := ours.RemoteAddr().String()
	c.open[remote].freed = time.Now().Add(-time.Minute)
	c.take(remote)
	c.closeIdle()
	go func() { _, _ = ours.Write([]byte("x")) }()
	_, err := theirs.Read(make([]byte, 1))
	assert.NilError(t, err, "closed with a request on it")
	c.release(remote)
	c.closeIdle()
	go func() { _, _ = ours.Write([]byte("x")) }()
	_, err = theirs.Read(make([]byte, 1))
	assert.NilError(t, err, "closed before its answer can have been written")
	c.open[remote].freed = time.Now().Add(-time.Minute)
	c.closeIdle()
	_, err = theirs.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Guards against work that goes on for callers that have closed or reset their connection.
func TestContextEndsWhenTheCallerLeaves(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close": func(c *net.TCPConn) { assert.Check(t, c.Close()) },
		"reset": func(c *net.TCPConn) {
			assert.Check(t, c.SetLinger(0))
			assert.Check(t, c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			inside, ended := make(chan struct{}), make(chan struct{})
			s := Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(inside)
				select {
				case <-r.Context().Done():
					close(ended)
				case <-time.After(5 * time.Second):
				}
			})}
			assert.NilError(t, s.Start())
			c, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			assert.NilError(t, err)
			<-inside
			end(c.(*net.TCPConn))
			select {
			case <-ended:
			case <-time.After(500 * time.Millisecond):
				t.Error("the context goes on while the request is handled")
			}
			assert.NilError(t, s.Close())
		})
	}
}

// Guards against work for callers that have left while their host stood still.
func TestRequestOfACallerThatHasLeftIsNotHandled(t *testing.T) {
	handled := make(chan string, 4)
	s := Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handled <- r.URL.Path })}
	// With one event loop and its turn held, the server reads nothing.
	s.pollers = 1
	assert.NilError(t, s.Start())
	held, release := holdNextRead(&s)
	first, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	_, err = first.Write([]byte("GET /stays HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	<-held
	second, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	_, err = second.Write([]byte("GET /leaves HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	assert.NilError(t, second.Close())
	time.Sleep(50 * time.Millisecond) // the end crosses loopback
	release()
	assert.Equal(t, <-handled, "/stays")
	assert.NilError(t, first.Close())
	assert.NilError(t, s.Close())
	assert.Equal(t, len(handled), 0, "the request was handled")
}

// Guards against the end of a former connection ending requests on the next from its address.
func TestEndOfAFormerConnectionSparesTheNextFromItsAddress(t *testing.T) {
	var c conns
	former, a := net.Pipe()
	next, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	c.opened(former)
	c.opened(next) // pipes all have one address
	r, cancel := c.handle(&http.Request{RemoteAddr: next.RemoteAddr().String()})
	defer cancel()
	c.left(former)
	c.closed(former)
	assert.NilError(t, r.Context().Err())
	c.left(next)
	assert.ErrorIs(t, r.Context().Err(), context.Canceled)
}
