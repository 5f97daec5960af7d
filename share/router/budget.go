package router

// budget bounds second calls, hedges and retries, to one service; each shard of
// an index has its own. Each request earns a part of a call, each second call
// spends one. It is filled by requests
// and not by time: a budget that fills with time would, summed over all hosts,
// allow the most extra load where there is the least real load. An empty budget
// turns second calls off, it never queues them; without it, a slow service is
// answered with more load, which keeps it slow after the cause is gone.
type budget struct {
	tokens float64
	most   float64
	ratio  float64
	filled bool
}

// fill sets the bounds. A budget starts half full, so that processes that
// restart together cannot spend their whole reserve at once twice.
func (b *budget) fill(ratio, most float64) {
	b.ratio, b.most = ratio, most
	if !b.filled {
		b.filled = true
		b.tokens = most / 2
	}
	b.tokens = min(b.tokens, most)
}

func (b *budget) earn() { b.tokens = min(b.tokens+b.ratio, b.most) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
