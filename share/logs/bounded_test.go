package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// text returns what has been written.
func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// The reader of the logs stops reading. The program must not block, and lines about
// successful requests, 4 MB here, must not displace failures from the queue. The number
// of dropped lines is logged.
func TestLogNeverBlocksAndKeepsFailures(t *testing.T) {
	blocked := &blockedWriter{unblock: make(chan struct{})}
	b := NewBoundedWriter(blocked)
	log := zerolog.New(b)
	began := time.Now()
	for range 50000 {
		log.Info().Str("text", "an ordinary request was answered").Msg("answered")
	}
	for range 10 {
		log.Warn().Msg("refused")
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	close(blocked.unblock)
	assert.NilError(t, b.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(blocked.text(), "log-lines-left-out") {
			return poll.Success()
		}
		return poll.Continue("no line about dropped lines yet")
	})
	assert.Equal(t, strings.Count(blocked.text(), "refused"), 10)
	assert.Assert(t, strings.Count(blocked.text(), `"answered"`) < 50000)
}

// The reader of the logs never reads again. Close must not wait for it, or the program
// would never exit.
func TestCloseDoesNotWaitForEver(t *testing.T) {
	blocked := &blockedWriter{unblock: make(chan struct{})}
	b := NewBoundedWriter(blocked)
	log := zerolog.New(b)
	log.Warn().Msg("last")
	began := time.Now()
	assert.NilError(t, b.Close())
	assert.Assert(t, time.Since(began) < 3*closeTimeout)
	close(blocked.unblock)
}

// Nobody reads the log of a program that stops. The program waited for the reader beyond the
// platform's grace.
func TestCloseOverrunsTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blocked := &blockedWriter{unblock: make(chan struct{})}
		b := NewBoundedWriter(blocked)
		log := zerolog.New(b)
		log.Warn().Msg("last")
		began := time.Now()
		assert.NilError(t, b.Close())
		took := time.Since(began)
		assert.Assert(t, took <= 300*time.Millisecond, "Close took %s", took)
		close(blocked.unblock)
		<-b.done
	})
}
