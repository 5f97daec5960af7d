package httpd

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A caller or another host sends a head without end. The library keeps all of its headers in
// memory, so the limit on heads must apply before the head is complete.
func TestHeadWithoutEndIsRejected(t *testing.T) {
	for name, sent := range map[string]struct{ first, again string }{
		"headers": {"GET / HTTP/1.1\r\nHost: h\r\n", "a: b\r\n"},
		"line":    {"GET / HTTP/1.1\r\nHost: h\r\nA: ", "j"},
		"target":  {"GET /", "j"},
	} {
		t.Run(name, func(t *testing.T) {
			_, c := startEcho(t, Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 8 << 20})
			block := strings.Repeat(sent.again, 1000)
			_, err := io.WriteString(c, sent.first)
			for n := 0; err == nil && n < 256<<10; n += len(block) {
				_, err = io.WriteString(c, block)
			}
			assert.Equal(t, readStatus(t, c), http.StatusRequestHeaderFieldsTooLarge)
		})
	}
}

// Heads are counted one by one: neither bodies nor the heads of former requests on the
// connection count.
func TestBodiesAndFormerHeadsDoNotCountAsHead(t *testing.T) {
	_, c := startEcho(t, Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20})
	body := strings.Repeat("b", 200<<10)
	for range 3 {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 204800\r\n\r\n"+body)
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, c), http.StatusOK)
	}
	head := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("j", 3<<10) + "\r\n\r\n"
	for range 40 {
		_, err := io.WriteString(c, head)
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, c), http.StatusOK)
	}
}
