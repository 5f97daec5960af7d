package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A caller is still reading its answers when the entry stops. They were cut off.
func TestStopCutsOffAnswers(t *testing.T) {
	f := newIsolatedFront(t)
	f.Address = "127.0.0.1:0"
	assert.NilError(t, f.Start())
	c, err := net.Dial("tcp", f.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
	assert.NilError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
	const requests = 800 // with more bytes of answers than the buffers of the sockets take
	_, err = io.WriteString(c, strings.Repeat("POST /v1/ids HTTP/1.1\r\nHost: h\r\nContent-Length: 14\r\n\r\n{\"count\":1000}", requests))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.server.Unsent() == 0 || f.inFlight.Load() > 0 {
			return poll.Continue("no answer is unsent")
		}
		return poll.Success()
	})
	left := make(chan struct{})
	go func() {
		defer close(left)
		f.Leave()
		assert.Check(t, f.Close())
	}()
	select {
	case <-left:
	case <-time.After(balancerDelay + time.Second): // Leave still waits
	}
	in := bufio.NewReader(c)
	for i := range requests {
		res, err := http.ReadResponse(in, nil)
		assert.NilError(t, err, "answer %d", i)
		_, err = io.ReadAll(res.Body)
		assert.NilError(t, err, "answer %d", i)
		assert.NilError(t, res.Body.Close())
	}
	<-left
}
