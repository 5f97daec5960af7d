package member

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// answersUntilEqual returns how many answers to its digests a host needs when some
// adjacent hosts on the ring are missing from its list.
func answersUntilEqual(t *testing.T, seed uint64, hosts, missing int) int {
	t.Helper()
	short, long := &List{Self: Host{GossipAddress: "10.9.0.1:1"}}, &List{Self: Host{GossipAddress: "10.9.0.2:1", Started: seed}}
	short.start(1000)
	long.start(1000)
	long.apply(1000, short.self.Update)
	short.apply(1000, long.self.Update)
	for i := range hosts {
		long.apply(1000, Update{Host: Host{GossipAddress: name(i)}})
	}
	for i, e := range long.ring {
		if i >= missing {
			short.apply(1000, e.Update)
		}
	}
	answers := 0
	for ; short.checksum() != long.checksum(); answers++ {
		whole := short.fullDigest()
		for _, p := range long.diffPackets(1000, short.Self.GossipAddress, foldDigest(whole[:], short.digestSize())) {
			short.Receive(1000, p)
		}
		assert.Assert(t, answers < hosts, "the lists still differ: %d and %d hosts", len(short.ring), len(long.ring))
	}
	return answers
}

// A host lacks a few adjacent hosts of the ring. If answers were not made of whole
// buckets, it would repeatedly get hosts that it already knows.
func TestEachAnswerToADigestSettlesSome(t *testing.T) {
	const hosts, lacking, seeds = 4000, 300, 20
	slowest, sum := 0, 0
	for seed := range uint64(seeds) {
		answers := answersUntilEqual(t, seed, hosts, lacking)
		slowest = max(slowest, answers)
		sum += answers
	}
	t.Logf("%.1f answers on average, %d at most", float64(sum)/seeds, slowest)
	// An answer leaves at most two of its buckets unequal, the first and the last. A
	// bucket has hosts/maxBuckets hosts on average, here taken twice as large.
	const limit = hosts/(maxSyncUpdates-2*2*hosts/maxBuckets) + 1
	assert.Assert(t, slowest <= limit, "%d answers, at most %d", slowest, limit)
}

// A comparison brings hosts, and the answer to the next one is lost. The comparison must
// be repeated soon, not after the full interval.
func TestLostComparisonIsMadeAgainSoon(t *testing.T) {
	l := &List{Self: Host{GossipAddress: "10.9.0.1:1"}, syncs: startupSyncs}
	l.start(1000)
	for _, step := range []struct {
		learned  int
		interval clock.Milli
	}{{fastSyncThreshold, syncFastInterval}, {0, syncSoonInterval}, {0, syncInterval}, {1, syncSoonInterval}, {0, syncInterval}} {
		l.learned = step.learned
		l.sync(1000)
		assert.Equal(t, l.syncAt, 1000+step.interval, "%+v", step)
	}
}

// Many hosts start at once and send their digests. If answers always held the same few
// hosts, the new hosts could not learn the others from each other.
func TestAnswersToNewHostsDiffer(t *testing.T) {
	const hosts, answers = 4000, 10
	l := &List{Self: Host{GossipAddress: "10.9.0.1:1"}}
	l.start(1000)
	for i := range hosts {
		l.apply(1000, Update{Host: Host{GossipAddress: name(i)}})
	}
	fresh := &List{Self: Host{GossipAddress: "10.9.0.2:1"}}
	fresh.start(1000)
	whole := fresh.fullDigest()
	received := map[string]bool{}
	for range answers {
		for _, p := range l.diffPackets(1000, fresh.Self.GossipAddress, foldDigest(whole[:], fresh.digestSize())) {
			for _, u := range p.Updates {
				received[u.Host.GossipAddress] = true
			}
		}
	}
	assert.Assert(t, len(received) > answers*maxSyncUpdates/2, "%d hosts in %d answers", len(received), answers)
}
