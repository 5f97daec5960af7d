// Package topk merges unordered lists of fixed-size records into the greatest of them,
// in descending order. Records are opaque and compared bytewise.
package topk

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordSize is the length of a record in bytes. A shorter remainder at the end of a
// list is ignored.
const RecordSize = 16

// Merge returns the k greatest records of all lists, or all records if there are fewer,
// concatenated with the greatest first. Duplicates are kept.
func Merge(k int, lists [][]byte) []byte {
	if k <= 0 {
		return nil
	}
	h := make(minHeap, 0, k)
	for _, list := range lists {
		for len(list) >= RecordSize {
			h.offer(k, list[:RecordSize])
			list = list[RecordSize:]
		}
	}
	slices.SortFunc(h, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(h...)
}

// minHeap is a min-heap of the records kept so far.
type minHeap [][]byte

// offer keeps a record if it is among the k greatest so far, in place of the least one if the
// heap is full.
func (h *minHeap) offer(k int, record []byte) {
	if len(*h) < k {
		heap.Push(h, record)
		return
	}
	if bytes.Compare(record, (*h)[0]) > 0 {
		(*h)[0] = record
		heap.Fix(h, 0)
	}
}

func (h minHeap) Len() int           { return len(h) }
func (h minHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h minHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds x; it is called by container/heap.
func (h *minHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop removes the last element; it is called by container/heap.
func (h *minHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
