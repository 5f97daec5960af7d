package router

import (
	"strings"

	"dandelionstile/share/clock"
)

// The load pattern: many callers share an address, and some of them ask again and
// again. Only the first request of a connection tells how far its caller is: it was sent one
// round trip after the caller began to connect. Time that has passed for another
// reason must not shorten the time of the others behind the address.

const (
	// maxCallers bounds the memory for callers.
	maxCallers = 4096
	// maxRoundTrip is the longest round trip to a caller that is believed: a first
	// request that took longer on its way is one that was sent again.
	maxRoundTrip clock.Milli = 120
)

// callers remembers how far away callers are. The zero value knows none.
type callers struct {
	// roundTrips holds the shortest round trip to each address.
	roundTrips map[string]clock.Milli
	// recent and former are connections that have carried a request. Those that are not
	// used for a while leave with former.
	recent, former map[string]bool
}

// roundTrip returns the round trip to a caller, 0 if it is not known. A caller that
// opens a connection spends one round trip on it before its first request, so that the
// time that has passed by then tells the round trip; later requests on the connection
// name their full wait, and the answer needs the same time back.
func (c *callers) roundTrip(remote string, passed clock.Milli) clock.Milli {
	address := remote
	if i := strings.LastIndexByte(remote, ':'); i >= 0 {
		address = remote[:i]
	}
	known, ok := c.roundTrips[address]
	if c.used(remote) || passed <= 0 || passed > maxRoundTrip || ok && passed >= known {
		return known
	}
	if c.roundTrips == nil || len(c.roundTrips) >= maxCallers {
		c.roundTrips = map[string]clock.Milli{}
	}
	c.roundTrips[address] = passed
	return passed
}

// used records a request on a connection and returns whether it had one before.
func (c *callers) used(remote string) bool {
	if c.recent[remote] {
		return true
	}
	if c.recent == nil || len(c.recent) >= maxCallers {
		c.recent, c.former = map[string]bool{}, c.recent
	}
	c.recent[remote] = true
	return c.former[remote]
}
