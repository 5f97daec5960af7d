// Package warmup limits the rate of requests that a host sends to a cold leaf. A
// leaf that has just started crashes under full load, and its recovery then takes
// seconds longer. Each host uses its own part of the rate without coordination, so
// the total that all hosts can send within one second is what counts.
//
// A host saves at most one request. With few hosts that alone keeps any second
// within the rate plus one request per host. With many hosts the saved requests
// would add up to several times the rate, so hosts start at different phases of
// their interval and a request that is not used soon after it was earned expires.
package warmup

import "dandelionstile/share/clock"

// Limiter is a host's token bucket for one cold leaf.
type Limiter struct {
	tokens float64
	// lastRefill is when tokens were last added.
	lastRefill clock.Milli
	// fullAt is when the saved request was earned.
	fullAt clock.Milli
	// Phase is the fraction of a token that this host starts with when there are
	// many hosts, in [0, 1).
	Phase   float64
	started bool
}

const (
	// maxTokens is the number of requests that may be saved for a cold leaf.
	maxTokens = 1.0
	// tokenTTL is how long a saved request is valid when there are more hosts than
	// burstHosts.
	tokenTTL clock.Milli = 300
	// burstHosts is the largest number of hosts that may each save a request. In any
	// second the operators allow a cold leaf 1.5 times the rate plus five requests, so
	// at a rate of 10 or more there is room for ten saved ones.
	burstHosts = 10
	// manyHostsShare is the share of the rate that more hosts than burstHosts use:
	// their intervals coincide by chance, and some second gets half as many requests
	// again as the average.
	manyHostsShare = 0.7
)

// Allowed reports whether a request may be sent now, at a total rate per second for all
// hosts. It adds the tokens earned since the last call; Spend takes the request's token.
func (l *Limiter) Allowed(now clock.Milli, rate float64, hosts float64) bool {
	hostRate := rate / hosts
	if hosts > burstHosts {
		hostRate *= manyHostsShare
	}
	if !l.started {
		l.started = true
		l.lastRefill = now
		l.tokens = maxTokens
		if hosts > burstHosts {
			l.tokens = l.Phase
		}
	}
	before := l.tokens
	l.tokens = min(maxTokens, l.tokens+float64(now-l.lastRefill)*hostRate/float64(clock.Second))
	if before < maxTokens && l.tokens >= maxTokens {
		// The token was earned between the two calls.
		l.fullAt = l.lastRefill + clock.Milli((maxTokens-before)/hostRate*float64(clock.Second))
	}
	l.lastRefill = now
	if hosts > burstHosts && l.tokens >= maxTokens && now > l.fullAt+tokenTTL {
		// Drops the tokens of whole unused intervals and keeps the fraction of the
		// current one.
		intervals := float64(now-l.fullAt) * hostRate / float64(clock.Second)
		l.tokens = intervals - float64(int(intervals))
	}
	return l.tokens >= 1
}

// Spend takes the token of a request that is sent.
func (l *Limiter) Spend() { l.tokens-- }
