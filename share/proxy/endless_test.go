package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/junk"
	"dandelionstile/share/quota"
)

// All leaves of a service send bytes without end, in a head or in a body, while many callers ask.
// Kept, they would take more than the host's memory and end it, and the requests at sound leaves.
func TestEndlessRepliesLeaveTheHostServing(t *testing.T) {
	const memory, faulty, callers = 128 << 20, 12, 24
	r := newRig(t)
	r.server.pool.Memory.Limit = quota.ForHost(memory)
	var replies []junk.Reply
	for _, reply := range junk.Replies("Leaf-Stamp: s\r\n") {
		replies = append(replies, reply)
	}
	var sent atomic.Int64
	for range faulty {
		r.startLeaf("s0", func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if !assert.Check(t, err) {
				return
			}
			defer func() { _ = c.Close() }() // the caller has closed
			replies[int(sent.Add(1))%len(replies)].Send(c)
		})
	}
	for range callers {
		r.startLeaf("s1", func(w http.ResponseWriter, q *http.Request) { writeStampedReply(w, q, "sound-sound-soun") })
	}
	r.configure()
	before, most := junk.HeapBytes(), int64(0)
	var asking sync.WaitGroup
	for i := range callers {
		c := r.dial()
		asking.Go(func() {
			for n := 0; sent.Load() < int64(4*len(replies)); n++ {
				c.send(get("/all/x", fmt.Sprintf("q%d-%d", i, n)))
				res := c.receive()
				assert.Check(t, res.StatusCode == http.StatusOK && res.Body == "sound-sound-soun", "%d %q", res.StatusCode, res.Body)
			}
		})
	}
	asked := make(chan struct{})
	go func() {
		asking.Wait()
		close(asked)
	}()
	for asking := true; asking; {
		most = max(most, junk.HeapBytes()-before)
		select {
		case <-asked:
			asking = false
		default:
		}
	}
	assert.Assert(t, most < memory, "%d bytes", most)
}
