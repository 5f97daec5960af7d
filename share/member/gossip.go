package member

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

const (
	// gossipPeriod is the pause between two rounds in which updates are
	// published, while there are any.
	gossipPeriod clock.Milli = 200
	// gossipNear and gossipAny are how many hosts are told a round, of the own
	// failure domain and of all: bytes between domains are billed.
	gossipNear = 2
	gossipAny  = 1
	// perPacket is how many updates a packet takes, about 1 KB.
	perPacket = 32
	// sendsMore is how often a host sends an update beyond the binary digits of
	// the number of hosts, in which it reaches nearly all.
	sendsMore = 2
	// mostQueued bounds the updates that wait: where more hosts change at once,
	// digests mend what was not published.
	mostQueued = 10 * perPacket
	// leaveTold is how many hosts a leaving host tells itself.
	leaveTold = 24

	// syncEvery is the pause between two comparisons of digests, syncAgain after
	// one that has shown a difference or came after syncFirst, and syncFirst after one
	// that has shown many, or for the firstSyncs of a host that has just started.
	syncEvery              = 5 * clock.Second
	syncAgain              = clock.Second
	syncFirst  clock.Milli = 150
	firstSyncs             = 12
	// learnedMany is how many hosts one comparison must bring for the next to
	// come at once.
	learnedMany = 8
	// seedEvery is each how many comparisons a seed is asked: it joins parts of
	// the system that have lost each other.
	seedEvery = 4
	// syncMost is how many hosts are published in answer to one digest, and
	// syncsServed how many digests a second are answered so; others get perPacket
	// hosts, whom they can ask in turn. Seeds are asked by all that start.
	syncMost    = 12 * perPacket
	syncsServed = 40
	// buckets is how many parts of the list have a hash of their own at most, a
	// power of two. A digest has one for each perBucket hosts or so.
	buckets   = 256
	perBucket = 8
)

// publish sends an update along with the next packets.
func (l *List) publish(e *entry) {
	e.sends = sendsMore + bits.Len(uint(len(l.ring)+1))
	if !e.queued && (len(l.queue) < mostQueued || e == &l.self) {
		e.queued = true
		l.queue = append(l.queue, e)
	}
}

func (l *List) publishSelf() { l.publish(&l.self) }

// takeUpdates takes updates for one packet, in turn.
func (l *List) takeUpdates(room int) []Update {
	n := min(room, len(l.queue))
	if n <= 0 {
		return nil
	}
	list := make([]Update, 0, n)
	taken := l.queue[:n]
	l.queue = l.queue[n:]
	for _, e := range taken {
		list = append(list, e.Update)
		if e.sends--; e.sends > 0 {
			l.queue = append(l.queue, e)
			continue
		}
		e.queued = false
	}
	return list
}

// packet fills a packet with the sender and what is to be published.
func (l *List) packet(to string, p Packet) Packet {
	p.To = to
	p.Sender = l.self.Update
	p.Updates = append(p.Updates, l.takeUpdates(perPacket-len(p.Updates))...)
	return p
}

// Gossip returns packets for a few random hosts, with updates if there are any.
func (l *List) Gossip(now clock.Milli) []Packet {
	l.start(now)
	var packets []Packet
	for _, e := range append(l.sample(l.near, gossipNear, nil), l.sample(l.ring, gossipAny, nil)...) {
		packets = append(packets, l.packet(e.Host.GossipAddress, Packet{Kind: Publish}))
	}
	return packets
}

// sample draws different hosts from a list, without one.
func (l *List) sample(from []*entry, most int, without *entry) []*entry {
	if len(from) <= 2*most {
		list := slices.DeleteFunc(slices.Clone(from), func(e *entry) bool { return e == without })
		l.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list[:min(len(list), most)]
	}
	list := make([]*entry, 0, most)
	for len(list) < most {
		if e := from[l.rand.IntN(len(from))]; e != without && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// sync sends the digest of the list to another host, or to a seed.
func (l *List) sync(now clock.Milli) []Packet {
	l.syncs++
	l.syncedAt = now
	period := syncEvery
	switch {
	case l.syncs <= firstSyncs || l.learned >= learnedMany:
		period = syncFirst
	case l.learned > 0 || l.syncPeriod == syncFirst:
		// One that brings nothing after others that did may have been lost.
		period = syncAgain
	}
	l.syncPeriod, l.syncAt = period, now+period
	l.learned = 0
	whole := l.whole()
	digest := fold(whole[:], l.digestSize())
	var packets []Packet
	send := func(to string) {
		if to != l.Self.GossipAddress {
			packets = append(packets, l.packet(to, Packet{Kind: Sync, Digest: digest}))
		}
	}
	if len(l.Seeds) > 0 && (len(l.ring) == 0 || l.syncs%seedEvery == 1) {
		send(l.Seeds[l.rand.IntN(len(l.Seeds))])
	}
	if l.syncWith != "" {
		send(l.syncWith)
		l.syncWith = ""
		return packets
	}
	for _, e := range l.sample(l.ring, 1, nil) {
		send(e.Host.GossipAddress)
	}
	return packets
}

// differing answers a digest with the hosts of buckets that differ, and those
// that are gone, of which the other may not know.
func (l *List) differing(now clock.Milli, to string, digest []uint32) []Packet {
	size := len(digest)
	if size == 0 || size > buckets || size&(size-1) != 0 {
		return nil
	}
	most := l.syncRoom(now)
	whole := l.whole()
	own := fold(whole[:], size)
	differs := func(e *entry) bool {
		i := e.hash % uint64(size)
		return own[i] != digest[i]
	}
	var counts [buckets]int
	count := func(list []*entry) {
		for _, e := range list {
			if differs(e) {
				counts[e.hash%uint64(size)]++
			}
		}
	}
	count(l.ring)
	count(l.gone)
	// Whole buckets, which one answer settles, from one drawn anew, so that several
	// hosts together answer a long list in full.
	room := most
	var chosen [buckets]bool
	for i, first := 0, l.rand.IntN(size); i < size; i++ {
		bucket := (first + i) % size
		if n := counts[bucket]; n > 0 && (n <= room || room == most) {
			chosen[bucket] = true
			room -= n
		}
	}
	var list []Update
	add := func(e *entry) {
		if chosen[e.hash%uint64(size)] && len(list) < most {
			list = append(list, e.Update)
		}
	}
	// A single bucket that is larger than an answer is cut at a place drawn anew.
	cut := 0
	if len(l.ring) > 0 {
		cut = l.rand.IntN(len(l.ring))
	}
	for i := range l.ring {
		add(l.ring[(cut+i)%len(l.ring)])
	}
	for _, e := range slices.Backward(l.gone) {
		add(e)
	}
	var packets []Packet
	for len(list) > 0 {
		n := min(perPacket, len(list))
		packets = append(packets, l.packet(to, Packet{Kind: Diff, Updates: list[:n:n]}))
		list = list[n:]
	}
	return packets
}

// syncRoom is how many hosts may be published in answer to one more digest.
func (l *List) syncRoom(now clock.Milli) int {
	if now >= l.servedAt+clock.Second {
		l.servedAt, l.served = now, 0
	}
	if l.served++; l.served > syncsServed {
		return perPacket
	}
	return syncMost
}

// digestSize is the length of a digest, for the number of hosts known.
func (l *List) digestSize() int {
	return min(buckets, 1<<bits.Len(uint(len(l.ring)/perBucket)))
}

// fold shortens a digest to a size that is a power of two.
func fold(digest []uint32, size int) []uint32 {
	folded := make([]uint32, size)
	for i, part := range digest {
		folded[i%size] ^= part
	}
	return folded
}

// whole is the digest of all hosts, this one included.
func (l *List) whole() [buckets]uint32 {
	digest := l.digest
	digest[l.self.bucket()] ^= l.self.fingerprint()
	return digest
}

// sum is a hash of the whole list.
func (l *List) sum() uint32 {
	var sum uint32
	for _, part := range l.whole() {
		sum ^= part
	}
	return sum
}

// toggle adds a host to the digest, or takes it out.
func (l *List) toggle(e *entry) { l.digest[e.bucket()] ^= e.fingerprint() }

func (e *entry) bucket() int { return int(e.hash % buckets) }

// fingerprint is a hash of a host and its incarnation.
func (e *entry) fingerprint() uint32 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], e.Host.Started)
	binary.LittleEndian.PutUint64(b[8:], e.Host.Incarnation)
	x := rank.Hash(e.Host.GossipAddress, string(b[:]))
	return uint32(x ^ x>>32)
}
