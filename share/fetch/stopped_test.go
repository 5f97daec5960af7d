package fetch

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// An engine is closed while a call is being sent. If it stopped at once, the library would add
// the connection to an event loop by a descriptor that is another engine's by then.
func TestCloseWaitsForCallsBeingSent(t *testing.T) {
	s, e := startAnswerServer(t), &Engine{}
	assert.NilError(t, e.Start())
	c := &Conn{Engine: e, Address: s.ln.Addr().String()}
	sending := make(gate)
	r, err := gatedRequest(c.Address, "/", sending)
	assert.NilError(t, err)
	go c.Do(r, func(Reply, error) {})
	time.Sleep(settle) // until the call is being sent
	closed := make(chan error, 1)
	go func() { closed <- e.Close() }()
	time.Sleep(settle)
	assert.Equal(t, len(closed), 0)
	close(sending)
	assert.NilError(t, <-closed)
}

// A connection is closed while it waits for its event loop. The call must be told that nothing
// was sent, and the server must see the end.
func TestCloseBeforeConnectionIsAdded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	e := &Engine{}
	assert.NilError(t, e.Start())
	defer func() { assert.NilError(t, e.Close()) }()
	c := &Conn{Engine: e, Address: ln.Addr().String()}
	conn, err := c.dial()
	assert.NilError(t, err)
	c.Close()
	r, err := Request("GET", c.Address, "/", nil)
	assert.NilError(t, err)
	assert.Assert(t, !c.send(conn, r, func(Reply, error) {}))
	server, err := ln.Accept()
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = server.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
	c.Do(r, func(_ Reply, got error) { err = got })
	assert.Assert(t, errors.Is(err, ErrNotOpened))
}
