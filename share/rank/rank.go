// Package rank turns names into numbers by which hosts order things alike, or
// each in its own order, without a word between them.
package rank

import "hash/fnv"

// Hash hashes the parts of a name, in order (FNV-1a). The same parts give the same
// number on all hosts and in all versions: hosts of two versions must agree on
// an order while they run side by side.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // a hash never fails
	}
	return h.Sum64()
}

// Fraction is a number in [0, 1) for the parts of a name. FNV's high bits hardly
// change with the last bytes, so they are mixed once more (MurmurHash3's last
// step): without that, a thousand names that differ at their end all fell below
// 0.6.
func Fraction(parts ...string) float64 {
	const bits = 53 // a float64's
	x := Hash(parts...)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>(64-bits)) / (1 << bits)
}
