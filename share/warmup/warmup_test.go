package warmup

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// simulateHosts simulates many hosts that send to one cold leaf. Every second host has a
// request in busy of every ten steps of 10 ms (100 ms), the others in every step. It
// returns the largest number of requests that the leaf got in any second, and the mean.
func simulateHosts(leaf string, hosts int, rate float64, busy int, from clock.Milli) (peak int, mean float64) {
	const span = 20 * clock.Second
	limiters := make([]Limiter, hosts)
	for i := range limiters {
		limiters[i].Phase = rank.Fraction(fmt.Sprintf("host-%d", i), leaf)
	}
	var sent []clock.Milli
	for now := from; now < from+span; now += 10 {
		for i := range limiters {
			if int(now/10)%10 >= busy && i%2 == 0 || !limiters[i].Allowed(now, rate, float64(hosts)) {
				continue
			}
			limiters[i].Spend()
			sent = append(sent, now)
		}
	}
	oldest := 0
	for i, at := range sent {
		for sent[oldest] <= at-clock.Second {
			oldest++
		}
		peak = max(peak, i-oldest+1)
	}
	return peak, float64(len(sent)) / float64(span/clock.Second)
}

// Every host of a small or large fleet sends to one cold leaf at the same time, as when the
// other leaves of its shard are down. The leaf, which can serve ten requests a second,
// gets no more than the operators' bound (half as many again, plus five) in any second, and
// on average at least half of its rate.
func TestColdLeafOfManyHostsIsNotOverrun(t *testing.T) {
	const rate = 10.0
	for _, hosts := range []int{7, 30, 85, 300} {
		for _, from := range []clock.Milli{0, 5000, 60000} {
			for _, busy := range []int{10, 3} {
				for _, leaf := range []string{"a", "b", "c", "d"} {
					peak, mean := simulateHosts(leaf, hosts, rate, busy, from)
					assert.Assert(t, float64(peak) <= rate*1.5+5, "%d hosts from %d: %d in a second", hosts, from, peak)
					assert.Assert(t, mean >= rate/2, "%d hosts from %d: %.1f a second", hosts, from, mean)
					t.Logf("%d hosts from %d, busy %d: %d at most, %.1f on average", hosts, from, busy, peak, mean)
				}
			}
		}
	}
}

// All hosts send within one second to a cold leaf that had no requests for a minute. If the
// request that each host has saved were still valid, the leaf would get one from each at once.
func TestIdleColdLeafIsNotOverrun(t *testing.T) {
	const hosts, rate = 85, 10.0
	limiters := make([]Limiter, hosts)
	for i := range limiters {
		limiters[i].Phase = rank.Fraction(fmt.Sprintf("host-%d", i), "leaf")
		limiters[i].Allowed(0, rate, hosts) // starts the limiter; no request is sent
	}
	sent := 0
	for now := clock.Milli(60000); now < 61000; now += 10 {
		for i := range limiters {
			if limiters[i].Allowed(now, rate, hosts) {
				limiters[i].Spend()
				sent++
			}
		}
	}
	// The operators' bound, as above.
	assert.Assert(t, float64(sent) <= rate*1.5+5, "%d in a second", sent)
}
