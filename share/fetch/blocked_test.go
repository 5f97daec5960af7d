package fetch

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
)

// The event loops are busy for long, and all descriptors that they have confirmed are in use.
// A call waits for its loop to open a connection, and must still end at its timeout.
func TestTimeoutHoldsWhileLoopsAreBusy(t *testing.T) {
	const calls, timeout, busy = 300, 200 * time.Millisecond, 3 * time.Second
	s, e := startAnswerServer(t), &Engine{}
	assert.NilError(t, e.Start())
	t.Cleanup(func() { assert.NilError(t, e.Close()) })
	address := s.ln.Addr().String()
	block := make(gate)
	release := sync.OnceFunc(func() { close(block) })
	t.Cleanup(release)
	e.engine.OnData(func(c *nbio.Conn, data []byte) {
		if isCall(c) {
			<-block
		}
		c.DataHandler()(c, data)
	})
	time.AfterFunc(busy, release)
	took := make(chan time.Duration, calls)
	for range calls {
		go func() {
			r, err := Request(http.MethodGet, address, "/", nil)
			assert.Check(t, err)
			began := time.Now()
			_, _ = CallRequest(e, address, r, timeout) // the loops deliver no reply in time
			took <- time.Since(began)
		}()
	}
	longest := time.Duration(0)
	for range calls {
		longest = max(longest, <-took)
	}
	assert.Assert(t, longest < busy/2, "a call with a timeout of %s took %s", timeout, longest)
}
