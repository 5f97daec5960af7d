package budget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A slow service makes every request worth an additional call. The number of
// additional calls stays within the ratio plus the reserve, however long the service
// was idle before.
func TestSecondCallsStayWithinRatioAndReserve(t *testing.T) {
	const ratio, reserve, requests = 0.2, 10, 1000
	var b Budget
	b.Configure(ratio, reserve)
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
	assert.Assert(t, spent <= ratio*requests+reserve, "%d", spent)
	assert.Assert(t, spent >= ratio*requests-1, "%d", spent)
}

// All hosts restart at the same moment. A new budget holds half of its reserve, and
// a lower capacity, set when there are more hosts, takes effect at once.
func TestNewBudgetIsHalfFull(t *testing.T) {
	var b Budget
	b.Configure(0.2, 10)
	assert.Equal(t, b.Tokens, 5.0)
	b.Configure(0.2, 3)
	assert.Equal(t, b.Tokens, 3.0)
}
