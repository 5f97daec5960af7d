package logs

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// gather is how long lines are collected before they are written, so that
	// a busy second costs some twenty writes and not thousands.
	gather = 50 * time.Millisecond
	// queueBytes is how much waits for a reader that is slow, per kind of
	// line. Beyond it lines are left out and counted.
	queueBytes = 256 << 10
	// closeWait bounds how long Close waits for a reader that has stopped.
	closeWait = time.Second
)

// BoundedWriter passes log lines on without ever blocking who writes them. Lines at
// warning level and above have a queue of their own, so that a flood of lines
// about requests that went well leaves no failure unexplained.
type BoundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	usual   queue
	failure queue
	ready   chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

type queue struct {
	buf     bytes.Buffer
	dropped int
}

func (q *queue) add(line []byte) {
	if q.buf.Len()+len(line) > queueBytes {
		q.dropped++
		return
	}
	q.buf.Write(line)
}

// NewBoundedWriter starts passing lines on to a writer.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, ready: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes a line of unknown level.
func (b *BoundedWriter) Write(line []byte) (int, error) { return b.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel takes a line; zerolog calls it.
func (b *BoundedWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	b.mu.Lock()
	if level >= zerolog.WarnLevel {
		b.failure.add(line)
	} else {
		b.usual.add(line)
	}
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	for {
		select {
		case <-b.ready:
		case <-b.stop:
			b.flush()
			return
		}
		select {
		case <-time.After(gather):
		case <-b.stop:
		}
		b.flush()
	}
}

// flush writes what has gathered, failures first.
func (b *BoundedWriter) flush() {
	b.mu.Lock()
	lines := make([]byte, 0, b.failure.buf.Len()+b.usual.buf.Len())
	for _, q := range []*queue{&b.failure, &b.usual} {
		lines = append(lines, q.buf.Bytes()...)
		q.buf.Reset()
	}
	lost, lostFailures := b.usual.dropped, b.failure.dropped
	b.usual.dropped, b.failure.dropped = 0, 0
	b.mu.Unlock()
	if lost+lostFailures > 0 {
		lines = append(lines, `{"level":"warn","message":"log-lines-left-out","usual":`+strconv.Itoa(lost)+
			`,"failures":`+strconv.Itoa(lostFailures)+"}\n"...)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // there is nowhere left to report it
	}
}

// Close writes what is left and waits, but not for ever.
func (b *BoundedWriter) Close() error {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(closeWait):
	}
	return nil
}
