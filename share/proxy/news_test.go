package proxy

import (
	"net"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/member"
	"dandelionstile/share/report"
)

// A request has brought down a leaf, and in the same moments many leafs turn slow.
// News of leafs goes to the own failure domain only; if its packets took the
// crash report along, its few tellings would be used up there, and hosts of other
// domains would not hear which request to refuse.
func TestNewsOfLeafsLeavesCrashReportsToTheRounds(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.81.0.4")})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	p := &peers{tier: &Server{Log: zerolog.Nop(), Clock: clock.Wall{}}, conn: conn}
	p.list.Self = member.Host{GossipAddress: "127.81.0.4:9", Domain: "d"}
	p.list.Receive(p.tier.Clock.Now(), member.Packet{Sender: member.Update{Host: member.Host{GossipAddress: "127.81.0.5:9", Domain: "d"}}})
	p.tellCrashes([]crash.Report{{Fingerprint: 1, Leaf: "i-1"}})
	for range 2 * crashTimes {
		p.leafs = map[string]report.Leaf{"i-2": {ID: "i-2", ExtraLatency: 100}}
		p.sendLeafs()
	}
	assert.Equal(t, len(p.crashes), 1)
	assert.Equal(t, p.crashes[0].times, crashTimes)
	p.round()
	assert.Assert(t, p.crashes[0].times < crashTimes, "rounds take it along")
}
