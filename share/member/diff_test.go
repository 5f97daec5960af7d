package member

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// answersUntilEqual is how many answers to its digests a host needs that lacks some
// neighbours on the ring.
func answersUntilEqual(t *testing.T, seed uint64, hosts, lacking int) int {
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
		if i >= lacking {
			short.apply(1000, e.Update)
		}
	}
	answers := 0
	for ; short.sum() != long.sum(); answers++ {
		whole := short.whole()
		for _, p := range long.differing(1000, short.Self.GossipAddress, fold(whole[:], short.digestSize())) {
			short.Receive(1000, p)
		}
		assert.Assert(t, answers < hosts, "the lists still differ: %d and %d hosts", len(short.ring), len(long.ring))
	}
	return answers
}

// Guards against a host that lacks a few neighbours on the ring and is answered, again and
// again, with others that it knows.
func TestEachAnswerToADigestSettlesSome(t *testing.T) {
	const hosts, lacking, seeds = 4000, 300, 20
	slowest, sum := 0, 0
	for seed := range uint64(seeds) {
		answers := answersUntilEqual(t, seed, hosts, lacking)
		slowest = max(slowest, answers)
		sum += answers
	}
	t.Logf("%.1f answers on average, %d at most", float64(sum)/seeds, slowest)
	// All buckets of an answer but its first and last are settled by it.
	const most = hosts/(syncMost-2*2*hosts/buckets) + 1
	assert.Assert(t, slowest <= most, "%d answers, at most %d", slowest, most)
}

// Guards against a comparison that is lost, among many that bring hosts, and made again
// only after the pause of calm times.
func TestLostComparisonIsMadeAgainSoon(t *testing.T) {
	l := &List{Self: Host{GossipAddress: "10.9.0.1:1"}, syncs: firstSyncs}
	l.start(1000)
	for _, one := range []struct {
		learned int
		pause   clock.Milli
	}{{learnedMany, syncFirst}, {0, syncAgain}, {0, syncEvery}, {1, syncAgain}, {0, syncEvery}} {
		l.learned = one.learned
		l.sync(1000)
		assert.Equal(t, l.syncAt, 1000+one.pause, "%+v", one)
	}
}

// Guards against hosts that have just started and are all told of the same few others.
func TestFreshHostsAreToldOfDifferentOnes(t *testing.T) {
	const hosts, answers = 4000, 10
	l := &List{Self: Host{GossipAddress: "10.9.0.1:1"}}
	l.start(1000)
	for i := range hosts {
		l.apply(1000, Update{Host: Host{GossipAddress: name(i)}})
	}
	fresh := &List{Self: Host{GossipAddress: "10.9.0.2:1"}}
	fresh.start(1000)
	whole := fresh.whole()
	told := map[string]bool{}
	for range answers {
		for _, p := range l.differing(1000, fresh.Self.GossipAddress, fold(whole[:], fresh.digestSize())) {
			for _, u := range p.Updates {
				told[u.Host.GossipAddress] = true
			}
		}
	}
	assert.Assert(t, len(told) > answers*syncMost/2, "%d hosts in %d answers", len(told), answers)
}
