// Package slope measures the cost of the product's parts per unit (a leaf, a
// peer, a query, a configuration change) at three or more sizes, and fits a line
// to it. docs/CAPACITY.md is based on these lines.
package slope

import (
	"fmt"
	"math"
	"runtime"
	"time"
)

// Point is one measurement: the cost at a size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a linear cost model: Fixed + PerUnit x size.
type Line struct {
	Name string
	Unit string // of the cost
	Per  string // the unit of sizes
	// Points are the measurements.
	Points  []Point
	Fixed   float64
	PerUnit float64
	// Error is the largest relative deviation of a point from the line.
	Error float64
}

// At returns the cost at a size, according to the line.
func (l Line) At(size float64) float64 { return l.Fixed + l.PerUnit*size }

// fit fits the line by least squares of the relative errors, so that small sizes
// count as much as large ones. It leaves Fixed and PerUnit 0 if all sizes are equal.
func fit(l Line) Line {
	var sw, swx, swy, swxx, swxy float64
	for _, p := range l.Points {
		w := 1 / math.Max(p.Cost*p.Cost, 1e-12) // finite for a cost of 0
		sw += w
		swx += w * p.Size
		swy += w * p.Cost
		swxx += w * p.Size * p.Size
		swxy += w * p.Size * p.Cost
	}
	d := sw*swxx - swx*swx
	if d != 0 {
		l.PerUnit = (sw*swxy - swx*swy) / d
		l.Fixed = (swy - l.PerUnit*swx) / sw
	}
	for _, p := range l.Points {
		if p.Cost != 0 {
			l.Error = math.Max(l.Error, math.Abs(l.At(p.Size)-p.Cost)/p.Cost)
		}
	}
	return l
}

// String formats the line with its points.
func (l Line) String() string {
	text := fmt.Sprintf("%-34s %10.4g %s + %.4g per %s (error %.0f %%):", l.Name, l.Fixed, l.Unit, l.PerUnit, l.Per, 100*l.Error)
	for _, p := range l.Points {
		text += fmt.Sprintf(" %g->%.4g", p.Size, p.Cost)
	}
	return text
}

// microseconds returns the mean duration of a call of f in microseconds: the lowest of
// three rounds, each of which calls f for at least 100 ms.
func microseconds(f func()) float64 {
	best := math.Inf(1)
	for range 3 {
		n, started := 0, time.Now()
		for time.Since(started) < 100*time.Millisecond {
			f()
			n++
		}
		best = math.Min(best, float64(time.Since(started).Microseconds())/float64(n))
	}
	return best
}

// megabytes returns by how many MiB the heap grows by the value that f builds.
func megabytes(f func() any) float64 {
	before := heapBytes()
	kept := f()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return float64(int64(after)-int64(before)) / (1 << 20)
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// microsecondsOnce returns the duration of one run of f in microseconds.
func microsecondsOnce(f func()) float64 {
	started := time.Now()
	f()
	return float64(time.Since(started).Microseconds())
}
