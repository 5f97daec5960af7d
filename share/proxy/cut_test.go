package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/junk"
)

// serveCut returns a handler of a leaf that cuts its reply after as many bytes as the last part
// of the request's path says.
func serveCut(t *testing.T, whole string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		n, err := strconv.Atoi(q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:])
		assert.Check(t, err)
		c, _, err := w.(http.Hijacker).Hijack()
		if assert.Check(t, err) {
			assert.Check(t, junk.SendCut(c.(*net.TCPConn), whole[:n], false))
		}
	}
}

// A leaf stops within its reply and closes. Its caller must not get what has arrived.
func TestCutReplyIsNoAnswer(t *testing.T) {
	for name, whole := range junk.Whole("Leaf-Stamp: s\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.startLeaf("s0", serveCut(t, whole))
			r.configure()
			c := r.dial()
			for n := range len(whole) {
				c.send(get(fmt.Sprintf("/one/%d", n), fmt.Sprintf("q%d", n)))
				assert.Equal(t, c.receive().StatusCode, http.StatusBadGateway, "%q", whole[:n])
				// A whole reply keeps the leaf healthy.
				c.send(get(fmt.Sprintf("/one/%d", len(whole)), fmt.Sprintf("whole-%d", n)))
				res := c.receive()
				assert.Equal(t, res.StatusCode, http.StatusOK)
				assert.Assert(t, res.Body == junk.CutBody || name == "no-body", "%q", res.Body)
			}
		})
	}
}

// A leaf stops within its reply and closes. A merged answer must say that its shard is missing.
func TestCutReplyIsMissingFromMergedAnswer(t *testing.T) {
	for name, whole := range junk.Whole("Leaf-Stamp: s\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) { writeStampedReply(w, q, "sound-sound-soun") })
			r.startLeaf("s1", serveCut(t, whole))
			r.configure()
			c := r.dial()
			for n := range len(whole) {
				for _, size := range []int{n, len(whole)} { // a whole reply keeps the leaf healthy
					c.send(get(fmt.Sprintf("/all/%d", size), fmt.Sprintf("q%d-%d", n, size)))
					res := c.receive()
					parts := res.Header.Get("Part-Stamps")
					assert.Equal(t, res.StatusCode, http.StatusOK)
					if size < len(whole) {
						assert.Equal(t, parts, "by-s0-0", "%q", whole[:size])
						assert.Equal(t, res.Body, "sound-sound-soun", "%q", whole[:size])
						assert.Equal(t, res.Header.Get("Missing-Parts"), "1")
						continue
					}
					assert.Equal(t, parts, "by-s0-0, s")
				}
			}
		})
	}
}
