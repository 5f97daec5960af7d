package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/junk"
)

// serveText returns a handler of a leaf that replies with a text that the test sets, and then
// closes.
func serveText(t *testing.T, text *atomic.Value) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if assert.Check(t, err) {
			_ = junk.SendCut(c.(*net.TCPConn), text.Load().(string), false) // the caller may have closed
		}
	}
}

// A leaf sends what is no reply by the grammar of HTTP. Its caller must not get any of it, and a
// merged answer must say that its shard is missing.
func TestReplyOutsideTheGrammarIsNoAnswer(t *testing.T) {
	const headers = "Leaf-Stamp: s\r\n"
	whole := junk.Whole(headers)["closing"]
	single, merged := &atomic.Value{}, &atomic.Value{}
	one, all := newRig(t), newRig(t)
	one.startLeaf("s0", serveText(t, single))
	all.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) { writeStampedReply(w, q, "sound-sound-soun") })
	all.startLeaf("s1", serveText(t, merged))
	one.configure()
	all.configure()
	n := 0
	for name, text := range junk.Broken(headers) {
		toOne, toAll := one.dial(), all.dial()
		for _, reply := range []string{text, whole} { // a whole reply keeps the leaf healthy
			n++
			single.Store(reply)
			toOne.send(get("/one/x", fmt.Sprintf("q%d", n)))
			res := toOne.receive()
			merged.Store(reply)
			toAll.send(get("/all/x", fmt.Sprintf("q%d", n)))
			parts := toAll.receive()
			if reply == whole {
				assert.Equal(t, res.Body, junk.CutBody)
				assert.Equal(t, parts.Header.Get("Part-Stamps"), "by-s0-0, s")
				continue
			}
			assert.Check(t, res.StatusCode == http.StatusBadGateway && len(res.Header["Leaf-Stamp"]) == 0, "%s: %d %v %q", name, res.StatusCode, res.Header, res.Body)
			assert.Check(t, parts.Header.Get("Part-Stamps") == "by-s0-0" && parts.Header.Get("Missing-Parts") == "1", "%s: %v", name, parts.Header)
		}
	}
}

// A leaf answers with a status that is none. Its caller must get the answer of another leaf, and
// no failure in its place.
func TestBrokenStatusIsAskedAgain(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			var broken atomic.Int64
			text := &atomic.Value{}
			text.Store("HTTP/1.1 " + status + " OK\r\nLeaf-Stamp: s\r\nContent-Length: 4\r\n\r\nbody")
			r := newRig(t)
			r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) {
				broken.Add(1)
				serveText(t, text)(w, q)
			})
			r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) { writeStampedReply(w, q, "sound") })
			r.configure()
			c := r.dial()
			for n := 0; broken.Load() == 0; n++ {
				c.send(get("/one/x", fmt.Sprintf("q%d", n)))
				res := c.receive()
				assert.Equal(t, res.StatusCode, http.StatusOK)
				assert.Equal(t, res.Body, "sound")
			}
		})
	}
}
