package member

import (
	"math"
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
// which are unreachable, and fails if the sender is such a host.
func Encode(p Packet) ([]byte, error) {
	e := encoder{domains: map[string]uint32{}}
	message := &wire.MemberPacket{
		Kind: uint32(p.Kind), Sequence: p.Sequence, Sender: e.encodeUpdate(p.Sender), Target: packAddress(p.Target), Digest: p.Digest, Sum: p.Checksum,
		Updates: make([]*wire.Member, 0, len(p.Updates)),
	}
	if message.Sender == nil {
		return nil, errors.Wrapf(ErrInvalidPacket, "sender %q", p.Sender.Host.GossipAddress)
	}
	for _, u := range p.Updates {
		if m := e.encodeUpdate(u); m != nil {
			message.Updates = append(message.Updates, m)
		}
	}
	message.Domains = e.names
	for _, c := range p.Crashes {
		encoded := &wire.CrashReport{Fingerprint: c.Fingerprint, Leaf: c.Leaf, AgeMs: uint32(min(max(0, c.Age), math.MaxUint32))}
		if c.Answered {
			message.Answered = append(message.Answered, encoded)
		} else {
			message.Crashes = append(message.Crashes, encoded)
		}
	}
	message.CrashDigest = p.CrashDigest
	for _, leaf := range p.Leaves {
		message.Leaves = append(message.Leaves, &wire.LeafReport{Leaf: leaf.ID, LateMs: uint32(max(0, leaf.ExtraLatency)), Failing: uint32(leaf.FailureRatio * perMille)})
	}
	body, err := proto.Marshal(message)
	return body, errors.Wrap(err, "encode packet")
}

// encoder numbers the failure domains of a packet, so that each name is sent once.
type encoder struct {
	names   []string
	domains map[string]uint32
}

// encodeUpdate encodes the state of one host and numbers its failure domain on first use.
// It returns nil if the gossip address is not an IP and port.
func (e *encoder) encodeUpdate(u Update) *wire.Member {
	address := packAddress(u.Host.GossipAddress)
	if address == nil {
		return nil
	}
	index, ok := e.domains[u.Host.Domain]
	if !ok {
		index = uint32(len(e.names))
		e.domains[u.Host.Domain] = index
		e.names = append(e.names, u.Host.Domain)
	}
	return &wire.Member{
		Address: address, ForwardPort: portOf(u.Host.ForwardAddress), Domain: index,
		Started: u.Host.Started, Incarnation: u.Host.Incarnation, State: uint32(u.State),
		Capacity: u.Host.Capacity,
	}
}

// Decode decodes a packet. It skips invalid updates, and fails if the packet is malformed
// or the sender, the kind or, in a PingReq, the host to probe is invalid.
func Decode(body []byte) (Packet, error) {
	var message wire.MemberPacket
	if err := proto.Unmarshal(body, &message); err != nil {
		return Packet{}, errors.Wrap(err, "decode packet")
	}
	sender, ok := decodeUpdate(&message, message.GetSender())
	if !ok || message.GetKind() > uint32(Diff) {
		return Packet{}, ErrInvalidPacket
	}
	p := Packet{Kind: Kind(message.GetKind()), Sequence: message.GetSequence(), Sender: sender, Digest: message.GetDigest(), Checksum: message.GetSum()}
	if p.Kind == PingReq {
		if p.Target, ok = unpackAddress(message.GetTarget()); !ok {
			return Packet{}, ErrInvalidPacket
		}
	}
	for _, m := range message.GetUpdates() {
		if u, ok := decodeUpdate(&message, m); ok {
			p.Updates = append(p.Updates, u)
		}
	}
	for _, c := range message.GetAnswered() {
		p.Crashes = append(p.Crashes, crash.Report{Fingerprint: c.GetFingerprint(), Answered: true, Age: clock.Milli(c.GetAgeMs())})
	}
	for _, c := range message.GetCrashes() {
		p.Crashes = append(p.Crashes, crash.Report{Fingerprint: c.GetFingerprint(), Leaf: c.GetLeaf(), Age: clock.Milli(c.GetAgeMs())})
	}
	p.CrashDigest = message.GetCrashDigest()
	for _, leaf := range message.GetLeaves() {
		p.Leaves = append(p.Leaves, report.Leaf{
			ID: leaf.GetLeaf(), ExtraLatency: clock.Milli(leaf.GetLateMs()), FailureRatio: min(1, float64(leaf.GetFailing())/perMille),
		})
	}
	return p, nil
}

// decodeUpdate decodes the state of one host. It reports false if the address, the
// state or the number of the failure domain is invalid.
func decodeUpdate(message *wire.MemberPacket, encoded *wire.Member) (Update, bool) {
	address, ok := unpackAddress(encoded.GetAddress())
	if !ok || encoded.GetState() > uint32(Left) || int(encoded.GetDomain()) >= len(message.GetDomains()) {
		return Update{}, false
	}
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return Update{}, false
	}
	return Update{State: State(encoded.GetState()), Host: Host{
		GossipAddress: address, ForwardAddress: net.JoinHostPort(ip, strconv.Itoa(int(encoded.GetForwardPort()))), Domain: message.GetDomains()[encoded.GetDomain()],
		Started: encoded.GetStarted(), Incarnation: encoded.GetIncarnation(), Capacity: encoded.GetCapacity(),
	}}, true
}

// packAddress encodes an IP and port; it returns nil for any other text.
func packAddress(address string) []byte {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	packed, err := parsed.MarshalBinary()
	if err != nil {
		return nil
	}
	return packed
}

// unpackAddress decodes an IP and port. It reports false if they are invalid.
func unpackAddress(packed []byte) (string, bool) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(packed); err != nil || !address.IsValid() {
		return "", false
	}
	return address.String(), true
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
