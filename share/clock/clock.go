// Package clock is the one notion of time in dandelionstile: whole
// milliseconds. Decisions receive the time as an argument and never read it, so
// the same code runs in the programs (Wall) and in tests and benchmarks
// (Virtual).
package clock

import (
	"container/heap"
	"time"
)

// Milli is a point in time or a span, in milliseconds. Points are comparable
// only between readings of the same clock.
type Milli int64

// Second and Minute are spans in Milli.
const (
	Second Milli = 1000
	Minute Milli = 60 * Second
)

// Duration converts a span for the standard library.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock tells the time.
type Clock interface {
	Now() Milli
}

// base anchors Wall. Durations since base use the monotonic reading, so a step
// of the system's clock moves no deadline.
var base = time.Now()

// offset makes readings start well above zero, so that the zero Milli always
// means "never".
const offset = Minute

// Wall is the process's monotonic clock. The zero value is ready to use.
type Wall struct{}

// Now returns the milliseconds since the process started, plus a minute.
func (Wall) Now() Milli { return Milli(time.Since(base).Milliseconds()) + offset }

// Unix returns the calendar time in milliseconds. It is used where two hosts
// have to compare times, and never for deadlines.
func Unix() Milli { return Milli(time.Now().UnixMilli()) }

// Virtual is a clock moved by hand, with an ordered queue of events. It is not
// safe for concurrent use. The zero value starts at time 0 with no events.
type Virtual struct {
	now    Milli
	order  uint64
	events eventHeap
}

// Now returns the time of the event that is running.
func (v *Virtual) Now() Milli { return v.now }

// At runs f at time t, or now if t is past. Events at equal times run in the
// order in which they were added, which keeps runs repeatable.
func (v *Virtual) At(t Milli, f func()) {
	v.order++
	heap.Push(&v.events, event{at: max(t, v.now), order: v.order, run: f})
}

// After runs f when span d has passed.
func (v *Virtual) After(d Milli, f func()) { v.At(v.now+d, f) }

// Run runs every event up to and including time end, then moves the clock to
// end.
func (v *Virtual) Run(end Milli) {
	for len(v.events) > 0 && v.events[0].at <= end {
		e := heap.Pop(&v.events).(event)
		v.now = e.at
		e.run()
	}
	v.now = end
}

type event struct {
	at    Milli
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds x; it is called by container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last element; it is called by container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	n := len(old)
	e := old[n-1]
	old[n-1] = event{}
	*h = old[:n-1]
	return e
}
