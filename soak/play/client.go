package play

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

	"dandelionstile/platform/fake"
	"dandelionstile/share/topk"
)

const (
	hostName   = "soak.example"
	topK       = 5
	leastShare = 0.6
	callerWait = 3 * time.Second
	// late is how long after its deadline a request may still be unanswered.
	late = 1500 * time.Millisecond
	// attempts is how often a caller tries, as callers of the platform do.
	attempts = 2
	// One request in so many has a large body, and is answered with one.
	largeOneIn = 8
	// One request in so many is left by its caller, within leaveMost.
	leaveOneIn = 12
	leaveMost  = 150 * time.Millisecond
)

// caller keeps a connection to one host, as long as that lasts.
type caller struct {
	world *world
	rand  *rand.Rand
	host  *host
	conn  net.Conn
	in    *bufio.Reader
	name  string
	count int
}

// request is one attempt and what became of it.
type request struct {
	id, path string
	host     *host
	sent     time.Time
	ended    time.Time
	status   int // 0: closed without an answer
	reused   bool
	left     bool // the caller closed the connection at ended, without waiting
}

func (c *caller) run(gap time.Duration) {
	for {
		c.ask()
		select {
		case <-c.world.stop:
			c.drop()
			return
		case <-time.After(gap/2 + time.Duration(c.rand.Int64N(int64(gap)))):
		}
	}
}

// ask makes a request, again elsewhere if it was refused or lost.
func (c *caller) ask() {
	path := []string{"/all/x", "/all/y", "/one/x", "/set/x"}[c.rand.IntN(4)]
	if c.rand.IntN(largeOneIn) == 0 {
		path = "/one" + fake.LargePath
	}
	if c.rand.IntN(leaveOneIn) == 0 {
		c.leave(path)
		return
	}
	for range attempts {
		r := c.try(path)
		if r == nil {
			continue
		}
		c.world.checks.add(r)
		if r.status == http.StatusOK {
			return
		}
		again := strings.HasPrefix(path, "/set/") && r.status != http.StatusServiceUnavailable
		if again {
			return // it may have run
		}
		c.drop()
	}
}

// leave makes a request and closes the connection before its answer.
func (c *caller) leave(path string) {
	if c.conn == nil && !c.connect() {
		return
	}
	r := c.next(path)
	if _, err := io.WriteString(c.conn, fake.RequestText(hostName, path, r.id, callerWait)); err != nil {
		c.drop()
		return // the host was gone
	}
	time.Sleep(time.Duration(c.rand.Int64N(int64(leaveMost))))
	c.drop()
	r.ended, r.left = time.Now(), true
	c.world.checks.add(r)
}

// next is the next attempt.
func (c *caller) next(path string) *request {
	c.count++
	return &request{id: fmt.Sprintf("%s-%d", c.name, c.count), path: path, host: c.host, sent: time.Now()}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close() // its end is told by the next read
		c.conn = nil
	}
}

// try makes one attempt; nil if no host could be connected to.
func (c *caller) try(path string) *request {
	reused := c.conn != nil
	if !reused && !c.connect() {
		return nil
	}
	r := c.next(path)
	r.reused = reused
	_ = c.conn.SetDeadline(r.sent.Add(callerWait + late)) // an open connection takes it
	_, err := io.WriteString(c.conn, fake.RequestText(hostName, path, r.id, callerWait))
	var got reply
	if err == nil {
		got, err = hear(c.in)
	}
	r.ended = time.Now()
	if err != nil {
		c.drop()
		return r
	}
	r.status = got.status
	if r.status == http.StatusOK {
		c.world.checks.answer(r, got)
	}
	if c.in.Buffered() > 0 {
		c.world.checks.fault("MIXED: bytes after the answer to %s", r.id)
	}
	if got.closes {
		c.drop()
	}
	return r
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	closes bool
}

func hear(in *bufio.Reader) (reply, error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }() // it was read to its end
	body, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, body, res.Close}, err
}

// connect opens a connection to a host in rotation, as the balancer would.
func (c *caller) connect() bool {
	hosts := c.world.rotation()
	if len(hosts) == 0 {
		hosts = c.world.hosts
	}
	h := hosts[c.rand.IntN(len(hosts))]
	conn, err := net.DialTimeout("tcp", h.ip+fake.CallerPort, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	c.host, c.conn, c.in = h, conn, bufio.NewReader(conn)
	return true
}

// rotation is the hosts that were ready when last asked.
func (w *world) rotation() []*host {
	var list []*host
	for _, h := range w.hosts {
		h.mu.Lock()
		if h.ready {
			list = append(list, h)
		}
		h.mu.Unlock()
	}
	return list
}

// balance asks a host for its readiness; two misses take it out of rotation.
func (w *world) balance(h *host) {
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
		case <-w.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// answer checks a success: all stamps are good answers to this request, the
// parts make up the set, and the body is theirs.
func (c *checks) answer(r *request, got reply) {
	stamped := fake.ReadStamps(got.header)
	if !strings.HasPrefix(r.path, "/all/") {
		if service, ok := fake.VerifyStamp(stamped.Stamp, r.id); !ok || service != "one" {
			c.fault("MIXED: %s got stamp %q", r.id, stamped.Stamp)
		}
		if !bytes.Equal(got.body, fake.AnswerBody("one", r.path, r.id)) {
			c.fault("MIXED: %s got another body", r.id)
		}
		return
	}
	seen := map[string]bool{}
	var lists [][]byte
	for _, stamp := range stamped.Parts {
		service, ok := fake.VerifyStamp(stamp, r.id)
		if !ok || seen[service] {
			c.fault("MIXED: %s got part %q", r.id, stamp)
		}
		seen[service] = true
		lists = append(lists, fake.SmallBody(service, r.id))
	}
	if len(seen)+stamped.Missing != shards || float64(len(seen)) < leastShare*shards {
		c.fault("MIXED: %s got %d parts, %d missing", r.id, len(seen), stamped.Missing)
	}
	if !bytes.Equal(got.body, topk.Merge(topK, lists)) {
		c.fault("MIXED: %s got a body that is not its parts' greatest records", r.id)
	}
}
