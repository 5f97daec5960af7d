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

// lines keeps what a host logs.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// with counts the lines that hold a text.
func (l *lines) with(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// udpAddress is a free address at an IP that no other test uses.
func udpAddress(t *testing.T, ip string) string {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	return conn.LocalAddr().String()
}

// Calls to a leaf have turned slow at one host. The other host of its failure
// domain, which has not called the leaf, hears of it within moments; a host of
// another domain, which has another way to the leaf, does not.
func TestNewsOfLeafsReachesTheDomain(t *testing.T) {
	gossip := []string{udpAddress(t, "127.81.0.1"), udpAddress(t, "127.81.0.2"), udpAddress(t, "127.81.0.3")}
	domains := []string{"d", "d", "e"}
	leaf := roster.Leaf{ID: "i-1", Service: "s", Address: "127.0.0.1:9", Domain: "d", Slots: 1}
	logs := make([]lines, len(gossip))
	tiers := make([]*Server, len(gossip))
	for i := range tiers {
		tiers[i] = &Server{
			Settings: Settings{
				CallerAddress: "127.0.0.1:0", ForwardAddress: strings.Split(gossip[i], ":")[0] + ":0", GossipAddress: gossip[i], Seeds: gossip, Dialect: httpc.DefaultDialect,
				Self: router.HostInfo{Domain: domains[i], Region: "r"}, Regions: map[string]string{"d": "r", "e": "r"},
			},
			Log: zerolog.New(&logs[i]), Clock: clock.Wall{},
		}
		assert.NilError(t, tiers[i].Start())
		defer func() { assert.NilError(t, tiers[i].Close()) }()
		tiers[i].SetFacts(router.Facts{Table: &route.Table{Version: 1}, Leaves: []roster.Leaf{leaf}})
	}
	reached := func(i int, text string) poll.Check {
		return func(poll.LogT) poll.Result {
			if logs[i].with(text) > 0 {
				return poll.Success()
			}
			return poll.Continue("host %d has not logged %s", i, text)
		}
	}
	for i := range tiers {
		poll.WaitOn(t, reached(i, `"got":2`), poll.WithTimeout(10*time.Second))
	}
	tiers[0].peers.tellLeafs([]report.Leaf{{ID: "i-1", ExtraLatency: 170}})
	poll.WaitOn(t, reached(1, "leaf-heard"), poll.WithTimeout(5*time.Second))
	assert.Equal(t, logs[2].with("leaf-heard"), 0)
}
