package fetch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"dandelionstile/share/junk"
)

// serveText starts a server that replies with a text that the test sets, and then closes.
func serveText(t *testing.T) (address string, text *atomic.Value) {
	t.Helper()
	text = &atomic.Value{}
	return serveScript(t, func(c net.Conn, _ *bufio.Reader) {
		_ = junk.SendCut(c.(*net.TCPConn), text.Load().(string), false) // the client may have closed
	}), text
}

// The store, another host or a leaf sends what is no reply by the grammar of HTTP. It must not
// count as a reply, with a field or a body that the server did not mean.
func TestReplyOutsideTheGrammarIsLost(t *testing.T) {
	address, reply := serveText(t)
	e := startEngine(t)
	for name, text := range junk.Broken("Leaf-Stamp: s\r\n") {
		reply.Store(text)
		got, err := Get(e, address, "/", 5*time.Second)
		assert.Check(t, errors.Is(err, ErrConnLost), "%s: %d %q %v", name, got.Status, got.Body, err)
	}
}

// Replies within the grammar must count, however unusual they look.
func TestUnusualReplyIsRead(t *testing.T) {
	address, reply := serveText(t)
	e := startEngine(t)
	for name, text := range junk.Unusual("Leaf-Stamp: s\r\n") {
		reply.Store(text)
		got, err := Get(e, address, "/", 5*time.Second)
		assert.Check(t, err == nil && string(got.Body) == junk.CutBody, "%s: %d %q %v", name, got.Status, got.Body, err)
	}
}

// A server sends bytes after its reply, which belong to no call. The reply must count, and the
// next call must use another connection.
func TestReplyBeforeBrokenOneIsRead(t *testing.T) {
	conns := make(chan struct{}, 10)
	address := serveScript(t, func(c net.Conn, r *bufio.Reader) {
		conns <- struct{}{}
		_, _ = io.WriteString(c, junk.Whole("")["length"]+"HTTP/1.1 200 OK\r\nFie ld: value\r\n")
		_, _ = r.ReadByte() // until the client closes
	})
	client := &Client{Engine: startEngine(t), Address: address}
	for n := range 2 {
		r, err := Request(http.MethodGet, address, "/", nil)
		assert.NilError(t, err)
		reply, err := client.Do(r, 5*time.Second)
		if errors.Is(err, ErrConnLost) && n == 1 {
			reply, err = client.Do(r, 5*time.Second) // the call may cross the close
		}
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Body), junk.CutBody)
	}
	assert.Equal(t, len(conns), 2)
	client.Disconnect()
}
