package runner

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/platform/fake"
	"dandelionstile/share/syntax"
	"dandelionstile/share/topk"
)

const (
	hostHeader    = "soak.example" // the Host header of all requests
	topK          = 5              // how many records an answer of the sharded route has at most
	minShare      = 0.6            // the lowest share of the shards that such an answer may cover
	callerTimeout = 3 * time.Second
	// lateTolerance is how long a caller still waits for the answer after the request's
	// deadline. If it has waited for more than half of this and gets no answer, that is a
	// violation unless a fault explains it, see checkRequest.
	lateTolerance = 1500 * time.Millisecond
	// maxAttempts matches the number of attempts of the platform's callers.
	maxAttempts = 2
	// One in largeBodyOneIn requests has a large body and a large answer.
	largeBodyOneIn = 8
	// One in cancelOneIn requests is cancelled within maxCancelDelay.
	cancelOneIn    = 12
	maxCancelDelay = 150 * time.Millisecond
)

// caller sends requests to a random host over a persistent connection, and chooses a
// host again after the connection has closed.
type caller struct {
	testbed *testbed
	rand    *rand.Rand
	host    *host
	conn    net.Conn
	in      *bufio.Reader // reads from conn
	name    string
	count   int
}

// request is one attempt and its result.
type request struct {
	id, path  string
	host      *host
	sent      time.Time
	ended     time.Time
	status    int  // 0: the connection closed without an answer
	reused    bool // the connection had served another request
	cancelled bool // the caller closed the connection at ended without waiting for the answer
}

// run sends requests one after the other until the testbed stops. Between two, it waits
// for a random time of meanInterval on average.
func (c *caller) run(meanInterval time.Duration) {
	for {
		c.sendRequest()
		select {
		case <-c.testbed.stop:
			c.disconnect()
			return
		case <-time.After(meanInterval/2 + time.Duration(c.rand.Int64N(int64(meanInterval)))):
		}
	}
}

// sendRequest sends a random request, or cancels it. It retries a request that was
// rejected or lost on another connection, up to maxAttempts attempts in all; an update
// only if it got a 503 or no connection.
func (c *caller) sendRequest() {
	path := []string{"/all/x", "/all/y", "/one/x", "/set/x"}[c.rand.IntN(4)]
	if c.rand.IntN(largeBodyOneIn) == 0 {
		path = "/one" + fake.LargePath
	}
	if c.rand.IntN(cancelOneIn) == 0 {
		c.sendCancelled(path)
		return
	}
	for range maxAttempts {
		r := c.sendOnce(path)
		if r == nil {
			continue
		}
		c.testbed.results.addRequest(r)
		if r.status == http.StatusOK {
			return
		}
		// A 503 says that the request has not run.
		mayHaveRun := strings.HasPrefix(path, "/set/") && r.status != http.StatusServiceUnavailable
		if mayHaveRun {
			return // a retry could run it twice
		}
		c.disconnect()
	}
}

// sendCancelled sends a request and closes the connection before the answer.
func (c *caller) sendCancelled(path string) {
	if c.conn == nil && !c.connect() {
		return
	}
	r := c.newRequest(path)
	if _, err := io.WriteString(c.conn, fake.RequestText(hostHeader, path, r.id, callerTimeout)); err != nil {
		c.disconnect()
		return // the host closed the connection
	}
	time.Sleep(time.Duration(c.rand.Int64N(int64(maxCancelDelay))))
	c.disconnect()
	r.ended, r.cancelled = time.Now(), true
	c.testbed.results.addRequest(r)
}

// newRequest returns the next request, with a unique ID.
func (c *caller) newRequest(path string) *request {
	c.count++
	return &request{id: fmt.Sprintf("%s-%d", c.name, c.count), path: path, host: c.host, sent: time.Now()}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // the connection is not used again
		c.conn = nil
	}
}

// sendOnce makes one attempt. It returns nil if it could not connect.
func (c *caller) sendOnce(path string) *request {
	reused := c.conn != nil
	if !reused && !c.connect() {
		return nil
	}
	r := c.exchange(path)
	r.reused = reused
	return r
}

// exchange sends a request on the open connection. It checks the answer if it is successful,
// and that no bytes follow any answer.
func (c *caller) exchange(path string) *request {
	r := c.newRequest(path)
	_ = c.conn.SetDeadline(r.sent.Add(callerTimeout + lateTolerance)) // cannot fail on an open connection
	_, err := io.WriteString(c.conn, fake.RequestText(hostHeader, path, r.id, callerTimeout))
	var got reply
	if err == nil {
		got, err = readReply(c.in)
	}
	r.ended = time.Now()
	if errors.Is(err, syntax.ErrGrammar) {
		c.testbed.results.addViolation("MIXED: the answer to %s: %s", r.id, err)
	}
	if err != nil {
		c.disconnect()
		return r
	}
	r.status = got.status
	if r.status == http.StatusOK {
		c.testbed.results.checkReply(r, got)
	}
	if c.in.Buffered() > 0 {
		c.testbed.results.addViolation("MIXED: bytes after the answer to %s", r.id)
	}
	if got.closes {
		c.disconnect()
	}
	return r
}

// reply is an answer that was read to its end.
type reply struct {
	status int
	header http.Header
	body   []byte
	closes bool
}

// newReplyReader returns a reader for readReply, which fails on what is no reply by the grammar of
// HTTP.
func newReplyReader(conn net.Conn) *bufio.Reader {
	return bufio.NewReader(&syntax.Reader{From: conn})
}

func readReply(in *bufio.Reader) (reply, error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }() // the body was read to its end
	body, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, body, res.Close}, err
}

// connect opens a connection to a random host in rotation, as the load balancer
// would, or to any host if none is in rotation. It reports whether it succeeded.
func (c *caller) connect() bool {
	hosts := c.testbed.readyHosts()
	if len(hosts) == 0 {
		hosts = c.testbed.hosts
	}
	return c.connectTo(hosts[c.rand.IntN(len(hosts))])
}

// connectTo opens a connection to a host and reports whether it succeeded.
func (c *caller) connectTo(h *host) bool {
	conn, err := net.DialTimeout("tcp", h.ip+fake.CallerPort, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	c.host, c.conn, c.in = h, conn, newReplyReader(conn)
	return true
}

// readyHosts returns the hosts that are in rotation.
func (t *testbed) readyHosts() []*host {
	var list []*host
	for _, h := range t.hosts {
		if h.inRotation() {
			list = append(list, h)
		}
	}
	return list
}

// inRotation reports whether the load balancer would open connections to the host.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// pollReadiness polls the readiness of a host. Two failed polls in a row take it out
// of rotation, and a successful one puts it back.
func (t *testbed) pollReadiness(h *host) {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		res, err := client.Get("http://" + h.ip + fake.ReadyPort + "/ready")
		if err == nil {
			_ = res.Body.Close() // only the status counts
		}
		if err == nil && res.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		h.mu.Lock()
		h.ready = misses < 2 && (h.ready || misses == 0)
		h.mu.Unlock()
		select {
		case <-t.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// checkReply checks a successful answer: all stamps are valid for this request, the
// parts and the missing shards add up to all shards, and the body is made of
// the parts.
func (rs *results) checkReply(r *request, got reply) {
	stamps := fake.ReadStamps(got.header)
	if !strings.HasPrefix(r.path, "/all/") {
		if service, ok := fake.VerifyStamp(stamps.Stamp, r.id); !ok || service != "one" {
			rs.addViolation("MIXED: %s got stamp %q", r.id, stamps.Stamp)
		}
		if !bytes.Equal(got.body, fake.AnswerBody("one", r.path, r.id)) {
			rs.addViolation("MIXED: %s got another body", r.id)
		}
		return
	}
	seen := map[string]bool{}
	var lists [][]byte
	for _, stamp := range stamps.Parts {
		service, ok := fake.VerifyStamp(stamp, r.id)
		if !ok || seen[service] {
			rs.addViolation("MIXED: %s got part %q", r.id, stamp)
		}
		seen[service] = true
		lists = append(lists, fake.SmallBody(service, r.id))
	}
	if len(seen)+stamps.Missing != shardCount || float64(len(seen)) < minShare*shardCount {
		rs.addViolation("MIXED: %s got %d parts, %d missing", r.id, len(seen), stamps.Missing)
	}
	if !bytes.Equal(got.body, topk.Merge(topK, lists)) {
		rs.addViolation("MIXED: %s got a body that is not its parts' greatest records", r.id)
	}
}
