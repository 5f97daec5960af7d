package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request is read while a host closes, after the control loop has ended. It was answered as if it
// might have run, so that its caller could not send it to another host.
func TestCloseAnswersLateRequestsAsPerhapsRun(t *testing.T) {
	const settle = 50 * time.Millisecond
	r := newRig(t)
	ran := make(chan struct{}, 1)
	r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) {
		ran <- struct{}{}
		writeStampedReply(w, q, "x")
	})
	r.configure()
	c := r.dial()
	r.server.callers.mu.Lock()
	c.send(get("/one/x", "q1"))
	time.Sleep(settle) // until the handler waits for the lock
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		r.close()
	}()
	<-r.server.stopped
	time.Sleep(settle) // until Close waits for the lock behind it
	r.server.callers.mu.Unlock()
	res := c.receive()
	<-closed
	assert.Equal(t, len(ran), 0)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, "%s", res.Body)
}
