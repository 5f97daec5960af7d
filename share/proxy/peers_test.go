package proxy

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/clock"
	"dandelionstile/share/httpc"
	"dandelionstile/share/report"
	"dandelionstile/share/roster"
	"dandelionstile/share/route"
	"dandelionstile/share/router"
)

// logBuffer collects the log of a host.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// count counts the occurrences of a text.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// udpAddress returns a free address at an IP that no other test uses.
func udpAddress(t *testing.T, ip string) string {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	return conn.LocalAddr().String()
}

// A host has a report on a slow leaf. The other host of the same failure domain must get it:
// it would otherwise find out by a late query of its own. A host in another failure
// domain, which reaches the leaf over another network path, must get none.
func TestLeafReportsReachTheDomain(t *testing.T) {
	gossip := []string{udpAddress(t, "127.81.0.1"), udpAddress(t, "127.81.0.2"), udpAddress(t, "127.81.0.3")}
	domains := []string{"d", "d", "e"}
	leaf := roster.Leaf{ID: "i-1", Service: "s", Address: "127.0.0.1:9", Domain: "d", Slots: 1}
	logs := make([]logBuffer, len(gossip))
	servers := make([]*Server, len(gossip))
	for i := range servers {
		servers[i] = &Server{
			Settings: Settings{
				CallerAddress: "127.0.0.1:0", ForwardAddress: strings.Split(gossip[i], ":")[0] + ":0", GossipAddress: gossip[i], Seeds: gossip, Dialect: httpc.DefaultDialect,
				Self: router.HostInfo{Domain: domains[i], Region: "r"}, Regions: map[string]string{"d": "r", "e": "r"},
			},
			Log: zerolog.New(&logs[i]), Clock: clock.Wall{},
		}
		assert.NilError(t, servers[i].Start())
		defer func() { assert.NilError(t, servers[i].Close()) }()
		servers[i].SetTopology(router.Topology{Table: &route.Table{Version: 1}, Leaves: []roster.Leaf{leaf}})
	}
	hasLogged := func(i int, text string) poll.Check {
		return func(poll.LogT) poll.Result {
			if logs[i].count(text) > 0 {
				return poll.Success()
			}
			return poll.Continue("host %d has not logged %s", i, text)
		}
	}
	for i := range servers {
		// Each host knows the two others.
		poll.WaitOn(t, hasLogged(i, `"got":2`), poll.WithTimeout(10*time.Second))
	}
	servers[0].peers.queueLeafReports([]report.Leaf{{ID: "i-1", ExtraLatency: 170}})
	poll.WaitOn(t, hasLogged(1, "leaf-heard"), poll.WithTimeout(5*time.Second))
	assert.Equal(t, logs[2].count("leaf-heard"), 0)
}
