package fetch

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"dandelionstile/share/junk"
)

// A server stops within its reply and closes. Callers must not get what has arrived as a whole
// reply, wherever that is.
func TestCutReplyIsLost(t *testing.T) {
	for name, whole := range junk.Whole("Leaf-Stamp: s\r\nLeaf-State: draining\r\n") {
		for _, abort := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s abort=%t", name, abort), func(t *testing.T) {
				t.Parallel()
				cuts := make(chan int, 1)
				address := serveScript(t, func(c net.Conn, _ *bufio.Reader) {
					assert.Check(t, junk.SendCut(c.(*net.TCPConn), whole[:<-cuts], abort))
				})
				e := startEngine(t)
				for n := range len(whole) {
					cuts <- n
					got, err := Get(e, address, "/", 5*time.Second)
					assert.Assert(t, errors.Is(err, ErrConnLost), "%q: %d %q %v", whole[:n], got.Status, got.Body, err)
				}
				if abort || name == "interim" {
					return
				}
				cuts <- len(whole)
				got, err := Get(e, address, "/", 5*time.Second)
				assert.NilError(t, err)
				assert.Assert(t, string(got.Body) == junk.CutBody || name == "no-body", "%q", got.Body)
			})
		}
	}
}

// A reply tells its length twice, or not at all. It was taken for a whole one with a body that
// is short or empty. A server that ends it with its connection may also have stopped within it.
func TestReplyWithoutOneLengthIsLost(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", // the library takes the header for the reason phrase
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 201 Created\r\n\r\n",
	} {
		address := serveScript(t, func(c net.Conn, _ *bufio.Reader) {
			assert.Check(t, junk.SendCut(c.(*net.TCPConn), text, false))
		})
		got, err := Get(startEngine(t), address, "/", 5*time.Second)
		assert.Check(t, errors.Is(err, ErrConnLost), "%q: %d %q %v", text, got.Status, got.Body, err)
	}
}

// The status of a reply without a body must count, also if no length says so.
func TestReplyWithoutBodyNeedsNoLength(t *testing.T) {
	for text, status := range map[string]int{
		"HTTP/1.1 204 No Content\r\n\r\n":                                            204,
		"HTTP/1.1 304 Not Modified\r\n\r\n":                                          304,
		"HTTP/1.1 410 Gone\r\n\r\n":                                                  410,
		"HTTP/1.1 503 Busy\r\nConnection: close\r\n\r\n":                             503,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                               200,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n":          200,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":             200,
		"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\nContent-Type: a\r\n\r\nnone": 404,
	} {
		address := serveScript(t, func(c net.Conn, _ *bufio.Reader) {
			assert.Check(t, junk.SendCut(c.(*net.TCPConn), text, false))
		})
		got, err := Get(startEngine(t), address, "/", 5*time.Second)
		assert.Check(t, err == nil && got.Status == status, "%q: %d %v", text, got.Status, err)
	}
}
