// Package budget bounds second calls, hedges and retries, to one service; each
// shard of an index has its own.
//
// The load pattern: a service has become slow. Without a bound it is answered with
// more load, which keeps it slow after the cause is gone.
package budget

// Budget holds the second calls that may be made. Each request earns a part of a
// call, each second call spends one. It is filled by requests and not by time: a
// budget that fills with time would, summed over all hosts, allow the most extra
// load where there is the least real load. An empty budget turns second calls off,
// it never queues them.
type Budget struct {
	// Tokens is how many second calls may be made now.
	Tokens float64
	most   float64
	ratio  float64
	filled bool
}

// Configure sets the bounds. A budget starts half full, so that processes that
// restart together cannot spend their whole reserve at once twice.
func (b *Budget) Configure(ratio, most float64) {
	b.ratio, b.most = ratio, most
	if !b.filled {
		b.filled = true
		b.Tokens = most / 2
	}
	b.Tokens = min(b.Tokens, most)
}

// Earn adds what one request earns.
func (b *Budget) Earn() { b.Tokens = min(b.Tokens+b.ratio, b.most) }

// Spend takes one second call, if there is one.
func (b *Budget) Spend() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
