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

	"github.com/rs/zerolog"

	"dandelionstile/share/clock"
	"dandelionstile/share/fetch"
	"dandelionstile/share/invent"
	"dandelionstile/share/mesh"
	"dandelionstile/share/place"
	"dandelionstile/share/poison"
	"dandelionstile/share/show"
	"dandelionstile/share/spread"
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
	Link *mesh.Link
	Trip time.Duration
}

// PlatformRead is the platform's answer.
type PlatformRead struct{ Read spread.Read }

// Tick lets the node run what is due.
type Tick struct{}

func (LinkUp) message()       {}
func (LinkDown) message()     {}
func (Frame) message()        {}
func (RTT) message()          {}
func (PlatformRead) message() {}
func (Tick) message()         {}

// Program is what a Node tells its program. All calls come from the control
// loop.
type Program interface {
	// Configure puts a configuration and host list in force.
	Configure(now clock.Milli, cfg *invent.Config, hosts []invent.Host)
	LinkUp(now clock.Milli, l *mesh.Link)
	LinkDown(now clock.Milli, l *mesh.Link, err error)
	// Frame takes what the node does not know.
	Frame(now clock.Milli, l *mesh.Link, m *wire.Envelope)
	RTT(now clock.Milli, l *mesh.Link, trip time.Duration)
	// Leaving says that a peer is on its way out, or no longer is.
	Leaving(now clock.Milli, l *mesh.Link, leaving bool)
	// Strike takes a crash report and tells whether it was news.
	Strike(now clock.Milli, s poison.Strike) bool
	// Confirmed says that a peer has the same versions in force as this node,
	// as of after the last call of Confirm.
	Confirmed(now clock.Milli)
	// Dials lists the addresses to keep links to.
	Dials(cfg *invent.Config, hosts []invent.Host) []string
}

// Node is one process's common part. Fields are set before Start.
type Node struct {
	Settings    Settings
	Program     string
	Incarnation uint64
	Log         zerolog.Logger
	Owner       Program
	// Post hands a message to the control loop.
	Post func(Message) bool
	// HTTP makes the calls to the platform.
	HTTP *fetch.Engine

	engine   spread.Engine
	mesh     mesh.Mesh
	platform platform
	peers    map[uint64]*peer
	cfg      *invent.Config
	parser   invent.Parser
	checked  *invent.Config
	byKey    map[string][]invent.Host // host lists as read
	// checkedHosts are those of the list that was checked last.
	checkedHosts []invent.Host
	hosts        []invent.Host
	dialed       map[string]bool
	leaving      bool
	sequence     uint64
	confirm      uint64 // beat that a confirmation has to echo; 0 when none is due
	strikes      map[uint64]*sharing
	lastID       uint64
	reads        sync.WaitGroup
	refused      []show.Refused
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

// sharing is a strike on its way to the peers.
type sharing struct {
	waiting map[uint64]bool // by link
	done    func(now clock.Milli)
}

// Start listens for links and begins to learn.
func (n *Node) Start() error {
	tlsConfig, err := n.Settings.TLS.Config()
	if err != nil {
		return err
	}
	if tlsConfig == nil {
		n.Log.Warn().Msg("links between hosts are not protected: no tls in the settings")
	}
	n.peers = map[uint64]*peer{}
	n.dialed = map[string]bool{}
	n.byKey = map[string][]invent.Host{}
	n.strikes = map[uint64]*sharing{}
	n.platform = platform{engine: n.HTTP, address: n.Settings.Platform.Address}
	n.engine = spread.Engine{
		WatchKeys: []string{KeyConfig, KeyHosts + n.Settings.Host.Domain},
		Rank:      -1, Check: n.check,
	}
	n.mesh = mesh.Mesh{
		Hello: &wire.Hello{
			Host: n.Settings.Host.Name, Domain: n.Settings.Host.Domain,
			Program: n.Program, Incarnation: n.Incarnation,
		},
		Handler: handler{n}, TLS: tlsConfig, Source: n.Settings.Listen.IP(),
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

// check decides whether a version is valid. It looks at the set alone.
func (n *Node) check(key string, s *spread.Set) error {
	if key == KeyConfig {
		var err error
		n.checked, err = n.parser.Parse(s.Version, configParts(s))
		return err
	}
	var err error
	n.checkedHosts, err = Hosts(s)
	return err
}

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
		n.Owner.RTT(now, m.Link, m.Trip)
	case PlatformRead:
		if m.Read.Err != nil {
			n.Log.Warn().Err(m.Read.Err).Str("key", m.Read.Key).Msg("platform read failed")
		}
		n.act(now, n.engine.Platform(now, m.Read))
	case Tick:
		n.tick(now)
	}
}

func (n *Node) linkUp(now clock.Milli, l *mesh.Link) {
	n.peers[l.ID] = &peer{link: l, name: l.Peer.GetHost() + "/" + l.Peer.GetProgram() + "#" + itoa(l.ID), heard: now}
	n.Log.Info().Str("peer", n.peers[l.ID].name).Msg("link up")
	n.Owner.LinkUp(now, l)
	n.beat(now, n.peers[l.ID], false)
}

func (n *Node) linkDown(now clock.Milli, m LinkDown) {
	p := n.peers[m.Link.ID]
	if p == nil {
		return
	}
	delete(n.peers, m.Link.ID)
	n.Log.Info().Str("peer", p.name).AnErr("cause", m.Err).Msg("link down")
	n.act(now, n.engine.PeerGone(now, p.name))
	for id := range n.strikes {
		n.acked(now, id, m.Link.ID)
	}
	n.Owner.LinkDown(now, m.Link, m.Err)
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
		n.act(now, n.engine.Stamps(now, p.name, stampsFrom(b.Stamps)))
	case *wire.Envelope_Pull:
		n.act(now, n.engine.Pull(now, p.name, b.Pull.GetHave().GetKey(), stampFrom(b.Pull.GetHave())))
	case *wire.Envelope_Delta:
		d, err := deltaFrom(b.Delta)
		if err != nil {
			n.Log.Warn().Err(err).Str("peer", p.name).Msg("delta cannot be read")
			return
		}
		n.act(now, n.engine.Delta(now, p.name, d))
	case *wire.Envelope_Strike:
		n.struck(now, p, b.Strike)
	case *wire.Envelope_StrikeAck:
		n.acked(now, b.StrikeAck.GetId(), l.ID)
	default:
		n.Owner.Frame(now, l, m)
	}
}

func (n *Node) beaten(now clock.Milli, p *peer, b *wire.Beat) {
	p.heard = now
	p.echo, p.digest, p.echoed = b.GetSequence(), b.GetDigest(), b.GetEcho()
	heard := b.GetPlatformAgeMs() > 0
	age := clock.Milli(b.GetPlatformAgeMs()) - 1
	n.act(now, n.engine.Beat(now, p.name, b.GetDigest(), age, heard))
	if b.GetLeaving() != p.leaving {
		p.leaving = b.GetLeaving()
		n.Owner.Leaving(now, p.link, p.leaving)
		n.configure(now)
	}
	if b.GetAnswer() {
		n.beat(now, p, false)
	}
	n.checkConfirmed(now)
}

// Confirm asks the peers whether the versions in force here are current. The
// program is told by Confirmed. Heartbeats that were on their way before the
// call do not count.
func (n *Node) Confirm(now clock.Milli) {
	n.confirm = n.sequence + 1
	for _, p := range n.sorted() {
		n.beat(now, p, true)
	}
}

func (n *Node) checkConfirmed(now clock.Milli) {
	if n.confirm == 0 {
		return
	}
	for _, p := range n.peers {
		if p.echoed >= n.confirm && p.digest == n.engine.Digest() {
			n.confirm = 0
			n.Owner.Confirmed(now)
			return
		}
	}
}

func (n *Node) beat(now clock.Milli, p *peer, answer bool) {
	n.sequence++
	b := &wire.Beat{
		Digest: n.engine.Digest(), Leaving: n.leaving, Sequence: n.sequence, Echo: p.echo, Answer: answer,
	}
	if age, heard := n.engine.PlatformAge(now); heard {
		b.PlatformAgeMs = uint32(age) + 1
	}
	n.Send(p.link, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: b}})
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

func (n *Node) tick(now clock.Milli) {
	n.act(now, n.engine.Tick(now))
	for _, p := range n.sorted() {
		if now < p.nextBeat {
			continue
		}
		every := n.pace(p)
		p.nextBeat = now + every
		n.beat(now, p, false)
		if now-p.heard > peerQuiet*every {
			n.Log.Warn().Str("peer", p.name).Msg("peer sends no heartbeats")
			p.link.Fail(mesh.ErrSilent)
		}
	}
}

// pace is the pause between heartbeats on a link.
func (n *Node) pace(p *peer) clock.Milli {
	same := p.link.Peer.GetHost() == n.Settings.Host.Name
	if same || (p.link.Peer.GetProgram() == Aggregator && n.Program == Aggregator) {
		return beatEvery
	}
	return beatRarely
}

func (n *Node) act(now clock.Milli, actions []spread.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case spread.SendPull:
			n.sendTo(a.Peer, pullTo(a))
		case spread.SendDelta:
			n.sendTo(a.Peer, deltaTo(a.Delta))
		case spread.SendStamps:
			n.sendTo(a.Peer, stampsTo(a.Stamps))
		case spread.ReadPlatform:
			n.reads.Go(func() {
				set, err := n.platform.read(a)
				n.Post(PlatformRead{spread.Read{Key: a.Key, Set: set, Err: err}})
			})
		case spread.Refuse:
			n.noteRefused(a)
			n.Log.Error().Err(a.Err).Str("key", a.Key).Uint64("version", a.Stamp.Version).
				Msg("version is invalid and was refused; the former stays in force")
		case spread.Adopt:
			n.adopt(now, a)
		}
	}
}

func (n *Node) sendTo(name string, m *wire.Envelope) {
	for _, p := range n.peers {
		if p.name == name {
			n.Send(p.link, m)
		}
	}
}

func (n *Node) adopt(now clock.Milli, a spread.Adopt) {
	n.Log.Info().Str("key", a.Key).Uint64("version", a.Stamp.Version).Msg("version in force")
	if a.Key == KeyConfig {
		n.cfg = n.checked // the check before this adoption read it
		n.engine.Want(wanted(n.cfg))
	} else {
		n.byKey[a.Key] = n.checkedHosts // the check before this adoption read them
		n.hosts = n.allHosts()
		n.engine.Rank = n.rank()
	}
	n.configure(now)
	if n.confirm != 0 {
		for _, p := range n.sorted() {
			n.beat(now, p, true)
		}
	}
}

// wanted lists the host lists that a configuration calls for.
func wanted(cfg *invent.Config) []string {
	keys := make([]string, len(cfg.Inventory.Domains))
	for i, d := range cfg.Inventory.Domains {
		keys[i] = KeyHosts + d.Name
	}
	return keys
}

// allHosts joins the host lists of all failure domains.
func (n *Node) allHosts() []invent.Host {
	var all []invent.Host
	for _, key := range n.engine.HeldKeys() {
		all = append(all, n.byKey[key]...)
	}
	return all
}

// rank is this host's place among the aggregators of its failure domain that
// may watch the platform. Every host computes the same order by itself.
func (n *Node) rank() int {
	if n.Program != Aggregator {
		return -1
	}
	for i, h := range place.Owners(n.hosts, n.Settings.Host.Domain, "watch", len(n.hosts)) {
		if h.Name == n.Settings.Host.Name {
			return i
		}
	}
	return -1
}

// configure tells the program what is in force. Hosts that say themselves that
// they leave count as leaving before the host list says so.
func (n *Node) configure(now clock.Milli) {
	if n.cfg == nil || len(n.hosts) == 0 {
		return
	}
	gone := map[string]bool{}
	for _, p := range n.peers {
		if p.leaving && p.link.Peer.GetProgram() == Aggregator {
			gone[p.link.Peer.GetHost()] = true
		}
	}
	if n.leaving && n.Program == Aggregator {
		gone[n.Settings.Host.Name] = true
	}
	hosts := append([]invent.Host(nil), n.hosts...)
	for i := range hosts {
		hosts[i].Leaving = hosts[i].Leaving || gone[hosts[i].Name]
	}
	n.Owner.Configure(now, n.cfg, hosts)
	n.redial(hosts)
}

func (n *Node) redial(hosts []invent.Host) {
	want := map[string]bool{}
	for _, addr := range n.Owner.Dials(n.cfg, hosts) {
		if addr != n.Settings.Listen.Links {
			want[addr] = true
		}
	}
	for addr := range want {
		if !n.dialed[addr] {
			n.mesh.Dial(addr)
		}
	}
	for addr := range n.dialed {
		if !want[addr] && !n.seed(addr) {
			n.mesh.Hangup(addr)
		}
	}
	for _, addr := range n.Settings.Peers {
		want[addr] = true
	}
	n.dialed = want
}

func (n *Node) seed(addr string) bool {
	for _, s := range n.Settings.Peers {
		if s == addr {
			return true
		}
	}
	return false
}

// Dial keeps a link to an address that Dials does not list.
func (n *Node) Dial(addr string) { n.mesh.Dial(addr) }

// Hosts returns the host list in force.
func (n *Node) Hosts() []invent.Host { return n.hosts }

// Ready tells whether a configuration and a host list are in force.
func (n *Node) Ready() bool { return n.cfg != nil && len(n.hosts) > 0 }

// Leave tells the peers that this process is on its way out.
func (n *Node) Leave(now clock.Milli) {
	n.leaving = true
	for _, p := range n.sorted() {
		n.beat(now, p, false)
	}
	n.configure(now)
}

// Share tells all peers of a strike and calls done once they have it.
func (n *Node) Share(now clock.Milli, s poison.Strike, done func(now clock.Milli)) {
	n.lastID++
	sh := &sharing{waiting: map[uint64]bool{}, done: done}
	for _, p := range n.sorted() {
		if n.Send(p.link, strikeTo(n.lastID, s)) {
			sh.waiting[p.link.ID] = true
		}
	}
	n.strikes[n.lastID] = sh
	n.acked(now, n.lastID, 0)
}

func (n *Node) acked(now clock.Milli, id, link uint64) {
	sh := n.strikes[id]
	if sh == nil {
		return
	}
	delete(sh.waiting, link)
	if len(sh.waiting) > 0 {
		return
	}
	delete(n.strikes, id)
	if sh.done != nil {
		sh.done(now)
	}
}

// struck takes a peer's strike and passes news on. It answers at once; what is
// not news stops here, so a strike goes round once.
func (n *Node) struck(now clock.Milli, p *peer, w *wire.Strike) {
	s := strikeFrom(w)
	if n.Owner.Strike(now, s) {
		n.Log.Warn().Uint64("fingerprint", s.Fingerprint).Int("count", s.Count).Str("from", p.name).
			Msg("request crashed a backend server and is refused")
		for _, other := range n.sorted() {
			if other != p {
				n.Send(other.link, strikeTo(0, s))
			}
		}
	}
	if w.GetId() != 0 {
		n.Send(p.link, &wire.Envelope{Body: &wire.Envelope_StrikeAck{StrikeAck: &wire.StrikeAck{Id: w.GetId()}}})
	}
}

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
