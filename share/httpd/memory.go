package httpd

import "net/http"

// holdRequest counts n more bytes of a request for memory, and returns the status to reject
// the request with if there is too little, or 0. The caller holds mu.
func (c *conns) holdRequest(o *openConn, n int) int {
	if !c.memory.Grow(o.heldRequests, int64(n)) {
		return http.StatusServiceUnavailable
	}
	o.heldRequests += int64(n)
	return 0
}

// releaseHeld gives back the memory that a closed connection counts for. The caller holds mu.
func (c *conns) releaseHeld(o *openConn) { c.memory.Release(o.heldRequests + o.heldAnswers) }

// holdAnswers counts the unsent bytes of a connection for memory, and reports whether there
// is enough. The caller holds mu.
func (c *conns) holdAnswers(o *openConn) bool {
	if o.caller == nil {
		return true
	}
	more := o.caller.unsent.Load() - o.heldAnswers
	if more > 0 && !c.memory.Grow(o.heldAnswers, more) {
		return false
	}
	if more < 0 {
		c.memory.Release(-more)
	}
	o.heldAnswers += more
	return true
}
