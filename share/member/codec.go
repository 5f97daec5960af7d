package member

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/news"
	"dandelionstile/share/wire"
)

// Encode writes a packet.
func Encode(p Packet) ([]byte, error) {
	g := &wire.Gossip{Hosts: make([]*wire.GossipHost, len(p.Hosts)), Ask: p.Ask}
	for i, h := range p.Hosts {
		g.Hosts[i] = &wire.GossipHost{
			Gossip: h.Gossip, RelayPort: port(h.Relay), Domain: h.Domain, Started: h.Started, Beat: h.Beat, Leaving: h.Leaving,
		}
	}
	for _, s := range p.Crashes {
		g.Strikes = append(g.Strikes, &wire.GossipStrike{Fingerprint: s.Fingerprint, Leaf: s.Leaf, AgeMs: uint32(max(0, s.Age))})
	}
	for _, f := range p.Leafs {
		g.Leafs = append(g.Leafs, &wire.GossipLeaf{
			Leaf: f.ID, LateMs: uint32(max(0, f.Late)), Failing: uint32(f.Failing * thousand),
		})
	}
	body, err := proto.Marshal(g)
	return body, errors.Wrap(err, "encode gossip")
}

// Decode reads a packet.
func Decode(body []byte) (Packet, error) {
	var g wire.Gossip
	if err := proto.Unmarshal(body, &g); err != nil {
		return Packet{}, errors.Wrap(err, "decode gossip")
	}
	hosts := make([]Host, 0, len(g.GetHosts()))
	for _, h := range g.GetHosts() {
		ip, _, err := net.SplitHostPort(h.GetGossip())
		if err != nil {
			continue // it cannot be reached, so it is of no use
		}
		hosts = append(hosts, Host{
			Gossip: h.GetGossip(), Relay: net.JoinHostPort(ip, strconv.Itoa(int(h.GetRelayPort()))), Domain: h.GetDomain(),
			Started: h.GetStarted(), Beat: h.GetBeat(), Leaving: h.GetLeaving(),
		})
	}
	p := Packet{Hosts: hosts, Ask: g.GetAsk()}
	for _, s := range g.GetStrikes() {
		p.Crashes = append(p.Crashes, crash.Report{Fingerprint: s.GetFingerprint(), Leaf: s.GetLeaf(), Age: clock.Milli(s.GetAgeMs())})
	}
	for _, f := range g.GetLeafs() {
		p.Leafs = append(p.Leafs, news.Leaf{
			ID: f.GetLeaf(), Late: clock.Milli(f.GetLateMs()), Failing: min(1, float64(f.GetFailing())/thousand),
		})
	}
	return p, nil
}

// thousand is the scale of shares on the wire.
const thousand = 1000

// port is the port of an address; 0 if it has none.
func port(address string) uint32 {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return 0 // a host that takes no relayed requests
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0 // as above
	}
	return uint32(n)
}
