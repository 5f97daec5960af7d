package httpd

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/quota"
)

// blockedLog is a log that nobody reads.
type blockedLog struct{ entered, unblock chan struct{} }

// Write implements io.Writer.
func (b blockedLog) Write(line []byte) (int, error) {
	select {
	case b.entered <- struct{}{}:
	default:
	}
	<-b.unblock
	return len(line), nil
}

// The log blocks on the line about a caller that does not read its answer. Other callers whose
// connections are on the same event loop got no answer.
func TestBlockedLogHoldsUpCallers(t *testing.T) {
	log := blockedLog{entered: make(chan struct{}, 1), unblock: make(chan struct{})}
	s := &Server{
		Address: "127.0.0.1:0", pollers: 1, Log: zerolog.New(log), Memory: &quota.Bytes{Limit: 1 << 20},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/large" {
				_, _ = w.Write(make([]byte, 32<<20)) // the caller doesn't read it
			}
		}),
	}
	assert.NilError(t, s.Start())
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	t.Cleanup(func() { close(log.unblock) })
	slow, other := dial(t, s), dial(t, s)
	assert.NilError(t, slow.conn.(*net.TCPConn).SetReadBuffer(4<<10))
	slow.send(t, "/large")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(log.entered) == 0 {
			return poll.Continue("nothing is logged")
		}
		return poll.Success()
	})
	assert.NilError(t, other.conn.SetDeadline(time.Now().Add(time.Second)))
	other.send(t, "/")
	_, err := other.receive()
	assert.NilError(t, err)
}
