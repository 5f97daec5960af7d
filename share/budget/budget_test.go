package budget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A service turns slow and every request would be asked for twice. Over any run
// of requests no more second calls are made than the ratio and the reserve allow,
// however long it was quiet before.
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

// All hosts start again at the same moment. A new budget holds half of its
// reserve, and a smaller part for more hosts takes effect at once.
func TestNewBudgetIsHalfFull(t *testing.T) {
	var b Budget
	b.Configure(0.2, 10)
	assert.Equal(t, b.Tokens, 5.0)
	b.Configure(0.2, 3)
	assert.Equal(t, b.Tokens, 3.0)
}
