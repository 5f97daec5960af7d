package runner

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"time"

	"dandelionstile/platform/fake"
)

const (
	// meanBurstInterval is the mean interval between two bursts to a host. In a burst,
	// callers open connsPerCaller connections one after the other, each for one request.
	meanBurstInterval = 200 * time.Millisecond
	connsPerCaller    = 5
	// halfClosersPerBurst callers close their side within maxHalfCloseDelay after the
	// request, while the host closes the connection. freshPerBurst callers wait for
	// their answers.
	halfClosersPerBurst = 6
	freshPerBurst       = 3
	maxHalfCloseDelay   = 300 * time.Microsecond
	halfCloseTimeout    = 500 * time.Millisecond
	// unroutedPath has no route, so that the host answers and leaves get no load.
	unroutedPath = "/none"
)

// closingRequest lacks a request ID. A host rejects it at once and closes the connection.
const closingRequest = "GET / HTTP/1.1\r\nHost: " + hostHeader + "\r\nConnection: close\r\n\r\n"

// sendBursts sends bursts to one host while it is in rotation. Each burst ends before the
// next one begins.
func (t *testbed) sendBursts(h *host, r *rand.Rand) {
	callers := make([]*caller, freshPerBurst)
	for i := range callers {
		callers[i] = &caller{testbed: t, name: fmt.Sprintf("fresh-%s-%d", h.name, i)}
	}
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(meanBurstInterval/2 + time.Duration(r.Int64N(int64(meanBurstInterval)))):
		}
		if !h.inRotation() {
			continue
		}
		var burst sync.WaitGroup
		for range halfClosersPerBurst {
			delay := time.Duration(r.Int64N(int64(maxHalfCloseDelay)))
			burst.Go(func() {
				for range connsPerCaller {
					sendAndHalfClose(h.ip+fake.CallerPort, delay)
				}
			})
		}
		for _, c := range callers {
			burst.Go(func() {
				for range connsPerCaller {
					c.sendFresh(h)
				}
			})
		}
		burst.Wait()
	}
}

// sendAndHalfClose sends a closingRequest, closes the caller's side of the connection after
// a delay, and waits until the host has closed the other side. A host cancels the requests of
// callers that half-close, so the answer is not checked.
func sendAndHalfClose(address string, delay time.Duration) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()                    // not used again
	_ = conn.SetDeadline(time.Now().Add(halfCloseTimeout)) // cannot fail on an open connection
	if _, err := io.WriteString(conn, closingRequest); err != nil {
		return
	}
	// time.Sleep may take more than 1 ms.
	for sent := time.Now(); time.Since(sent) < delay; {
		runtime.Gosched()
	}
	_ = conn.(*net.TCPConn).CloseWrite() // the host may have closed first
	_, _ = io.Copy(io.Discard, conn)     // ends with the connection
}

// sendFresh sends one request on a connection of its own, and checks that it is answered. It
// is not among the results, which count successes and the load on leaves.
func (c *caller) sendFresh(h *host) {
	if !c.connectTo(h) {
		return
	}
	c.testbed.checkRequest(c.exchange(unroutedPath), &requestTrace{})
	c.disconnect()
}
