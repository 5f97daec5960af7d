// Package clock provides the time to all of dandelionstile, in whole milliseconds.
// Code that makes decisions receives the time as an argument and never reads it, so
// the same code runs in processes (Wall) and in tests and benchmarks (Virtual).
package clock

import (
	"container/heap"
	"time"
)

// Milli is a point in time or a duration, in milliseconds. Points are comparable
// only if they were read from the same clock.
type Milli int64

// Second and Minute are durations in Milli.
const (
	Second Milli = 1000
	Minute Milli = 60 * Second
)

// MaxSpan is the longest duration that is distinguished, 100 years. A point in time plus
// MaxSpan, and MaxSpan as a time.Duration, are within the range of their types.
const MaxSpan = 100 * 365 * 24 * 60 * Minute

// FromMillis converts a number of ms that may be out of range, as in a file, to a duration
// of at most MaxSpan in either direction.
func FromMillis(ms float64) Milli {
	return Milli(max(-float64(MaxSpan), min(ms, float64(MaxSpan))))
}

// Duration converts m for the standard library.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock provides the current time.
type Clock interface {
	Now() Milli
}

// processStart is the reference of Wall. Durations since it use the monotonic
// reading, so a step of the system clock moves no deadline.
var processStart = time.Now()

// wallOffset makes readings start well above zero, so that a Milli of zero always
// means "never".
const wallOffset = Minute

// Wall is the process's monotonic clock. The zero value is ready to use.
type Wall struct{}

// Now returns the milliseconds since the process started, plus a minute.
func (Wall) Now() Milli { return Milli(time.Since(processStart).Milliseconds()) + wallOffset }

// Unix returns the calendar time in milliseconds. It is used to compare the times
// of two hosts, and never for deadlines.
func Unix() Milli { return Milli(time.Now().UnixMilli()) }

// Virtual is a simulated clock with an ordered queue of events. It is not safe for
// concurrent use. The zero value starts at time 0 with no events.
type Virtual struct {
	now     Milli
	lastSeq uint64
	events  eventHeap
}

// Now returns the time of the current event, or between runs the end of the last one.
func (v *Virtual) Now() Milli { return v.now }

// At schedules f for time t, or for the current time if t is in the past; Run calls it.
// Events at equal times run in the order in which they were added, which makes runs
// repeatable.
func (v *Virtual) At(t Milli, f func()) {
	v.lastSeq++
	heap.Push(&v.events, event{at: max(t, v.now), seq: v.lastSeq, run: f})
}

// After schedules f for the time that is d from now.
func (v *Virtual) After(d Milli, f func()) { v.At(v.now+d, f) }

// Run runs every event up to and including time end, also those that are added meanwhile,
// then sets the clock to end.
func (v *Virtual) Run(end Milli) {
	for len(v.events) > 0 && v.events[0].at <= end {
		e := heap.Pop(&v.events).(event)
		v.now = e.at
		e.run()
	}
	v.now = end
}

// event is a function that Virtual runs at a time; seq is its rank among equal times.
type event struct {
	at  Milli
	seq uint64
	run func()
}

// eventHeap orders events by time and, at equal times, by seq.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds x; container/heap calls it.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last element; container/heap calls it.
func (h *eventHeap) Pop() any {
	old := *h
	n := len(old)
	e := old[n-1]
	old[n-1] = event{}
	*h = old[:n-1]
	return e
}
