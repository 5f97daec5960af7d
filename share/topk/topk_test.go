package topk

import (
	"bytes"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Compares Merge with sorting all records, over lists with duplicates and incomplete
// records at the end.
func TestMergeEqualsSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70), 0, 6).Draw(t, "lists")
		k := rapid.IntRange(0, 8).Draw(t, "k")
		var all [][]byte
		for _, l := range lists {
			for rest := l; len(rest) >= RecordSize; rest = rest[RecordSize:] {
				all = append(all, rest[:RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := slices.Concat(all[:min(k, len(all))]...)
		if !bytes.Equal(Merge(k, lists), want) {
			t.Fatalf("got %x, want %x", Merge(k, lists), want)
		}
	})
}

// A host may merge a part of the shards for another one, which merges the results. Both
// steps must give the same as merging all lists at once.
func TestMergeOfMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 80), 4, 4).Draw(t, "lists")
		k := rapid.IntRange(1, 6).Draw(t, "k")
		parts := [][]byte{Merge(k, lists[:2]), Merge(k, lists[2:])}
		assert.Assert(t, bytes.Equal(Merge(k, parts), Merge(k, lists)))
	})
}
