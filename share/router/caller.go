package router

import (
	"strings"

	"dandelionstile/share/clock"
)

// The load pattern: many callers share an address, and some of them retry. Only the
// first request of a connection shows the round trip to the caller: it is sent one round
// trip after the caller begins to connect. Time that has passed for other reasons must
// not shorten the targets of other callers at the address.

const (
	// maxCallers bounds the number of remembered addresses, and of connections in each of
	// recent and former. When it is reached, all addresses are forgotten.
	maxCallers = 4096
	// maxRoundTrip is the longest plausible round trip to a caller: a first
	// request that took longer is a retry.
	maxRoundTrip clock.Milli = 120
)

// callers estimates the round trip to callers. The zero value is empty.
type callers struct {
	// roundTrips holds the shortest round trip to each address.
	roundTrips map[string]clock.Milli
	// recent and former are connections that have carried a request. When recent is full,
	// it replaces former, so that connections unused since then are forgotten.
	recent, former map[string]bool
}

// learnRoundTrip returns the shortest known round trip to a caller's address, 0 if
// unknown, after it has learned from the request's elapsed time. A caller that opens a
// connection spends one round trip on it before its first request, so the elapsed time
// at that request is the round trip. Later requests on the connection name their full
// wait. A request and its answer take one more round trip, which no elapsed time includes;
// setDeadlines therefore takes it off the target.
func (c *callers) learnRoundTrip(remote string, elapsed clock.Milli) clock.Milli {
	address := remote
	if i := strings.LastIndexByte(remote, ':'); i >= 0 {
		address = remote[:i]
	}
	known, ok := c.roundTrips[address]
	if c.markUsed(remote) || elapsed <= 0 || elapsed > maxRoundTrip || ok && elapsed >= known {
		return known
	}
	if c.roundTrips == nil || len(c.roundTrips) >= maxCallers {
		c.roundTrips = map[string]clock.Milli{}
	}
	c.roundTrips[address] = elapsed
	return elapsed
}

// markUsed records a request on a connection and reports whether it had one before.
func (c *callers) markUsed(remote string) bool {
	if c.recent[remote] {
		return true
	}
	if c.recent == nil || len(c.recent) >= maxCallers {
		c.recent, c.former = map[string]bool{}, c.recent
	}
	c.recent[remote] = true
	return c.former[remote]
}
