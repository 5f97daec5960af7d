package httpd

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// More callers connect than the limit allows. Those beyond it must be closed at once, and a
// connection that ends makes room.
func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	s := &Server{Address: "127.0.0.1:0", MaxConns: 2, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteReady(w, true)
	})}
	assert.NilError(t, s.Start())
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	var accepted []net.Conn
	for range s.MaxConns {
		c := dial(t, s).conn
		_, err := io.WriteString(c, plainRequest)
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, c), http.StatusOK)
		accepted = append(accepted, c)
	}
	_, err := dial(t, s).conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, accepted[0].Close())
	time.Sleep(settle) // until the server has noticed
	c := dial(t, s).conn
	_, err = io.WriteString(c, plainRequest)
	assert.NilError(t, err)
	assert.Equal(t, readStatus(t, c), http.StatusOK)
}

// lockedBuffer is a buffer that goroutines may share.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// A server can't accept connections. It must log so without keeping a processor busy.
func TestAcceptFailuresAreLogged(t *testing.T) {
	var log lockedBuffer
	s := &Server{Address: "127.0.0.1:0", Handler: http.NotFoundHandler(), Log: zerolog.New(&log)}
	assert.NilError(t, s.Start())
	assert.NilError(t, s.listener.Close())
	const span = 4 * acceptRetryDelay
	time.Sleep(span)
	lines := strings.Count(log.String(), `"message":"accept-failed"`)
	assert.Assert(t, lines > 0 && lines <= int(span/acceptRetryDelay)+1, "%d lines", lines)
	assert.ErrorIs(t, s.Close(), net.ErrClosed)
}
