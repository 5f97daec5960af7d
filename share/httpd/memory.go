package httpd

import "dandelionstile/share/quota"

// requestCost is the memory that a request takes besides its bytes. Requests may arrive on
// one connection faster than they are handled.
const requestCost = 2 << 10

// holdRequest counts bytes of a request for memory, and reports whether there is enough.
// The caller holds mu.
func (c *conns) holdRequest(o *openConn, data []byte, isHead bool) bool {
	cost := int64(len(data))
	if isHead {
		cost = quota.HeadCost(data)
	}
	if !c.memory.Grow(o.heldRequests, cost) {
		return false
	}
	o.heldRequests += cost
	return true
}

// holdParsed counts a request that has been read to its end, even if there is too little
// memory; the next bytes on its connection are rejected then. The caller holds mu.
func (c *conns) holdParsed(o *openConn) {
	c.memory.Add(requestCost)
	o.heldRequests += requestCost
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
