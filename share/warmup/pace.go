// Package pace bounds how many requests a cold leaf gets per second from this
// host. A leaf that has just started crashes under full load, and its return then
// takes seconds more. Each host has its own part of the rate, without a word between
// them, so what counts is what all can send within one second.
//
// A host has at most one request saved up. With a few hosts that alone keeps any
// second at the rate and one more for each. With many, the requests saved up by
// all would be several times the rate. Hosts therefore begin at different points of
// their round, and a request that is not used soon after it was earned is lost.
package warmup

import "dandelionstile/share/clock"

// Limiter is one host's part of the requests that a cold leaf gets.
type Limiter struct {
	tokens float64
	at     clock.Milli
	// fullAt is when the saved request was earned.
	fullAt clock.Milli
	// Phase is where in its round this host begins, of 1.
	Phase float64
	begun bool
}

const (
	// coldBurst is how many requests may be saved up for a cold leaf.
	coldBurst = 1.0
	// coldHold is how long a saved request may be used while there are more
	// hosts than crowdHosts.
	coldHold clock.Milli = 300
	// crowdHosts is up to how many hosts may each have one saved up: what the
	// operators' bound usually allows beyond the rate (half of it, and five).
	crowdHosts = 10
	// crowdPart is the part of the rate that more hosts than that use: their
	// rounds fall together by chance, and within any second half as many again
	// as on average do.
	crowdPart = 0.7
)

// Allowed tells whether a request may go now, at a rate per second of all hosts.
func (p *Limiter) Allowed(now clock.Milli, rate float64, hosts float64) bool {
	own := rate / hosts
	if hosts > crowdHosts {
		own *= crowdPart
	}
	if !p.begun {
		p.begun = true
		p.at = now
		p.tokens = coldBurst
		if hosts > crowdHosts {
			p.tokens = p.Phase
		}
	}
	before := p.tokens
	p.tokens = min(coldBurst, p.tokens+float64(now-p.at)*own/float64(clock.Second))
	if before < coldBurst && p.tokens >= coldBurst {
		p.fullAt = p.at + clock.Milli((coldBurst-before)/own*float64(clock.Second))
	}
	p.at = now
	if hosts > crowdHosts && p.tokens >= coldBurst && now > p.fullAt+coldHold {
		// Whole rounds have gone by unused; what is left of the present one
		// stays.
		rounds := float64(now-p.fullAt) * own / float64(clock.Second)
		p.tokens = rounds - float64(int(rounds))
	}
	return p.tokens >= 1
}

// Spend takes one request.
func (p *Limiter) Spend() { p.tokens-- }
