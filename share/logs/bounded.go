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
	// flushInterval is how long lines are collected before they are written. It
	// limits a busy second to about twenty writes instead of thousands.
	flushInterval = 50 * time.Millisecond
	// maxQueueBytes bounds each of the two queues of lines that wait for a slow reader.
	// Lines beyond it are dropped and counted.
	maxQueueBytes = 256 << 10
	// closeTimeout bounds how long Close waits for a reader that is blocked. It is a part of
	// the short time that a process has to end after its last answer.
	closeTimeout = 250 * time.Millisecond
)

// BoundedWriter forwards log lines without ever blocking the goroutines that log.
// Lines at warning level and above have their own queue, so that a flood of lines
// about successful requests doesn't drop the cause of a failure.
type BoundedWriter struct {
	out io.Writer

	mu       sync.Mutex
	normal   queue
	failures queue
	// ready has a value when lines were queued. Close closes stop, and flushLoop then
	// closes done.
	ready     chan struct{}
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// queue holds lines that are not written yet, and the number of lines dropped since the
// last flush.
type queue struct {
	buf     bytes.Buffer
	dropped int
}

// add adds a line, or drops it if the queue is full.
func (q *queue) add(line []byte) {
	if q.buf.Len()+len(line) > maxQueueBytes {
		q.dropped++
		return
	}
	q.buf.Write(line)
}

// NewBoundedWriter returns a BoundedWriter that forwards lines to out, from a goroutine
// that Close ends.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, ready: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go b.flushLoop()
	return b
}

// Write queues a line without a level among those about successful requests.
func (b *BoundedWriter) Write(line []byte) (int, error) { return b.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel queues a line, and drops it if its queue is full; zerolog calls it. The result
// is never an error.
func (b *BoundedWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	b.mu.Lock()
	if level >= zerolog.WarnLevel {
		b.failures.add(line)
	} else {
		b.normal.add(line)
	}
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// flushLoop writes the queued lines flushInterval after the first of them, until Close.
func (b *BoundedWriter) flushLoop() {
	defer close(b.done)
	for {
		select {
		case <-b.ready:
		case <-b.stop:
			b.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-b.stop:
		}
		b.flush()
	}
}

// flush writes the queued lines, failures first, and a line with the numbers of dropped
// lines if there are any. It blocks while out does.
func (b *BoundedWriter) flush() {
	b.mu.Lock()
	lines := make([]byte, 0, b.failures.buf.Len()+b.normal.buf.Len())
	for _, q := range []*queue{&b.failures, &b.normal} {
		lines = append(lines, q.buf.Bytes()...)
		q.buf.Reset()
	}
	dropped, droppedFailures := b.normal.dropped, b.failures.dropped
	b.normal.dropped, b.failures.dropped = 0, 0
	b.mu.Unlock()
	if dropped+droppedFailures > 0 {
		lines = append(lines, `{"level":"warn","message":"log-lines-left-out","usual":`+strconv.Itoa(dropped)+
			`,"failures":`+strconv.Itoa(droppedFailures)+"}\n"...)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // there is no other place to report an error
	}
}

// Close writes the queued lines and waits for that, at most for closeTimeout. Lines that
// are logged later are lost.
func (b *BoundedWriter) Close() error {
	b.closeOnce.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
	return nil
}
