package budget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a retry storm: a slow service makes every request worth an additional call.
// The number of additional calls stays within the ratio plus the capacity, also after many
// requests that needed none.
func TestAdditionalCallsStayWithinRatioAndCapacity(t *testing.T) {
	const ratio, capacity, requests = 0.2, 10, 1000
	var b Budget
	b.Configure(ratio, capacity)
	for range requests {
		b.Earn()
	}
	spent := 0
	for range requests {
		b.Earn()
		if b.Spend() {
			spent++
		}
	}
	assert.Assert(t, spent <= ratio*requests+capacity, "%d", spent)
	// Less than one token may be left of what the requests earned.
	assert.Assert(t, spent >= ratio*requests-1, "%d", spent)
}

// A new budget is half full: with a full one, a host that restarts could spend its capacity
// twice. A lower capacity, set when there are more hosts, takes effect at once: otherwise
// the hosts' budgets would together exceed the total.
func TestNewBudgetIsHalfFull(t *testing.T) {
	var b Budget
	b.Configure(0.2, 10)
	assert.Equal(t, b.Tokens, 5.0)
	b.Configure(0.2, 3)
	assert.Equal(t, b.Tokens, 3.0)
}
