package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/clock"
)

// A host leaves while a caller still reads its answer. No request is in flight by then, and
// the process must not end before the caller has all of it.
func TestLeaveWaitsForSlowReaders(t *testing.T) {
	t.Parallel()
	// Three answers in a row are more than the buffers of both sockets take.
	const size, answers = 3 << 20, 3
	r := newRig(t)
	r.server.Settings.Grace = 30 * clock.Second
	r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) { writeStampedReply(w, q, strings.Repeat("x", size)) })
	r.configure()
	c := r.dial()
	assert.NilError(t, c.conn.(*net.TCPConn).SetReadBuffer(16<<10))
	c.send(strings.Repeat(strings.Replace(get("/one/x", "q1"), "1500", "8000", 1), answers))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.server.queries.Load() == answers && r.server.inFlight.Load() == 0 {
			return poll.Success()
		}
		return poll.Continue("a request is in flight")
	})
	closed := make(chan struct{})
	go func() {
		r.server.Leave()
		r.close()
		close(closed)
	}()
	time.Sleep(balancerDelay + time.Second)
	for range answers {
		assert.Equal(t, len(c.receive().Body), size)
	}
	<-closed
}

// The platform kills a process that leaves after a time of its own. A host that left after 5 s
// ended requests that had more time, or was killed in the middle of them.
func TestLeaveTimeFollowsTheGrace(t *testing.T) {
	for grace, want := range map[clock.Milli]time.Duration{
		0: 5 * time.Second, 6 * clock.Second: 5 * time.Second, clock.Minute: 59 * time.Second, clock.Second: balancerDelay,
	} {
		s := Server{Settings: Settings{Grace: grace}}
		assert.Equal(t, s.leaveTime(), want)
	}
}
