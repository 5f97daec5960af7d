package member

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

const (
	// gossipInterval is the interval between gossip rounds while updates are
	// queued.
	gossipInterval clock.Milli = 200
	// gossipSameDomain and gossipAnyDomain are how many hosts of the own failure
	// domain and of all domains get a packet each round. Few cross domains because
	// traffic between domains is billed.
	gossipSameDomain = 2
	gossipAnyDomain  = 1
	// updatesPerPacket is the limit of updates in a packet, about 1 KB.
	updatesPerPacket = 32
	// extraSends and the bit length of the number of hosts add up to the number of times
	// that each host sends an update. By then the update has reached nearly all hosts.
	extraSends = 2
	// maxQueued bounds the queued updates. When more hosts change at once, digests
	// repair what was not queued.
	maxQueued = 10 * updatesPerPacket
	// leaveFanout is how many hosts a leaving host notifies directly.
	leaveFanout = 24

	// syncInterval is the interval between digest comparisons. It is syncFastInterval
	// after each of the first startupSyncs and after a comparison that brought at least
	// fastSyncThreshold hosts, and syncSoonInterval after one that brought fewer or
	// that followed another by syncFastInterval.
	syncInterval                 = 5 * clock.Second
	syncSoonInterval             = clock.Second
	syncFastInterval clock.Milli = 150
	startupSyncs                 = 12
	// fastSyncThreshold is how many hosts a comparison must bring for the next one to
	// follow after syncFastInterval.
	fastSyncThreshold = 8
	// seedSyncEvery is the interval, in comparisons, at which one also goes to a seed,
	// beginning with the first. Seeds rejoin partitions of the system.
	seedSyncEvery = 4
	// maxSyncUpdates is how many hosts an answer to a digest may hold, and
	// fullSyncsPerSecond how many answers per second may hold that many. Further
	// answers hold updatesPerPacket hosts, and the receiver can send a digest to those.
	// The limit protects seeds, to which every starting host sends a digest.
	maxSyncUpdates     = 12 * updatesPerPacket
	fullSyncsPerSecond = 40
	// maxBuckets is the largest number of buckets in a digest, a power of two. A
	// digest has about one bucket per hostsPerBucket hosts.
	maxBuckets     = 256
	hostsPerBucket = 8
)

// publish queues an update for the next packets. An update that is already queued gets its
// full number of sends again. If the queue is full, only the update of this host itself is
// queued.
func (l *List) publish(e *entry) {
	e.sendsLeft = extraSends + bits.Len(uint(len(l.ring)+1))
	if !e.queued && (len(l.queue) < maxQueued || e == &l.self) {
		e.queued = true
		l.queue = append(l.queue, e)
	}
}

func (l *List) publishSelf() { l.publish(&l.self) }

// takeUpdates returns up to limit queued updates for one packet, and requeues those with
// sends left.
func (l *List) takeUpdates(limit int) []Update {
	n := min(limit, len(l.queue))
	if n <= 0 {
		return nil
	}
	list := make([]Update, 0, n)
	taken := l.queue[:n]
	l.queue = l.queue[n:]
	for _, e := range taken {
		list = append(list, e.Update)
		if e.sendsLeft--; e.sendsLeft > 0 {
			l.queue = append(l.queue, e)
			continue
		}
		e.queued = false
	}
	return list
}

// fillPacket sets the receiver and the sender of a packet and fills it up with queued
// updates.
func (l *List) fillPacket(to string, p Packet) Packet {
	p.To = to
	p.Sender = l.self.Update
	p.Updates = append(p.Updates, l.takeUpdates(updatesPerPacket-len(p.Updates))...)
	return p
}

// Gossip returns packets to a few random hosts, with queued updates if any.
func (l *List) Gossip(now clock.Milli) []Packet {
	l.start(now)
	var packets []Packet
	for _, e := range append(l.sample(l.sameDomain, gossipSameDomain, nil), l.sample(l.ring, gossipAnyDomain, nil)...) {
		packets = append(packets, l.fillPacket(e.Host.GossipAddress, Packet{Kind: Publish}))
	}
	return packets
}

// sample returns up to limit distinct random hosts of a list, without the excluded one if
// it is not nil.
func (l *List) sample(candidates []*entry, limit int, excluded *entry) []*entry {
	if len(candidates) <= 2*limit {
		// Drawing until enough differ is slow for a short list, and does not end if it
		// has fewer than limit hosts.
		list := slices.DeleteFunc(slices.Clone(candidates), func(e *entry) bool { return e == excluded })
		l.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list[:min(len(list), limit)]
	}
	list := make([]*entry, 0, limit)
	for len(list) < limit {
		if e := candidates[l.rand.IntN(len(candidates))]; e != excluded && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// sync returns packets with the digest of the list for another host, a seed or both, and
// schedules the next comparison.
func (l *List) sync(now clock.Milli) []Packet {
	l.syncs++
	l.syncedAt = now
	interval := syncInterval
	switch {
	case l.syncs <= startupSyncs || l.learned >= fastSyncThreshold:
		interval = syncFastInterval
	case l.learned > 0 || l.lastSyncInterval == syncFastInterval:
		// If a comparison brings nothing after others that did, its answer may be
		// lost.
		interval = syncSoonInterval
	}
	l.lastSyncInterval, l.syncAt = interval, now+interval
	l.learned = 0
	whole := l.fullDigest()
	digest := foldDigest(whole[:], l.digestSize())
	var packets []Packet
	send := func(to string) {
		if to != l.Self.GossipAddress {
			packets = append(packets, l.fillPacket(to, Packet{Kind: Sync, Digest: digest}))
		}
	}
	if len(l.Seeds) > 0 && (len(l.ring) == 0 || l.syncs%seedSyncEvery == 1) {
		send(l.Seeds[l.rand.IntN(len(l.Seeds))])
	}
	if l.syncWith != "" {
		// The host's checksum has shown that its list differs.
		send(l.syncWith)
		l.syncWith = ""
		return packets
	}
	for _, e := range l.sample(l.ring, 1, nil) {
		send(e.Host.GossipAddress)
	}
	return packets
}

// diffPackets answers a digest with the hosts of the differing buckets, including
// removed hosts, which the receiver may still list. It returns nil if the digest's
// length is not a power of two up to maxBuckets.
func (l *List) diffPackets(now clock.Milli, to string, digest []uint32) []Packet {
	size := len(digest)
	if size == 0 || size > maxBuckets || size&(size-1) != 0 {
		return nil
	}
	limit := l.takeSyncBudget(now)
	whole := l.fullDigest()
	own := foldDigest(whole[:], size)
	differs := func(e *entry) bool {
		i := e.hash % uint64(size)
		return own[i] != digest[i]
	}
	var counts [maxBuckets]int
	count := func(list []*entry) {
		for _, e := range list {
			if differs(e) {
				counts[e.hash%uint64(size)]++
			}
		}
	}
	count(l.ring)
	count(l.removed)
	// Prefers buckets that fit whole, since the receiver's bucket then matches. The
	// first differing bucket is chosen even if it does not fit. Starting at a random
	// bucket lets several hosts together answer a long list in full.
	remaining := limit
	var chosen [maxBuckets]bool
	for i, first := 0, l.rand.IntN(size); i < size; i++ {
		bucket := (first + i) % size
		if n := counts[bucket]; n > 0 && (n <= remaining || remaining == limit) {
			chosen[bucket] = true
			remaining -= n
		}
	}
	var list []Update
	add := func(e *entry) {
		if chosen[e.hash%uint64(size)] && len(list) < limit {
			list = append(list, e.Update)
		}
	}
	// A single bucket larger than an answer is cut at a random position.
	cut := 0
	if len(l.ring) > 0 {
		cut = l.rand.IntN(len(l.ring))
	}
	for i := range l.ring {
		add(l.ring[(cut+i)%len(l.ring)])
	}
	for _, e := range slices.Backward(l.removed) { // newest first
		add(e)
	}
	var packets []Packet
	for len(list) > 0 {
		n := min(updatesPerPacket, len(list))
		// The capacity n keeps fillPacket from overwriting the rest of the list.
		packets = append(packets, l.fillPacket(to, Packet{Kind: Diff, Updates: list[:n:n]}))
		list = list[n:]
	}
	return packets
}

// takeSyncBudget counts an answer to a digest and returns how many hosts it may hold.
func (l *List) takeSyncBudget(now clock.Milli) int {
	if now >= l.syncsServedAt+clock.Second {
		l.syncsServedAt, l.syncsServed = now, 0
	}
	if l.syncsServed++; l.syncsServed > fullSyncsPerSecond {
		return updatesPerPacket
	}
	return maxSyncUpdates
}

// MayAnswerInFull reports whether the last Sync from another host was within
// fullSyncsPerSecond, so that its answer may take several packets.
func (l *List) MayAnswerInFull() bool { return l.syncsServed <= fullSyncsPerSecond }

// digestSize returns the length of a digest for the number of known hosts.
func (l *List) digestSize() int {
	return min(maxBuckets, 1<<bits.Len(uint(len(l.ring)/hostsPerBucket)))
}

// foldDigest shortens a digest to a size that is a power of two.
func foldDigest(digest []uint32, size int) []uint32 {
	folded := make([]uint32, size)
	for i, part := range digest {
		folded[i%size] ^= part
	}
	return folded
}

// fullDigest returns the digest of the hosts that are up, including this one.
func (l *List) fullDigest() [maxBuckets]uint32 {
	digest := l.digest
	digest[l.self.bucket()] ^= l.self.fingerprint()
	return digest
}

// checksum returns a hash of the hosts that are up, including this one.
func (l *List) checksum() uint32 {
	var sum uint32
	for _, part := range l.fullDigest() {
		sum ^= part
	}
	return sum
}

// toggleDigest adds a host to the digest, or removes it if the digest contains it.
func (l *List) toggleDigest(e *entry) { l.digest[e.bucket()] ^= e.fingerprint() }

// bucket returns the digest bucket of a host.
func (e *entry) bucket() int { return int(e.hash % maxBuckets) }

// fingerprint returns a hash of a host's address, start time and incarnation.
func (e *entry) fingerprint() uint32 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], e.Host.Started)
	binary.LittleEndian.PutUint64(b[8:], e.Host.Incarnation)
	x := rank.Hash(e.Host.GossipAddress, string(b[:]))
	return uint32(x ^ x>>32)
}
