// Package node holds what an entry and an aggregator have in common: links to
// peers, heartbeats, distribution of the configuration and host lists over the
// links, and the exchange of strikes (reports of requests that crashed a backend
// server). A program runs one Node within its control loop.
package node

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"dandelionstile/share/admin"
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/fetch"
	"dandelionstile/share/mesh"
	"dandelionstile/share/meter"
	"dandelionstile/share/syncer"
	"dandelionstile/share/topo"
	"dandelionstile/share/wire"
)

// Names of the programs, as sent in Hello.
const (
	Entry      = "entry"
	Aggregator = "aggregator"
)

// Timing of heartbeats.
const (
	heartbeatInterval = 2 * clock.Second
	// remoteHeartbeatInterval applies to links between an entry and the aggregators
	// of other hosts. There may be many, and their traffic shows that they are alive.
	remoteHeartbeatInterval = 10 * clock.Second
	// maxMissedHeartbeats is how many heartbeats a peer may miss. Pings detect dead
	// connections; heartbeats detect a process whose control loop is stuck.
	maxMissedHeartbeats = 3
)

// Message is an event for the control loop; one of the types below.
type Message interface{ message() }

// LinkUp reports that a link is ready.
type LinkUp struct{ Link *mesh.Link }

// LinkDown reports that a link is closed.
type LinkDown struct {
	Link *mesh.Link
	Err  error
}

// Frame is a message from a peer.
type Frame struct {
	Link *mesh.Link
	Body *wire.Envelope
}

// RTT is a measured round-trip time.
type RTT struct {
	Link      *mesh.Link
	RoundTrip time.Duration
}

// PlatformRead is the result of a read of the platform.
type PlatformRead struct{ Read syncer.ReadResult }

// Tick makes the node run its periodic work.
type Tick struct{}

func (LinkUp) message()       {}
func (LinkDown) message()     {}
func (Frame) message()        {}
func (RTT) message()          {}
func (PlatformRead) message() {}
func (Tick) message()         {}

// Delegate receives a Node's events; the program implements it. All calls come
// from the control loop.
type Delegate interface {
	// Configure puts a configuration and the hosts of all host lists in force. It is called
	// after each new version of either, and again when a host starts or stops leaving.
	Configure(now clock.Milli, cfg *topo.Config, hosts []topo.Host)
	// LinkUp and LinkDown report that a link is ready and that it is closed.
	LinkUp(now clock.Milli, l *mesh.Link)
	LinkDown(now clock.Milli, l *mesh.Link, err error)
	// Frame handles a message that the node does not handle itself.
	Frame(now clock.Milli, l *mesh.Link, m *wire.Envelope)
	// RTT reports the round-trip time of a ping on a link.
	RTT(now clock.Milli, l *mesh.Link, rtt time.Duration)
	// PeerLeaving reports that a peer is shutting down, or no longer is.
	PeerLeaving(now clock.Milli, l *mesh.Link, leaving bool)
	// MergeStrike merges a strike from a peer and reports whether it was new.
	MergeStrike(now clock.Milli, s deny.Strike) bool
	// Strikes lists the strikes of requests that are rejected now.
	Strikes(now clock.Milli) []deny.Strike
	// VersionsConfirmed reports that since the last call of ConfirmVersions a peer
	// answered that it has the same versions in force as this node.
	VersionsConfirmed(now clock.Milli)
	// LinkAddrs lists the addresses to keep links to.
	LinkAddrs(cfg *topo.Config, hosts []topo.Host) []string
}

// Node is the part of a process that entry and aggregator share. Its fields are
// set before Start.
type Node struct {
	Settings    Settings
	Program     string
	Incarnation uint64
	Log         zerolog.Logger
	Meter       *meter.Meter
	Delegate    Delegate
	// Post queues a message for the control loop, which passes it to Handle.
	Post func(Message) bool
	// HTTP makes the calls to the platform.
	HTTP *fetch.Engine

	engine        syncer.Engine
	mesh          mesh.Mesh
	platform      platform
	peers         map[uint64]*peer // by link ID
	cfg           *topo.Config
	parser        topo.Parser
	checkedConfig *topo.Config           // the last configuration that was checked; nil if it was invalid
	hostsByKey    map[string][]topo.Host // host lists as read
	// checkedHosts are the hosts of the last list that was checked.
	checkedHosts []topo.Host
	hosts        []topo.Host // of all lists in force
	// dialedAddrs are the addresses that LinkAddrs listed last, and the peers of the
	// settings.
	dialedAddrs      map[string]bool
	leaving          bool
	sequence         uint64                      // of the last heartbeat sent, to any peer
	confirmSequence  uint64                      // heartbeat that a peer must echo to confirm; 0 when none is pending
	strikeBroadcasts map[uint64]*strikeBroadcast // by ID
	lastStrikeID     uint64
	reads            sync.WaitGroup // platform reads in flight
	rejected         []admin.RejectedVersion
}

// peer is the process at the other end of a link.
type peer struct {
	link           *mesh.Link
	name           string
	lastHeartbeat  clock.Milli // when the last heartbeat came; until then, when the link came up
	lastSequence   uint64      // of the peer's last heartbeat
	digest         uint64      // of the versions in force at the peer
	echoedSequence uint64      // of the last heartbeat that the peer had received from here
	leaving        bool        // whether the peer announced that it shuts down
	// nextHeartbeat is when the next heartbeat is due.
	nextHeartbeat clock.Milli
}

// logTLSFault logs that the TLS files cannot be loaded, or, if err is nil, that they
// can be again.
func (n *Node) logTLSFault(err error) {
	if err == nil {
		n.Log.Info().Msg("tls files are valid again")
		return
	}
	n.Log.Error().Err(err).Msg("failed to load tls files; keeping the last valid ones")
}

// Start loads the TLS files, listens for links and dials the configured peers.
func (n *Node) Start() error {
	tlsConfig, err := n.Settings.TLS.Config(n.logTLSFault)
	if err != nil {
		return err
	}
	if tlsConfig == nil {
		n.Log.Warn().Msg("links between hosts are not encrypted: no tls in the settings")
	}
	n.peers = map[uint64]*peer{}
	n.dialedAddrs = map[string]bool{}
	n.hostsByKey = map[string][]topo.Host{}
	n.strikeBroadcasts = map[uint64]*strikeBroadcast{}
	n.platform = platform{engine: n.HTTP, address: n.Settings.Platform.Address}
	n.engine = syncer.Engine{
		WatchKeys: []string{KeyConfig, KeyHostsPrefix + n.Settings.Host.Domain},
		Rank:      -1, Check: n.checkVersion,
	}
	n.mesh = mesh.Mesh{
		Hello: &wire.Hello{
			Host: n.Settings.Host.Name, Domain: n.Settings.Host.Domain,
			Program: n.Program, Incarnation: n.Incarnation,
		},
		Handler: handler{n}, TLS: tlsConfig, SourceIP: n.Settings.Listen.IP(),
	}
	if _, err := n.mesh.Listen(n.Settings.Listen.Links); err != nil {
		return err
	}
	for _, addr := range n.Settings.Peers {
		if addr != n.Settings.Listen.Links {
			n.dialedAddrs[addr] = true
			n.mesh.Dial(addr)
		}
	}
	return nil
}

// handler posts link events to the control loop.
type handler struct{ n *Node }

func (h handler) Up(l *mesh.Link) { h.n.Post(LinkUp{l}) }

func (h handler) Frame(l *mesh.Link, m *wire.Envelope) { h.n.Post(Frame{l, m}) }

func (h handler) Down(l *mesh.Link, err error) { h.n.Post(LinkDown{l, err}) }

func (h handler) RTT(l *mesh.Link, rtt time.Duration) { h.n.Post(RTT{l, rtt}) }

// Handle processes a message; the control loop calls it.
func (n *Node) Handle(now clock.Milli, m Message) {
	switch m := m.(type) {
	case LinkUp:
		n.handleLinkUp(now, m.Link)
	case LinkDown:
		n.handleLinkDown(now, m)
	case Frame:
		n.handleFrame(now, m.Link, m.Body)
	case RTT:
		n.Delegate.RTT(now, m.Link, m.RoundTrip)
	case PlatformRead:
		if m.Read.Err != nil {
			n.Meter.Count("platform_read_failures", 1)
			n.Log.Warn().Err(m.Read.Err).Str("key", m.Read.Key).Msg("platform read failed")
		}
		n.perform(now, n.engine.HandleRead(now, m.Read))
	case Tick:
		n.tick(now)
	}
}

// handleLinkUp records the peer of a new link, reports the link to the delegate and sends
// the first heartbeat and the strikes, which the peer may have lost or missed. The peer's name contains the link's ID, so that it is unique even if
// a host has two links.
func (n *Node) handleLinkUp(now clock.Milli, l *mesh.Link) {
	n.peers[l.ID] = &peer{link: l, name: l.Peer.GetHost() + "/" + l.Peer.GetProgram() + "#" + itoa(l.ID), lastHeartbeat: now}
	n.Log.Info().Str("peer", n.peers[l.ID].name).Msg("link up")
	n.Delegate.LinkUp(now, l)
	n.sendHeartbeat(now, n.peers[l.ID], false /* wantAnswer */)
	n.sendStrikes(now, l)
}

// handleLinkDown removes the peer of a closed link and reports it to the delegate. Pulls and
// strikes that waited for the peer continue without it.
func (n *Node) handleLinkDown(now clock.Milli, m LinkDown) {
	p := n.peers[m.Link.ID]
	if p == nil {
		return
	}
	delete(n.peers, m.Link.ID)
	n.Meter.Count("links_lost", 1, meter.Label{Name: "cause", Value: lossCause(m.Err)})
	n.Log.Info().Str("peer", p.name).AnErr("cause", m.Err).Msg("link down")
	n.perform(now, n.engine.RemovePeer(now, p.name))
	for id := range n.strikeBroadcasts {
		n.strikeAcked(now, id, m.Link.ID)
	}
	n.Delegate.LinkDown(now, m.Link, m.Err)
}

// lossCause returns the value of the metric's cause label for the error of a lost
// link. An error of no known kind counts as closed by the peer.
func lossCause(err error) string {
	switch {
	case errors.Is(err, mesh.ErrProtocol):
		return "protocol"
	case errors.Is(err, mesh.ErrUnresponsive):
		return "silent"
	case errors.Is(err, mesh.ErrBusy):
		return "busy"
	case errors.Is(err, mesh.ErrClosed):
		return "closed-here"
	}
	return "closed-there"
}

// handleFrame handles a message from a peer or forwards it to the delegate. Messages of a
// link that is already down are ignored.
func (n *Node) handleFrame(now clock.Milli, l *mesh.Link, m *wire.Envelope) {
	p := n.peers[l.ID]
	if p == nil {
		return
	}
	switch b := m.Body.(type) {
	case *wire.Envelope_Beat:
		n.handleHeartbeat(now, p, b.Beat)
	case *wire.Envelope_Stamps:
		n.perform(now, n.engine.HandleStamps(now, p.name, decodeStamps(b.Stamps)))
	case *wire.Envelope_Pull:
		n.perform(now, n.engine.HandlePull(now, p.name, b.Pull.GetHave().GetKey(), decodeStamp(b.Pull.GetHave())))
	case *wire.Envelope_Delta:
		d, err := decodeDelta(b.Delta)
		if err != nil {
			n.Log.Warn().Err(err).Str("peer", p.name).Msg("failed to decode delta")
			return
		}
		n.perform(now, n.engine.HandleDelta(now, p.name, d))
	case *wire.Envelope_Strike:
		n.handleStrike(now, p, b.Strike)
	case *wire.Envelope_StrikeAck:
		n.strikeAcked(now, b.StrikeAck.GetId(), l.ID)
	default:
		n.Delegate.Frame(now, l, m)
	}
}

// Send queues a message on a link and reports whether the link accepted it.
func (n *Node) Send(l *mesh.Link, m *wire.Envelope) bool { return l.Send(m) == nil }

// sortedPeers returns the peers in the order in which their links were opened.
func (n *Node) sortedPeers() []*peer {
	list := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].link.ID < list[j].link.ID })
	return list
}

// Dial keeps a link to an address that LinkAddrs does not list. The link stays when
// the host list changes.
func (n *Node) Dial(addr string) { n.mesh.Dial(addr) }

// Hosts returns the hosts of all failure domains, as in the host lists in force.
func (n *Node) Hosts() []topo.Host { return n.hosts }

// Ready reports whether a configuration and a host list are in force.
func (n *Node) Ready() bool { return n.cfg != nil && len(n.hosts) > 0 }

// Close closes all links and waits for them and for pending platform reads.
func (n *Node) Close() error {
	err := n.mesh.Close()
	n.reads.Wait()
	return err
}

// NewIncarnation returns a number for this process: the start time in ms, and 20 random
// bits that make it unlikely that an earlier process of this host had the same one if the
// clock was set back.
func NewIncarnation() uint64 {
	return uint64(clock.Unix())<<20 | uint64(rand.Uint32()&0xfffff)
}
