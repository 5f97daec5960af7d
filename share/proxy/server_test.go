package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/clock"
	"dandelionstile/share/httpc"
	"dandelionstile/share/httpd"
	"dandelionstile/share/roster"
	"dandelionstile/share/route"
	"dandelionstile/share/router"
)

// rig is a server with leaves on loopback.
type rig struct {
	t      *testing.T
	server *Server
	leaves []roster.Leaf
	once   sync.Once
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, server: &Server{
		Settings: Settings{CallerAddress: "127.0.0.1:0", Dialect: httpc.DefaultDialect, Self: router.HostInfo{Domain: "d", Region: "r"}, Regions: map[string]string{"d": "r"}},
		Log:      zerolog.Nop(), Clock: clock.Wall{},
	}}
	assert.NilError(t, r.server.Start())
	t.Cleanup(r.close)
	return r
}

// close closes the server; further calls do nothing.
func (r *rig) close() { r.once.Do(func() { assert.NilError(r.t, r.server.Close()) }) }

// startLeaf starts a leaf of a service.
func (r *rig) startLeaf(service string, h http.HandlerFunc) {
	server := httptest.NewServer(h)
	r.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	r.leaves = append(r.leaves, roster.Leaf{
		ID: fmt.Sprintf("%s-%d", service, len(r.leaves)), Service: service, Address: server.Listener.Addr().String(), Domain: "d", Slots: 2,
	})
}

// configure applies the leaves and two routes, one over shards s0 and s1, and waits until the
// server is ready.
func (r *rig) configure() { r.configureWithin(route.Limits{}) }

// configureWithin is configure with the operators' limits.
func (r *rig) configureWithin(limits route.Limits) {
	r.server.SetTopology(router.Topology{Leaves: r.leaves, Table: &route.Table{Version: 1, Limits: limits, Routes: []route.Route{
		{Name: "one", Host: "h", Prefix: "/one/", Idempotent: true, Attempts: 2, Timeout: 8000, Target: 500, Services: []route.WeightedService{{Service: "s0", Weight: 1}}},
		{Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Attempts: 2, Timeout: 2000, Target: 500, Shards: []string{"s0", "s1"}, TopK: 3, MinShare: 0.5},
	}}})
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		if r.server.Ready() {
			return poll.Success()
		}
		return poll.Continue("the server is not ready")
	})
}

// callerConn is a caller's TCP connection, with a deadline for the whole test.
type callerConn struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (r *rig) dial() *callerConn { return r.dialTo(r.server.Addr()) }

func (r *rig) dialTo(address string) *callerConn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(r.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &callerConn{r.t, conn, bufio.NewReader(conn)}
}

func (c *callerConn) send(text string) {
	_, err := io.WriteString(c.conn, strings.ReplaceAll(text, "\n", "\r\n"))
	assert.NilError(c.t, err)
}

// response is an answer with its body read.
type response struct {
	StatusCode int
	Header     http.Header
	Body       string
	Close      bool
}

func (c *callerConn) receive() response {
	c.t.Helper()
	res, err := http.ReadResponse(c.in, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	assert.NilError(c.t, res.Body.Close())
	return response{res.StatusCode, res.Header, string(body), res.Close}
}

// get returns a request with an ID and a deadline of 1,500 ms.
func get(path, id string) string {
	return "GET " + path + " HTTP/1.1\nHost: h\nRequest-Id: " + id + "\nDeadline-Ms: 1500\n\n"
}

// writeStampedReply writes a reply with the headers of a leaf: the request's ID and a stamp.
func writeStampedReply(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Leaf-Stamp", "by-"+r.Header.Get("Expect-Leaf"))
	_, _ = io.WriteString(w, body)
}

// A proxy that rebuilds requests may clean the path (// and %2F), drop headers or the end
// of a chunked body, or replace a leaf's own error by one of its own. The leaf must get the
// request as the caller sent it, and the caller the leaf's reply, also a 404.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	r := newRig(t)
	r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		w.Header().Set("Colour", "red")
		if q.Header.Get("Fail") != "" {
			w.Header().Set("Leaf-Stamp", "by-"+q.Header.Get("Expect-Leaf"))
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeStampedReply(w, q, q.Method+" "+q.RequestURI+" "+q.Header.Get("Own")+" "+string(body))
	})
	r.configure()
	c := r.dial()
	c.send("POST /one//a%2Fb?x=1 HTTP/1.1\nHost: h\nRequest-Id: q1\nOwn: mine\nTransfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\n\n")
	res := c.receive()
	assert.Equal(t, res.Body, "POST /one//a%2Fb?x=1 mine abcde")
	assert.Equal(t, res.Header.Get("Leaf-Stamp"), "by-s0-0")
	assert.Equal(t, res.Header.Get("Colour"), "red")
	c.send("GET /one/x HTTP/1.1\nHost: h\nRequest-Id: q2\nFail: 1\n\n")
	res = c.receive()
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
	assert.Equal(t, res.Header.Get("Leaf-Stamp"), "by-s0-0")
}

// The answer to a query must hold the greatest records of its shards and their stamps. If a
// leaf closes its connection, the answer must say that a shard is missing, and not pass for
// a whole one.
func TestMergedAnswer(t *testing.T) {
	r := newRig(t)
	record := func(b byte) string { return strings.Repeat(string(b), 16) }
	r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) { writeStampedReply(w, q, record('a')+record('d')) })
	r.startLeaf("s1", func(w http.ResponseWriter, q *http.Request) {
		if strings.HasSuffix(q.URL.Path, "broken") {
			panic(http.ErrAbortHandler)
		}
		writeStampedReply(w, q, record('c')+record('b')+"rest") // the merge ignores an incomplete record
	})
	r.configure()
	c := r.dial()
	c.send(get("/all/x", "q1"))
	res := c.receive()
	assert.Equal(t, res.Body, record('d')+record('c')+record('b'))
	assert.Equal(t, res.Header.Get("Part-Stamps"), "by-s0-0, by-s1-1")
	assert.Equal(t, res.Header.Get("Missing-Parts"), "0")
	c.send(get("/all/broken", "q2"))
	res = c.receive()
	assert.Equal(t, res.Body, record('d')+record('a'))
	assert.Equal(t, res.Header.Get("Part-Stamps"), "by-s0-0")
	assert.Equal(t, res.Header.Get("Missing-Parts"), "1")
}

// A host has no configuration yet. The caller must learn that nothing has run and
// when to retry. An unknown route and a request without an ID must be rejected.
func TestRefusals(t *testing.T) {
	r := newRig(t)
	c := r.dial()
	c.send(get("/one/x", "q1"))
	res := c.receive()
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(res.Body, "not run"))
	r.configure()
	c.send(get("/other/x", "q2"))
	res = c.receive()
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
	c.send("GET /one/x HTTP/1.1\nHost: h\n\n")
	res = c.receive()
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
}

// A caller pipelines two requests, and the leaf takes longer for the first. The caller
// matches answers to requests by their order, so the second answer must wait for the first.
func TestPipelinedCallerGetsAnswersInOrder(t *testing.T) {
	r := newRig(t)
	r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("Request-Id") == "q1" {
			time.Sleep(60 * time.Millisecond)
		}
		writeStampedReply(w, q, q.Header.Get("Request-Id"))
	})
	r.configure()
	c := r.dial()
	c.send(get("/one/x", "q1") + get("/one/x", "q2"))
	first := c.receive()
	second := c.receive()
	assert.Equal(t, first.Body+second.Body, "q1q2")
}

// startHangingLeaf starts a leaf that works on a single request until its connection closes.
func (r *rig) startHangingLeaf(service string) (began, stopped chan struct{}) {
	began, stopped = make(chan struct{}), make(chan struct{})
	r.startLeaf(service, func(_ http.ResponseWriter, q *http.Request) {
		close(began)
		<-q.Context().Done()
		close(stopped)
	})
	return began, stopped
}

// assertStops fails the test if the leaf works on for half a second.
func assertStops(t *testing.T, stopped chan struct{}) {
	t.Helper()
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the leaf still works")
	}
}

// A caller with a timeout of eight seconds disconnects while a leaf works. The connection to
// the leaf must be closed within half a second, long before the request would time out, so
// that the leaf can stop.
func TestCallerDisconnectReachesLeaf(t *testing.T) {
	r := newRig(t)
	began, stopped := r.startHangingLeaf("s0")
	r.configure()
	c := r.dial()
	c.send(strings.Replace(get("/one/x", "q1"), "1500", "8000", 1))
	<-began
	assert.NilError(t, c.conn.Close())
	assertStops(t, stopped)
}

// A caller disconnects while its query waits for a slow shard that another host serves.
// The test stands in for the first host, which then closes its connection to the other one.
// The leaf must stop there as well.
func TestForwardedWorkEndsWithTheCaller(t *testing.T) {
	r := newRig(t)
	began, stopped := r.startHangingLeaf("s0")
	r.startLeaf("s1", func(w http.ResponseWriter, q *http.Request) { writeStampedReply(w, q, "0123456789abcdef") })
	r.configure()
	r.server.forwards = httpd.Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(r.server.serveForwarded)}
	assert.NilError(t, r.server.forwards.Start())
	c := r.dialTo(r.server.forwards.Addr())
	c.send("GET /all/x HTTP/1.1\nHost: h\nRequest-Id: q1\nDeadline-Ms: 8000\n" +
		httpc.HeaderForwardTarget + ": 7000\n" + httpc.HeaderForwardVersion + ": 1\n" + httpc.HeaderForwardShards + ": s0\n\n")
	<-began
	assert.NilError(t, c.conn.Close())
	assertStops(t, stopped)
}

// A host leaves while a request is in flight and another connection is idle. The request
// must get its answer, which announces that the connection closes. The idle connection must
// be closed, and Ready must turn false.
func TestLeaveFinishesRequests(t *testing.T) {
	r := newRig(t)
	release := make(chan struct{})
	r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) {
		<-release
		writeStampedReply(w, q, "whole")
	})
	r.configure()
	idle, busy := r.dial(), r.dial()
	busy.send(strings.Replace(get("/one/x", "q1"), "1500", "8000", 1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.server.inFlight.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not arrived")
	})
	left := make(chan struct{})
	go func() {
		r.server.Leave()
		close(left)
	}()
	_, err := idle.in.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, !r.server.Ready())
	close(release)
	res := busy.receive()
	assert.Equal(t, res.Body, "whole")
	assert.Assert(t, res.Close)
	<-left
}

// haveBegun returns for how many callers the control loop has a request.
func (c *callers) haveBegun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := 0
	for _, w := range c.waiting {
		if w.begun {
			begun++
		}
	}
	return begun
}

// A process ends while a request is in flight. Its caller must get a final answer that
// leaves open whether the request ran, and not a closed connection.
func TestCloseAnswersRequestsInFlight(t *testing.T) {
	r := newRig(t)
	r.startLeaf("s0", func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() })
	r.configure()
	c := r.dial()
	c.send(get("/one/x", "q1"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.server.callers.haveBegun() == 1 {
			return poll.Success()
		}
		return poll.Continue("the control loop does not have the request")
	})
	go r.close()
	res := c.receive()
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
}

// A body or header over the operators' limits and an incomplete request must be rejected
// with an answer, and no leaf may get them. A body at the limit must be served.
func TestOperatorsLimitsHold(t *testing.T) {
	r := newRig(t)
	var received atomic.Int64
	r.startLeaf("s0", func(w http.ResponseWriter, q *http.Request) {
		received.Add(1)
		body, err := io.ReadAll(q.Body)
		assert.Check(t, err)
		w.Header().Set(httpc.DefaultDialect.Stamp, "x")
		_, _ = fmt.Fprint(w, len(body)) // the test reads the answer
	})
	r.configureWithin(route.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1000, HeaderTimeout: 300, IdleTimeout: 5000})
	for _, c := range []struct {
		text   string
		status int
	}{
		{"POST /one/x HTTP/1.1\nHost: h\nRequest-Id: a\nContent-Length: 1000\n\n" + strings.Repeat("x", 1000), http.StatusOK},
		{"POST /one/x HTTP/1.1\nHost: h\nRequest-Id: b\nContent-Length: 1001\n\n" + strings.Repeat("x", 1001), http.StatusRequestEntityTooLarge},
		// 0x5dc is 1,500.
		{"POST /one/x HTTP/1.1\nHost: h\nRequest-Id: c\nTransfer-Encoding: chunked\n\n5dc\n" + strings.Repeat("x", 1500) + "\n0\n\n", http.StatusRequestEntityTooLarge},
		{"GET /one/x HTTP/1.1\nHost: h\nRequest-Id: d\nLong: " + strings.Repeat("x", 5000) + "\n\n", http.StatusRequestHeaderFieldsTooLarge},
		{"GET /one/x HTTP/1.1\nHost: h\nRequ", http.StatusRequestTimeout},
	} {
		caller := r.dial()
		caller.send(c.text)
		assert.Equal(t, caller.receive().StatusCode, c.status, "%.60s", c.text)
	}
	assert.Equal(t, received.Load(), int64(1)) // the body at the limit
}
