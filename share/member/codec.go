package member

import (
	"net"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/report"
	"dandelionstile/share/wire"
)

// ErrInvalidPacket reports a datagram that is not a valid packet.
var ErrInvalidPacket = errors.New("invalid membership packet")

// perMille is the scale of fractions on the wire.
const perMille = 1000

// Encode encodes a packet. It omits updates of hosts without a valid IP and port,
// which are unreachable.
func Encode(p Packet) ([]byte, error) {
	e := encoder{domains: map[string]uint32{}}
	g := &wire.MemberPacket{
		Kind: uint32(p.Kind), Sequence: p.Sequence, Sender: e.member(p.Sender), Target: packAddress(p.Target), Digest: p.Digest, Sum: p.Checksum,
		Updates: make([]*wire.Member, 0, len(p.Updates)),
	}
	if g.Sender == nil {
		return nil, errors.Wrapf(ErrInvalidPacket, "sender %q", p.Sender.Host.GossipAddress)
	}
	for _, u := range p.Updates {
		if m := e.member(u); m != nil {
			g.Updates = append(g.Updates, m)
		}
	}
	g.Domains = e.names
	for _, c := range p.Crashes {
		g.Crashes = append(g.Crashes, &wire.CrashReport{Fingerprint: c.Fingerprint, Leaf: c.Leaf, AgeMs: uint32(max(0, c.Age))})
	}
	for _, n := range p.Leaves {
		g.Leaves = append(g.Leaves, &wire.LeafReport{Leaf: n.ID, LateMs: uint32(max(0, n.ExtraLatency)), Failing: uint32(n.FailureRatio * perMille)})
	}
	body, err := proto.Marshal(g)
	return body, errors.Wrap(err, "encode packet")
}

// encoder assigns numbers to the failure domains of a packet.
type encoder struct {
	names   []string
	domains map[string]uint32
}

func (e *encoder) member(u Update) *wire.Member {
	at := packAddress(u.Host.GossipAddress)
	if at == nil {
		return nil
	}
	index, ok := e.domains[u.Host.Domain]
	if !ok {
		index = uint32(len(e.names))
		e.domains[u.Host.Domain] = index
		e.names = append(e.names, u.Host.Domain)
	}
	return &wire.Member{
		Address: at, ForwardPort: portOf(u.Host.ForwardAddress), Domain: index,
		Started: u.Host.Started, Incarnation: u.Host.Incarnation, State: uint32(u.State),
		Capacity: u.Host.Capacity,
	}
}

// Decode decodes a packet.
func Decode(body []byte) (Packet, error) {
	var g wire.MemberPacket
	if err := proto.Unmarshal(body, &g); err != nil {
		return Packet{}, errors.Wrap(err, "decode packet")
	}
	sender, ok := decodeUpdate(&g, g.GetSender())
	if !ok || g.GetKind() > uint32(Diff) {
		return Packet{}, ErrInvalidPacket
	}
	p := Packet{Kind: Kind(g.GetKind()), Sequence: g.GetSequence(), Sender: sender, Digest: g.GetDigest(), Checksum: g.GetSum()}
	if p.Kind == PingReq {
		if p.Target, ok = unpackAddress(g.GetTarget()); !ok {
			return Packet{}, ErrInvalidPacket
		}
	}
	for _, m := range g.GetUpdates() {
		if u, ok := decodeUpdate(&g, m); ok {
			p.Updates = append(p.Updates, u)
		}
	}
	for _, c := range g.GetCrashes() {
		p.Crashes = append(p.Crashes, crash.Report{Fingerprint: c.GetFingerprint(), Leaf: c.GetLeaf(), Age: clock.Milli(c.GetAgeMs())})
	}
	for _, n := range g.GetLeaves() {
		p.Leaves = append(p.Leaves, report.Leaf{
			ID: n.GetLeaf(), ExtraLatency: clock.Milli(n.GetLateMs()), FailureRatio: min(1, float64(n.GetFailing())/perMille),
		})
	}
	return p, nil
}

// decodeUpdate decodes one member. It reports false if the address is invalid or
// the state is unknown.
func decodeUpdate(g *wire.MemberPacket, m *wire.Member) (Update, bool) {
	at, ok := unpackAddress(m.GetAddress())
	if !ok || m.GetState() > uint32(Left) || int(m.GetDomain()) >= len(g.GetDomains()) {
		return Update{}, false
	}
	ip, _, err := net.SplitHostPort(at)
	if err != nil {
		return Update{}, false
	}
	return Update{State: State(m.GetState()), Host: Host{
		GossipAddress: at, ForwardAddress: net.JoinHostPort(ip, strconv.Itoa(int(m.GetForwardPort()))), Domain: g.GetDomains()[m.GetDomain()],
		Started: m.GetStarted(), Incarnation: m.GetIncarnation(), Capacity: m.GetCapacity(),
	}}, true
}

// packAddress encodes an IP and port; it returns nil for any other text.
func packAddress(text string) []byte {
	at, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil
	}
	packed, err := at.MarshalBinary()
	if err != nil {
		return nil
	}
	return packed
}

func unpackAddress(packed []byte) (string, bool) {
	var at netip.AddrPort
	if err := at.UnmarshalBinary(packed); err != nil || !at.IsValid() {
		return "", false
	}
	return at.String(), true
}

// portOf returns the port of an address, or 0 if it has none, as for a host that
// accepts no forwarded requests.
func portOf(address string) uint32 {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0
	}
	return uint32(n)
}
