// Package budget bounds the additional calls, hedges and retries, to one service;
// each shard of an index has its own budget.
//
// It guards against retry storms: without a bound, hosts respond to a slow service
// with additional load, which keeps it slow after the cause is gone.
package budget

// Budget holds tokens for additional calls. Each request earns a fraction of a token
// and each additional call spends one. Requests fill the budget, not time: a budget
// that fills with time would, summed over all hosts, allow the most additional load
// when there is the least regular load. An empty budget disables additional calls;
// it never queues them.
type Budget struct {
	// Tokens is the number of additional calls that may be made now.
	Tokens float64
	// capacity is the largest number of tokens.
	capacity float64
	// ratio is the number of tokens that a request earns.
	ratio      float64
	configured bool
}

// Configure sets the ratio of additional calls to requests and the capacity; tokens beyond
// a lower capacity are lost. A new budget is half full: otherwise a process could spend
// a full budget, restart, and spend another at once.
func (b *Budget) Configure(ratio, capacity float64) {
	b.ratio, b.capacity = ratio, capacity
	if !b.configured {
		b.configured = true
		b.Tokens = capacity / 2
	}
	b.Tokens = min(b.Tokens, capacity)
}

// Earn adds the tokens for one request.
func (b *Budget) Earn() { b.Tokens = min(b.Tokens+b.ratio, b.capacity) }

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
