package fetch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/junk"
)

// serveScript starts a server that reads a request on each connection and then runs a script.
func serveScript(t *testing.T, script func(c net.Conn, r *bufio.Reader)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var scripts sync.WaitGroup
	scripts.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			scripts.Go(func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err == nil {
					script(c, r)
				}
			})
		}
	})
	t.Cleanup(func() {
		assert.NilError(t, ln.Close())
		scripts.Wait()
	})
	return ln.Addr().String()
}

// startEngine starts an engine that the test closes before its servers.
func startEngine(t *testing.T) *Engine {
	t.Helper()
	e := &Engine{}
	assert.NilError(t, e.Start())
	t.Cleanup(func() { assert.NilError(t, e.Close()) })
	return e
}

// waitUnused waits until no reply counts for memory.
func waitUnused(t *testing.T, e *Engine) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := e.Memory.Used(); used > 0 {
			return poll.Continue("%d bytes still count", used)
		}
		return poll.Success()
	})
}

// The store, another host or a leaf sends bytes without end. Kept in memory, they would end
// the process.
func TestEndlessReplyEndsTheCall(t *testing.T) {
	for name, reply := range junk.Replies("") {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t)
			before := junk.HeapBytes()
			address := serveScript(t, func(c net.Conn, _ *bufio.Reader) { reply.Send(c) })
			// The connection stays open after the call unless the client closes it.
			c := &Conn{Engine: e, Address: address}
			defer c.Close()
			r, err := Request(http.MethodGet, address, "/", nil)
			assert.NilError(t, err)
			got, err := c.doAndWait(r, 4*time.Second)
			if err == nil { // the library ends a reply without a length after its head
				assert.Equal(t, len(got.Body), 0)
			}
			assert.Assert(t, err == nil || !strings.Contains(err.Error(), "no reply within"), "%v", err)
			waitUnused(t, e)
			grown := junk.HeapBytes() - before
			assert.Assert(t, grown < 4*MaxReplyBytes, "%d bytes", grown)
		})
	}
}

// A body comes in chunks of one byte. With a buffer for each of them it would take fifty times
// its size.
func TestBodyOfSmallChunksTakesItsSize(t *testing.T) {
	const size = 400_000
	sent := make(chan struct{})
	address := serveScript(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nj\r\n", size))
		<-sent
		_, _ = io.WriteString(c, "0\r\n\r\n")
		_, _ = r.ReadByte()
	})
	e := startEngine(t)
	before := junk.HeapBytes()
	got := make(chan Reply, 1)
	go func() {
		reply, err := Get(e, address, "/", 5*time.Second)
		assert.Check(t, err)
		got <- reply
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := e.Memory.Used(); used < int64(size*len("1\r\nj\r\n")) {
			return poll.Continue("%d bytes have arrived", used)
		}
		return poll.Success()
	})
	grown := junk.HeapBytes() - before
	close(sent)
	assert.Equal(t, len((<-got).Body), size)
	assert.Assert(t, grown < 4*size, "%d bytes", grown)
}

// A server goes on sending after its reply. The library would parse these replies, which
// nobody waits for, and keep their headers.
func TestBytesWithoutACallCloseTheConnection(t *testing.T) {
	ended, closed := make(chan struct{}), make(chan struct{})
	address := serveScript(t, func(c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-ended
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = io.WriteString(c, "a: b\r\n")
			time.Sleep(time.Millisecond)
		}
		close(closed)
	})
	e := startEngine(t)
	client := &Client{Engine: e, Address: address}
	r, err := Request(http.MethodGet, address, "/", nil)
	assert.NilError(t, err)
	reply, err := client.Do(r, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Body), "ok")
	close(ended)
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Error("the connection stayed open")
	}
	client.Disconnect()
}

// Many servers send large replies at once, each below the limit of a reply.
func TestManyLargeRepliesStayBelowTheMemoryLimit(t *testing.T) {
	const limit, servers = 8 << 20, 24
	part := []byte("HTTP/1.1 200 OK\r\nContent-Length: 4000001\r\n\r\n" + strings.Repeat("j", 4000000))
	address := serveScript(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = c.Write(part) // the client may close
		_, _ = r.ReadByte()
	})
	e := startEngine(t)
	e.Memory.Limit = limit
	results := make(chan error, servers)
	for range servers {
		go func() {
			_, err := Get(e, address, "/", 3*time.Second)
			results <- err
		}()
	}
	refused := 0
	for range servers {
		err := <-results
		assert.Assert(t, e.Memory.Used() <= limit)
		if errors.Is(err, ErrNoMemory) {
			refused++
		}
	}
	assert.Assert(t, refused > 0)
	waitUnused(t, e)
}
