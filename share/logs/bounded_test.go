package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// blockedWriter blocks all writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

// Guards against a log reader that stops reading and blocks the program, and
// against failures that are dropped when the queue overflows with lines about
// successful requests. The number of dropped lines is logged.
func TestLogNeverBlocksAndKeepsFailures(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	b := NewBoundedWriter(s)
	log := zerolog.New(b)
	began := time.Now()
	for range 50000 {
		log.Info().Str("text", "an ordinary request was answered").Msg("answered")
	}
	for range 10 {
		log.Warn().Msg("refused")
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	close(s.unblock)
	assert.NilError(t, b.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(s.text(), "log-lines-left-out") {
			return poll.Success()
		}
		return poll.Continue("no line about dropped lines yet")
	})
	assert.Equal(t, strings.Count(s.text(), "refused"), 10)
	assert.Assert(t, strings.Count(s.text(), `"answered"`) < 50000)
}

// Guards against a reader that never reads again and keeps the program from exiting.
func TestCloseDoesNotWaitForEver(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	b := NewBoundedWriter(s)
	log := zerolog.New(b)
	log.Warn().Msg("last")
	began := time.Now()
	assert.NilError(t, b.Close())
	assert.Assert(t, time.Since(began) < 3*closeTimeout)
	close(s.unblock)
}
