package crash

import (
	"encoding/binary"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// Buckets is the number of hashes in a digest, a power of two.
const Buckets = 64

// answeredMark stands for a leaf in the hash of an answered request. It is no leaf's name.
const answeredMark = "\x00answered"

// Digest summarizes the reports that a host has, by a hash for each bucket of fingerprints. Hosts
// with equal digests have the same reports.
type Digest [Buckets]uint32

// bucketOf returns the bucket of a request.
func bucketOf(fingerprint uint64) int { return int(fingerprint % Buckets) }

// toggle adds the report on a request and a leaf, or removes it if the digest contains it.
func (d *Digest) toggle(fingerprint uint64, leaf string) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], fingerprint)
	x := rank.Hash(string(b[:]), leaf)
	d[bucketOf(fingerprint)] ^= uint32(x ^ x>>32)
}

// Fold shortens the digest to a number of hashes, a power of two up to Buckets.
func (d *Digest) Fold(size int) []uint32 {
	folded := make([]uint32, size)
	for i, hash := range d {
		folded[i%size] ^= hash
	}
	return folded
}

// Short returns the digest in full, or a single hash if there are no reports.
func (d *Digest) Short() []uint32 {
	if *d == (Digest{}) {
		return d.Fold(1)
	}
	return d.Fold(Buckets)
}

// Differs reports whether another host's digest, folded or not, differs. One that is empty or
// whose length isn't a power of two up to Buckets is taken for equal.
func (d *Digest) Differs(other []uint32) bool {
	size := len(other)
	if size == 0 || size > Buckets || size&(size-1) != 0 {
		return false
	}
	for i, hash := range d.Fold(size) {
		if hash != other[i] {
			return true
		}
	}
	return false
}

// Digest returns the digest of all reports.
func (t *Tracker) Digest() Digest { return t.digest }

// Diff returns the reports in the buckets that differ from another host's digest, up to a limit.
// Each call begins with another bucket, so that several answers together hold all reports.
func (t *Tracker) Diff(now clock.Milli, digest []uint32, limit int) []Report {
	if !t.digest.Differs(digest) {
		return nil
	}
	size := len(digest)
	own := t.digest.Fold(size)
	var buckets [Buckets][]Report
	add := func(r Report) {
		i := bucketOf(r.Fingerprint)
		if own[i%size] != digest[i%size] {
			buckets[i] = append(buckets[i], r)
		}
	}
	for fingerprint, at := range t.answered {
		add(Report{Fingerprint: fingerprint, Answered: true, Age: now - at})
	}
	for fingerprint, s := range t.suspects {
		for leaf, at := range s.downs {
			add(Report{Fingerprint: fingerprint, Leaf: leaf, Age: now - at})
		}
	}
	t.nextBucket++
	var list []Report
	for i := range Buckets {
		list = append(list, buckets[(t.nextBucket+i)%Buckets]...)
		if len(list) >= limit {
			return list[:limit]
		}
	}
	return list
}
