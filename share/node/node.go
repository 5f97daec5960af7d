// Package node is what an entry and an aggregator have in common: links to
// peers, heartbeats, the configuration and host lists that spread over them,
// and crash reports that go round. A program runs one Node within its control
// loop.
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

// Names of the programs, as in Hello.
const (
	Entry      = "entry"
	Aggregator = "aggregator"
)

// Timing of heartbeats.
const (
	beatEvery = 2 * clock.Second
	// beatRarely is the pause on links between an entry and the aggregators of
	// other hosts. There may be many, and traffic shows whether they live.
	beatRarely = 10 * clock.Second
	// peerQuiet is how many heartbeats a peer may miss. Pings find dead
	// connections; this finds a process whose control loop stands.
	peerQuiet = 3
)

// Message is something for the control loop; one of the types below.
type Message interface{ message() }

// LinkUp says that a link is ready.
type LinkUp struct{ Link *mesh.Link }

// LinkDown says that a link is closed.
type LinkDown struct {
	Link *mesh.Link
	Err  error
}

// Frame is a message from a peer.
type Frame struct {
	Link *mesh.Link
	Body *wire.Envelope
}

// RTT is a measured round trip.
type RTT struct {
	Link      *mesh.Link
	RoundTrip time.Duration
}

// PlatformRead is the platform's answer.
type PlatformRead struct{ Read syncer.ReadResult }

// Tick lets the node run what is due.
type Tick struct{}

func (LinkUp) message()       {}
func (LinkDown) message()     {}
func (Frame) message()        {}
func (RTT) message()          {}
func (PlatformRead) message() {}
func (Tick) message()         {}

// Delegate is what a Node tells its program. All calls come from the control
// loop.
type Delegate interface {
	// Configure puts a configuration and host list in force.
	Configure(now clock.Milli, cfg *topo.Config, hosts []topo.Host)
	LinkUp(now clock.Milli, l *mesh.Link)
	LinkDown(now clock.Milli, l *mesh.Link, err error)
	// Frame takes what the node does not know.
	Frame(now clock.Milli, l *mesh.Link, m *wire.Envelope)
	RTT(now clock.Milli, l *mesh.Link, trip time.Duration)
	// PeerLeaving says that a peer is on its way out, or no longer is.
	PeerLeaving(now clock.Milli, l *mesh.Link, leaving bool)
	// MergeStrike takes a crash report and tells whether it was news.
	MergeStrike(now clock.Milli, s deny.Strike) bool
	// VersionsConfirmed says that a peer has the same versions in force as this node,
	// as of after the last call of Confirm.
	VersionsConfirmed(now clock.Milli)
	// LinkAddrs lists the addresses to keep links to.
	LinkAddrs(cfg *topo.Config, hosts []topo.Host) []string
}

// Node is one process's common part. Fields are set before Start.
type Node struct {
	Settings    Settings
	Program     string
	Incarnation uint64
	Log         zerolog.Logger
	Meter       *meter.Meter
	Delegate    Delegate
	// Post hands a message to the control loop.
	Post func(Message) bool
	// HTTP makes the calls to the platform.
	HTTP *fetch.Engine

	engine   syncer.Engine
	mesh     mesh.Mesh
	platform platform
	peers    map[uint64]*peer
	cfg      *topo.Config
	parser   topo.Parser
	checked  *topo.Config
	byKey    map[string][]topo.Host // host lists as read
	// checkedHosts are those of the list that was checked last.
	checkedHosts []topo.Host
	hosts        []topo.Host
	dialed       map[string]bool
	leaving      bool
	sequence     uint64
	confirm      uint64 // beat that a confirmation has to echo; 0 when none is due
	strikes      map[uint64]*sharing
	lastID       uint64
	reads        sync.WaitGroup
	refused      []admin.Refused
}

// peer is what is known of the process at the other end of a link.
type peer struct {
	link    *mesh.Link
	name    string
	heard   clock.Milli
	echo    uint64
	digest  uint64
	echoed  uint64
	leaving bool
	// nextBeat is when the next heartbeat is due.
	nextBeat clock.Milli
}

// tlsFault tells that the files of the links' keys cannot be used, or can again.
func (n *Node) tlsFault(err error) {
	if err == nil {
		n.Log.Info().Msg("tls files are good again")
		return
	}
	n.Log.Error().Err(err).Msg("tls files cannot be used, the last good ones stay in force")
}

// Start listens for links and begins to learn.
func (n *Node) Start() error {
	tlsConfig, err := n.Settings.TLS.Config(n.tlsFault)
	if err != nil {
		return err
	}
	if tlsConfig == nil {
		n.Log.Warn().Msg("links between hosts are not protected: no tls in the settings")
	}
	n.peers = map[uint64]*peer{}
	n.dialed = map[string]bool{}
	n.byKey = map[string][]topo.Host{}
	n.strikes = map[uint64]*sharing{}
	n.platform = platform{engine: n.HTTP, address: n.Settings.Platform.Address}
	n.engine = syncer.Engine{
		WatchKeys: []string{KeyConfig, KeyHostsPrefix + n.Settings.Host.Domain},
		Rank:      -1, Check: n.check,
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
			n.dialed[addr] = true
			n.mesh.Dial(addr)
		}
	}
	return nil
}

// handler turns what happens on links into messages.
type handler struct{ n *Node }

func (h handler) Up(l *mesh.Link) { h.n.Post(LinkUp{l}) }

func (h handler) Frame(l *mesh.Link, m *wire.Envelope) { h.n.Post(Frame{l, m}) }

func (h handler) Down(l *mesh.Link, err error) { h.n.Post(LinkDown{l, err}) }

func (h handler) RTT(l *mesh.Link, trip time.Duration) { h.n.Post(RTT{l, trip}) }

// Handle takes a message.
func (n *Node) Handle(now clock.Milli, m Message) {
	switch m := m.(type) {
	case LinkUp:
		n.linkUp(now, m.Link)
	case LinkDown:
		n.linkDown(now, m)
	case Frame:
		n.frame(now, m.Link, m.Body)
	case RTT:
		n.Delegate.RTT(now, m.Link, m.RoundTrip)
	case PlatformRead:
		if m.Read.Err != nil {
			n.Meter.Count("platform_read_failures", 1)
			n.Log.Warn().Err(m.Read.Err).Str("key", m.Read.Key).Msg("platform read failed")
		}
		n.act(now, n.engine.HandleRead(now, m.Read))
	case Tick:
		n.tick(now)
	}
}

func (n *Node) linkUp(now clock.Milli, l *mesh.Link) {
	n.peers[l.ID] = &peer{link: l, name: l.Peer.GetHost() + "/" + l.Peer.GetProgram() + "#" + itoa(l.ID), heard: now}
	n.Log.Info().Str("peer", n.peers[l.ID].name).Msg("link up")
	n.Delegate.LinkUp(now, l)
	n.beat(now, n.peers[l.ID], false)
}

func (n *Node) linkDown(now clock.Milli, m LinkDown) {
	p := n.peers[m.Link.ID]
	if p == nil {
		return
	}
	delete(n.peers, m.Link.ID)
	n.Meter.Count("links_lost", 1, meter.Label{Name: "cause", Value: lossOf(m.Err)})
	n.Log.Info().Str("peer", p.name).AnErr("cause", m.Err).Msg("link down")
	n.act(now, n.engine.RemovePeer(now, p.name))
	for id := range n.strikes {
		n.acked(now, id, m.Link.ID)
	}
	n.Delegate.LinkDown(now, m.Link, m.Err)
}

// lossOf maps why a link was lost to one of a few words.
func lossOf(err error) string {
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

func (n *Node) frame(now clock.Milli, l *mesh.Link, m *wire.Envelope) {
	p := n.peers[l.ID]
	if p == nil {
		return
	}
	switch b := m.Body.(type) {
	case *wire.Envelope_Beat:
		n.beaten(now, p, b.Beat)
	case *wire.Envelope_Stamps:
		n.act(now, n.engine.HandleStamps(now, p.name, stampsFrom(b.Stamps)))
	case *wire.Envelope_Pull:
		n.act(now, n.engine.HandlePull(now, p.name, b.Pull.GetHave().GetKey(), stampFrom(b.Pull.GetHave())))
	case *wire.Envelope_Delta:
		d, err := deltaFrom(b.Delta)
		if err != nil {
			n.Log.Warn().Err(err).Str("peer", p.name).Msg("delta cannot be read")
			return
		}
		n.act(now, n.engine.HandleDelta(now, p.name, d))
	case *wire.Envelope_Strike:
		n.struck(now, p, b.Strike)
	case *wire.Envelope_StrikeAck:
		n.acked(now, b.StrikeAck.GetId(), l.ID)
	default:
		n.Delegate.Frame(now, l, m)
	}
}

// Send queues a message on a link and tells whether it was taken.
func (n *Node) Send(l *mesh.Link, m *wire.Envelope) bool { return l.Send(m) == nil }

func (n *Node) sorted() []*peer {
	list := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].link.ID < list[j].link.ID })
	return list
}

// Dial keeps a link to an address that Dials does not list.
func (n *Node) Dial(addr string) { n.mesh.Dial(addr) }

// Hosts returns the host list in force.
func (n *Node) Hosts() []topo.Host { return n.hosts }

// Ready tells whether a configuration and a host list are in force.
func (n *Node) Ready() bool { return n.cfg != nil && len(n.hosts) > 0 }

// Close ends all links and reads, and waits.
func (n *Node) Close() error {
	err := n.mesh.Close()
	n.reads.Wait()
	return err
}

// NewIncarnation returns a number that no earlier process of this host had: the
// start time, and chance against a clock that was set back.
func NewIncarnation() uint64 {
	return uint64(clock.Unix())<<20 | uint64(rand.Uint32()&0xfffff)
}
