// Package rank hashes names. Hosts that hash the same names sort them alike, and hosts that
// add their own name each get a different order, which spreads load. Neither needs messages
// between them.
package rank

import "hash/fnv"

// Hash hashes the concatenated parts of a name (FNV-1a); the parts are not separated. The hash
// is the same on all hosts and in all versions: hosts of two versions must agree on an order
// while they run side by side.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // hash.Hash: Write never returns an error
	}
	return h.Sum64()
}

// Fraction maps the parts of a name to a number in [0, 1). The high bits of FNV hardly
// change with the last bytes, so the hash is mixed with the first round of the finalizer of
// MurmurHash3: without it, a thousand names that differed in their last bytes were all below
// 0.6.
func Fraction(parts ...string) float64 {
	const bits = 53 // the precision of a float64
	x := Hash(parts...)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>(64-bits)) / (1 << bits)
}
