package httpd

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All hosts leave at once, so that the load balancer goes on sending callers. They were refused
// as soon as nothing was in flight, while the host had time to serve them.
func TestDrainServesCallersWhoKeepComing(t *testing.T) {
	d := startDrain(t)
	const drainTime, lastBy = 2 * time.Second, 800 * time.Millisecond
	start := time.Now()
	drained := make(chan bool, 1)
	go func() { drained <- d.Drain(start.Add(drainTime), nil) }()
	for time.Since(start) < lastBy {
		c := dial(t, d.Server)
		c.send(t, "/")
		_, err := c.receive()
		assert.NilError(t, err)
		time.Sleep(quietTime / 2)
	}
	assert.Assert(t, <-drained)
	assert.Assert(t, time.Since(start) < drainTime)
	_, err := net.Dial("tcp", d.Addr())
	assert.ErrorContains(t, err, "refused")
}
