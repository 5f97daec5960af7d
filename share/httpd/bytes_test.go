package httpd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// client is one connection to a server under test.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a connection to a server, which the test closes at its end.
func dial(t *testing.T, s *Server) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &client{conn: c, reader: bufio.NewReader(c)}
}

// get sends a request and returns the body of its answer.
func (c *client) get(path string) ([]byte, error) {
	if _, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	return body, res.Body.Close()
}

// After a large chunked answer, the library frees a buffer twice. If the next two
// answers got the same buffer, their callers would read each other's bytes.
func TestAnswersAfterALargeOneShareNoBuffer(t *testing.T) {
	// With one processor, the next two answers take the buffers that were freed last.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var bothHandled sync.WaitGroup
	s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(bytes.Repeat([]byte("x"), 128<<10))
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
		bothHandled.Done()
		bothHandled.Wait()
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	assert.NilError(t, s.Start())
	defer func() { assert.NilError(t, s.Close()) }()
	large, small := dial(t, s), []*client{dial(t, s), dial(t, s)}
	for range 10 {
		body, err := large.get("/large")
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(body, bytes.Repeat([]byte("x"), 128<<10)))
		bothHandled.Add(len(small))
		var answered sync.WaitGroup
		for i, c := range small {
			answered.Go(func() {
				path := "/" + strconv.Itoa(i)
				body, err := c.get(path)
				assert.Check(t, err)
				assert.Check(t, string(body) == path+path, "asked for %s twice, read %q", path, body)
			})
		}
		answered.Wait()
	}
}

// The library writes to buffers that it has freed. A caller could then get bytes of
// another one's answer, at sizes below and above the library's packet size and the size
// of a socket buffer.
func TestEachCallerGetsItsOwnBytes(t *testing.T) {
	// pattern returns the body for a caller and a size.
	pattern := func(caller, size int) []byte {
		return bytes.Repeat(fmt.Appendf(nil, "%03d.", caller), size/4+1)[:size]
	}
	s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var caller, size, piece int
		var encoding string
		_, err := fmt.Sscanf(strings.ReplaceAll(r.URL.Path, "/", " "), "%d %d %d %s", &caller, &size, &piece, &encoding)
		assert.Check(t, err)
		body := pattern(caller, size)
		if encoding == "length" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		for ; len(body) > 0; body = body[min(piece, len(body)):] {
			_, _ = w.Write(body[:min(piece, len(body))])
		}
	})}
	assert.NilError(t, s.Start())
	defer func() { assert.NilError(t, s.Close()) }()
	sizes := []int{1, 4 << 10, 32 << 10, 64<<10 - 200, 64 << 10, 64<<10 + 1, 128 << 10, 512 << 10}
	var callers sync.WaitGroup
	for caller := range 16 {
		c, random := dial(t, s), rand.New(rand.NewPCG(1, uint64(caller)))
		callers.Go(func() {
			for range 40 {
				size := sizes[random.IntN(len(sizes))]
				piece := []int{size, 3000, 40 << 10}[random.IntN(3)]
				encoding := []string{"length", "chunked"}[random.IntN(2)]
				path := fmt.Sprintf("/%d/%d/%d/%s", caller, size, piece, encoding)
				body, err := c.get(path)
				if !assert.Check(t, err, "%s", path) {
					return
				}
				if !assert.Check(t, bytes.Equal(body, pattern(caller, size)), "%s: the body is not the caller's", path) {
					return
				}
			}
		})
	}
	callers.Wait()
}
