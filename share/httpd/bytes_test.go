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

// client is one connection that compares each answer with what it asked for.
type client struct {
	conn net.Conn
	read *bufio.Reader
}

func dial(t *testing.T, s *Server) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &client{conn: c, read: bufio.NewReader(c)}
}

// get returns the body of one answer.
func (c *client) get(path string) ([]byte, error) {
	if _, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	return body, res.Body.Close()
}

// Guards against answers of two callers that share one buffer after a large chunked answer.
func TestAnswersAfterALargeOneShareNoBuffer(t *testing.T) {
	// With one processor, the next two answers take the buffers that were freed last.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var half sync.WaitGroup
	s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(bytes.Repeat([]byte("x"), 128<<10))
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
		half.Done()
		half.Wait()
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	assert.NilError(t, s.Start())
	defer func() { assert.NilError(t, s.Close()) }()
	large, small := dial(t, s), []*client{dial(t, s), dial(t, s)}
	for range 10 {
		body, err := large.get("/large")
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(body, bytes.Repeat([]byte("x"), 128<<10)))
		half.Add(len(small))
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

// Guards against bytes of one caller in another's answer, at sizes on both sides of the
// library's packet size and of what a socket takes at once.
func TestEachCallerGetsItsOwnBytes(t *testing.T) {
	// pattern is the body for a caller and a size.
	pattern := func(who, size int) []byte {
		return bytes.Repeat(fmt.Appendf(nil, "%03d.", who), size/4+1)[:size]
	}
	s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var who, size, piece int
		var form string
		_, err := fmt.Sscanf(strings.ReplaceAll(r.URL.Path, "/", " "), "%d %d %d %s", &who, &size, &piece, &form)
		assert.Check(t, err)
		body := pattern(who, size)
		if form == "length" {
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
	for who := range 16 {
		c, random := dial(t, s), rand.New(rand.NewPCG(1, uint64(who)))
		callers.Go(func() {
			for range 40 {
				size := sizes[random.IntN(len(sizes))]
				piece := []int{size, 3000, 40 << 10}[random.IntN(3)]
				form := []string{"length", "chunked"}[random.IntN(2)]
				path := fmt.Sprintf("/%d/%d/%d/%s", who, size, piece, form)
				body, err := c.get(path)
				if !assert.Check(t, err, "%s", path) {
					return
				}
				if !assert.Check(t, bytes.Equal(body, pattern(who, size)), "%s: other bytes than its own", path) {
					return
				}
			}
		})
	}
	callers.Wait()
}
