package httpc

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionstile/share/call"
	"dandelionstile/share/junk"
	"dandelionstile/share/router"
)

// wholeReplies returns complete replies like junk.Whole, some of them with the bare line ends that
// net/http accepts.
func wholeReplies() map[string]string {
	whole := junk.Whole("Leaf-Stamp: s\r\nRequest-Id: x\r\n")
	for _, name := range []string{"length", "no-body", "interim"} {
		whole[name+"-bare"] = strings.ReplaceAll(whole[name], "\r\n", "\n")
	}
	return whole
}

// forward sends a request to another host and returns the result of the call.
func (c *caller) forward(l *fakeLeaf, id string) router.CallDone {
	c.t.Helper()
	c.last++
	c.pool.Forward(router.Forward{
		Call: c.last, Address: l.ln.Addr().String(), Timeout: 1000, Target: 500, Shards: []string{"s0"},
		Request: &call.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}},
	})
	return c.result()
}

// serveCut starts a leaf that cuts its reply after the number of bytes that it gets from cuts.
func serveCut(t *testing.T, whole string, abort bool) (l *fakeLeaf, cuts chan int) {
	t.Helper()
	cuts = make(chan int, 1)
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(t, r) != nil {
			assert.Check(t, junk.SendCut(c.(*net.TCPConn), whole[:<-cuts], abort))
		}
	}), cuts
}

// A leaf, or another host, stops within its reply and closes. Callers must not get what has
// arrived as a whole reply, wherever that is.
func TestCutReplyIsBroken(t *testing.T) {
	for name, whole := range wholeReplies() {
		for _, abort := range []bool{false, true} {
			for _, forwarded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s abort=%t forwarded=%t", name, abort, forwarded), func(t *testing.T) {
					t.Parallel()
					l, cuts := serveCut(t, whole, abort)
					c := newCaller(t)
					ask := c.ask
					if forwarded {
						ask = c.forward
					}
					for n := range len(whole) {
						cuts <- n
						assert.Equal(t, ask(l, "x").Kind, call.Broken, "%q", whole[:n])
					}
					if abort {
						return
					}
					cuts <- len(whole)
					d := ask(l, "x")
					assert.Equal(t, d.Kind, call.Answered, d.Cause)
					assert.Assert(t, string(d.Reply.Body) == junk.CutBody || strings.HasPrefix(name, "no-body"), "%q", d.Reply.Body)
				})
			}
		}
	}
}

// A reply may end with its connection. It must not count as whole while its head is cut, nor when
// the connection is reset.
func TestCutReplyWithoutLengthIsBroken(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nRequest-Id: x\r\nConnection: close\r\n\r\n"
	for _, text := range []string{head + junk.CutBody, strings.ReplaceAll(head, "\r\n", "\n") + junk.CutBody, strings.Replace(head, "1.1", "1.0", 1) + junk.CutBody} {
		for _, abort := range []bool{false, true} {
			l, cuts := serveCut(t, text, abort)
			c := newCaller(t)
			for n := range len(text) + 1 {
				if !abort && n >= len(text)-len(junk.CutBody) {
					break // nothing tells that the body is cut
				}
				cuts <- n
				assert.Equal(t, c.ask(l, "x").Kind, call.Broken, "%q abort=%t", text[:n], abort)
			}
		}
	}
}

// A leaf replies without a length before it has read a large body, and resets the connection in
// its reply. The write of the body took the reset's error, and the reply passed for whole.
func TestResetDuringTheRequestIsBroken(t *testing.T) {
	for range 30 {
		l := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			writeText(c, "HTTP/1.1 200 OK\nLeaf-Stamp: s\n\nhalf")
			time.Sleep(5 * time.Millisecond) // the caller reads that and waits for more
			assert.Check(t, c.(*net.TCPConn).SetLinger(0))
		})
		c := newCaller(t)
		c.send(l, "x", make([]byte, 8<<20))
		d := c.result()
		assert.Check(t, d.Kind == call.Broken, "%v %s", d.Kind, d.Cause)
	}
}
