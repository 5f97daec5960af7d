package node

import (
	"sync"
	"time"

	"dandelionstile/share/clock"
)

// loopQueueLen is how many messages the control loop queues before Post blocks.
const loopQueueLen = 4096

// Loop is a program's control loop: one goroutine that owns all state and
// handles typed messages in order, so the state needs no locks. Start must be called
// before the other methods.
type Loop[M any] struct {
	// Clock is read once per message.
	Clock clock.Clock

	messages chan M
	done     chan struct{}
	once     sync.Once
	wait     sync.WaitGroup
}

// Start runs handle for each message until Close.
func (l *Loop[M]) Start(handle func(now clock.Milli, m M)) {
	l.messages = make(chan M, loopQueueLen)
	l.done = make(chan struct{})
	l.wait.Go(func() {
		for {
			select {
			case <-l.done:
				return
			case m := <-l.messages:
				handle(l.Clock.Now(), m)
			}
		}
	})
}

// Post queues a message for the loop and returns true, or returns false once the
// loop is closed. It blocks while the queue is full.
func (l *Loop[M]) Post(m M) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.messages <- m:
		return true
	case <-l.done:
		return false
	}
}

// Every posts a message periodically. It skips a message when the queue is full,
// because a loop that is behind needs no second tick.
func (l *Loop[M]) Every(d time.Duration, m M) {
	l.wait.Go(func() {
		tick := time.NewTicker(d)
		defer tick.Stop()
		for {
			select {
			case <-l.done:
				return
			case <-tick.C:
				select {
				case l.messages <- m:
				default:
				}
			}
		}
	})
}

// Close stops the loop and waits for its goroutines. Messages still in the queue are
// not handled.
func (l *Loop[M]) Close() error {
	l.once.Do(func() { close(l.done) })
	l.wait.Wait()
	return nil
}
