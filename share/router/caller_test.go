package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// Guards against taking the time that a retry has lost for the round trip to all callers
// behind its address: their answers would leave too early.
func TestRetriesDoNotChangeRoundTrips(t *testing.T) {
	var c callers
	assert.Equal(t, c.learnRoundTrip("gateway:1", 0), clock.Milli(0), "a request with its full wait shows no round trip")
	assert.Equal(t, c.learnRoundTrip("gateway:1", 40), clock.Milli(0), "a retry on an open connection")
	assert.Equal(t, c.learnRoundTrip("gateway:2", 6), clock.Milli(6), "the first request of a connection")
	assert.Equal(t, c.learnRoundTrip("gateway:2", 3), clock.Milli(6), "a later request of the connection")
	assert.Equal(t, c.learnRoundTrip("gateway:3", 18), clock.Milli(6), "a retry on a new connection")
	assert.Equal(t, c.learnRoundTrip("gateway:1", 0), clock.Milli(6))
	assert.Equal(t, c.learnRoundTrip("other:1", maxRoundTrip+1), clock.Milli(0), "too long to be a round trip")
}

// Guards against memory that grows with the connections of a day.
func TestCallersAreBounded(t *testing.T) {
	var c callers
	c.learnRoundTrip("kept:1", 0)
	for i := range 5 * maxCallers {
		c.learnRoundTrip(fmt.Sprintf("%d:1", i), 6)
		c.learnRoundTrip("kept:1", 40)
	}
	assert.Assert(t, len(c.roundTrips) <= maxCallers && len(c.recent)+len(c.former) <= 2*maxCallers)
	assert.Equal(t, c.learnRoundTrip("kept:1", 40), clock.Milli(0), "a connection in use is not forgotten")
}
