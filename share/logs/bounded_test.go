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

// stuck is a reader that takes nothing until it is freed.
type stuck struct {
	free chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// Whoever reads the log stops reading. Writers go on without waiting; when it
// reads again it gets what was kept, with failures among it although many more
// lines about ordinary requests came, and the number that was left out.
func TestLogNeverBlocksAndKeepsFailures(t *testing.T) {
	s := &stuck{free: make(chan struct{})}
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
	close(s.free)
	assert.NilError(t, b.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(s.text(), "log-lines-left-out") {
			return poll.Success()
		}
		return poll.Continue("not told of yet")
	})
	assert.Equal(t, strings.Count(s.text(), "refused"), 10)
	assert.Assert(t, strings.Count(s.text(), `"answered"`) < 50000)
}

// A reader that never reads again does not keep a program from ending.
func TestCloseDoesNotWaitForEver(t *testing.T) {
	s := &stuck{free: make(chan struct{})}
	b := NewBoundedWriter(s)
	log := zerolog.New(b)
	log.Warn().Msg("last")
	began := time.Now()
	assert.NilError(t, b.Close())
	assert.Assert(t, time.Since(began) < 3*closeWait)
	close(s.free)
}
