package warmup

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// burstOf drives the paces of many hosts for one cold leaf, each host with a
// request to send in so many of 100 ms, and returns the most that the leaf got
// in any second, and the mean.
func burstOf(leaf string, hosts int, rate float64, busy int, from clock.Milli) (most int, mean float64) {
	const span = 20 * clock.Second
	paces := make([]Limiter, hosts)
	for i := range paces {
		paces[i].Phase = rank.Fraction(fmt.Sprintf("host-%d", i), leaf)
	}
	var sent []clock.Milli
	for now := from; now < from+span; now += 10 {
		for i := range paces {
			if int(now/10)%10 >= busy && i%2 == 0 || !paces[i].Allowed(now, rate, float64(hosts)) {
				continue
			}
			paces[i].Spend()
			sent = append(sent, now)
		}
	}
	first := 0
	for i, at := range sent {
		for sent[first] <= at-clock.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(sent)) / float64(span/clock.Second)
}

// A leaf of a large fleet has just started and bears ten requests a second; the
// others of its shard are down, so that every host has a request for it at once.
// It gets no more than the operators allow, half as many again and five, and
// still more than half of what it bears.
func TestColdLeafOfManyHostsIsNotOverrun(t *testing.T) {
	const rate = 10.0
	for _, hosts := range []int{7, 30, 85, 300} {
		for _, from := range []clock.Milli{0, 5000, 60000} {
			for _, busy := range []int{10, 3} {
				for _, leaf := range []string{"a", "b", "c", "d"} {
					most, mean := burstOf(leaf, hosts, rate, busy, from)
					assert.Assert(t, float64(most) <= rate*1.5+5, "%d hosts from %d: %d in a second", hosts, from, most)
					assert.Assert(t, mean >= rate/2, "%d hosts from %d: %.1f a second", hosts, from, mean)
					t.Logf("%d hosts from %d, busy %d: %d at most, %.1f on average", hosts, from, busy, most, mean)
				}
			}
		}
	}
}

// The leaf is cold and nobody has asked for it for a minute; then all hosts do
// within one second. Requests saved up by each must not come together.
func TestColdLeafThatNobodyAskedIsNotOverrun(t *testing.T) {
	const hosts, rate = 85, 10.0
	paces := make([]Limiter, hosts)
	for i := range paces {
		paces[i].Phase = rank.Fraction(fmt.Sprintf("host-%d", i), "leaf")
		paces[i].Allowed(0, rate, hosts)
	}
	sent := 0
	for now := clock.Milli(60000); now < 61000; now += 10 {
		for i := range paces {
			if paces[i].Allowed(now, rate, hosts) {
				paces[i].Spend()
				sent++
			}
		}
	}
	assert.Assert(t, float64(sent) <= rate*1.5+5, "%d in a second", sent)
}
