package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/member"
	"dandelionstile/share/report"
	"dandelionstile/share/router"
)

// peers exchanges datagrams with other hosts and reports which of them are alive.
type peers struct {
	// onChange is called with the other hosts that are alive when the list changes.
	onChange func([]router.Peer)

	server *Server
	conn   datagramConn // nil on a host that works alone
	done   sync.WaitGroup
	stop   chan struct{}

	mu   sync.Mutex
	list member.List
	// reported is the version of the list that was last reported, at reportedAt.
	reported   uint64
	reportedAt clock.Milli
	// publishedAt is the time when crash reports were last published.
	publishedAt clock.Milli
	// nextRound is the time of the next round; wake starts it at once.
	nextRound clock.Milli
	wake      chan struct{}
	// crashReports are sent with the packets of the next rounds, several times each.
	crashReports []queuedCrash
	// crashDigest is the digest of the crash reports that this host knows.
	crashDigest crash.Digest
	// leafReports holds the load reports by leaf that flushTimer will send to the
	// hosts of the same failure domain.
	leafReports map[string]report.Leaf
	// flushTimer is set while load reports are queued.
	flushTimer *time.Timer
}

// datagramConn is a UDP socket.
type datagramConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// maxDatagram is the size of the largest accepted datagram, in bytes.
const maxDatagram = 8 << 10

// start opens the socket and starts to receive and send packets.
func (p *peers) start(server *Server) error {
	address, err := netip.ParseAddrPort(server.Settings.GossipAddress)
	if err != nil {
		return errors.Wrap(err, "gossip address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", server.Settings.GossipAddress)
	}
	p.server, p.conn, p.stop, p.wake = server, conn, make(chan struct{}), make(chan struct{}, 1)
	p.list = member.List{Seeds: server.Settings.Seeds, Self: member.Host{
		GossipAddress: server.Settings.GossipAddress, ForwardAddress: server.Settings.ForwardAddress, Domain: server.Settings.Self.Domain,
		Capacity: server.Settings.Self.Capacity, Started: uint64(clock.Unix()),
	}}
	p.done.Go(p.receive)
	p.done.Go(p.run)
	return nil
}

// setSeeds replaces the seed addresses.
func (p *peers) setSeeds(list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.Seeds = list
}

// leave announces to the other hosts that this host accepts no more forwarded requests. It
// does nothing on a host that works alone.
func (p *peers) leave() {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	packets := p.list.Leave(p.server.Clock.Now())
	p.mu.Unlock()
	p.send(packets)
}

// close closes the socket and waits for the goroutines to end. It does nothing on a host
// that works alone.
func (p *peers) close() error {
	if p.conn == nil {
		return nil
	}
	close(p.stop)
	p.mu.Lock()
	if p.flushTimer != nil {
		p.flushTimer.Stop()
	}
	p.mu.Unlock()
	err := p.conn.Close()
	p.done.Wait()
	return err
}

// receive handles packets until close.
func (p *peers) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-p.stop:
				return
			default:
			}
			// An ICMP error for an earlier datagram whose destination had no
			// listener; the socket remains usable.
			continue
		}
		packet, err := member.Decode(buf[:n])
		if err != nil {
			p.server.Log.Warn().Err(err).Msg("packet-unreadable")
			continue
		}
		p.handle(packet)
	}
}

// handle applies a received packet, sends the replies and passes reports on leaves and
// crashes to the control loop. If the packet makes the next round due earlier, it wakes run.
func (p *peers) handle(packet member.Packet) {
	p.mu.Lock()
	now := p.server.Clock.Now()
	replies := p.list.Receive(now, packet)
	sync, differs := p.compareCrashes(now, packet)
	sooner := p.next() < p.nextRound
	p.mu.Unlock()
	p.send(replies)
	if differs {
		p.server.post(sync)
	}
	if len(packet.Crashes) > 0 {
		reports := router.CrashReports{List: packet.Crashes}
		if packet.Kind == member.Diff {
			reports.From = packet.Sender.Host.GossipAddress
		}
		p.server.post(reports)
	}
	if len(packet.Leaves) > 0 {
		p.server.post(router.LeafReports{List: packet.Leaves})
	}
	if sooner {
		p.wakeUp()
	}
}

// wakeUp makes run start the next round at once.
func (p *peers) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default: // a wake-up is already queued
	}
}

// run does rounds at the times they are due until close.
func (p *peers) run() {
	for {
		p.round()
		p.report()
		timer := time.NewTimer(p.scheduleRound())
		select {
		case <-p.stop:
			timer.Stop()
			return
		case <-p.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// crashReportInterval is the shortest interval between two rounds that send additional
// packets for crash reports.
const crashReportInterval clock.Milli = 200

// round sends the packets that are due. Those of kind Publish carry crash reports.
func (p *peers) round() {
	p.mu.Lock()
	now := p.server.Clock.Now()
	packets := p.list.Tick(now)
	if len(p.crashReports) > 0 && now >= p.publishedAt+crashReportInterval {
		p.publishedAt = now
		packets = append(packets, p.list.Gossip(now)...)
	}
	p.mu.Unlock()
	for i := range packets {
		// Packets of other kinds go to the same few hosts each time, where the
		// reports would use up their sends.
		if packets[i].Kind == member.Publish {
			packets[i].Crashes = p.takeCrashReports()
		}
	}
	p.send(packets)
}

// scheduleRound schedules the next round and returns the time until then.
func (p *peers) scheduleRound() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextRound = p.next()
	return max(1, p.nextRound-p.server.Clock.Now()).Duration()
}

// next returns the time of the next round: when packets, crash reports or a report of the
// list are due. The caller holds mu.
func (p *peers) next() clock.Milli {
	next := p.list.Next()
	if len(p.crashReports) > 0 {
		next = min(next, p.publishedAt+crashReportInterval)
	}
	if p.list.Version() != p.reported {
		next = min(next, p.reportedAt+reportInterval)
	}
	return next
}

// send sends packets. It logs those that cannot be encoded or have an invalid address.
func (p *peers) send(packets []member.Packet) {
	digest := p.digest()
	for _, packet := range packets {
		addCrashDigest(&packet, digest)
		body, err := member.Encode(packet)
		if err != nil {
			p.server.Log.Error().Err(err).Msg("packet-not-encoded")
			continue
		}
		to, err := netip.ParseAddrPort(packet.To)
		if err != nil {
			p.server.Log.Warn().Err(err).Str("peer", packet.To).Msg("peer-address-unreadable")
			continue
		}
		// A datagram that cannot be sent counts as lost.
		_, _ = p.conn.WriteToUDPAddrPort(body, to)
	}
}

const (
	// reportInterval is the shortest time between two reports of the list.
	reportInterval clock.Milli = 100
	// maxHostsLogged is the maximum number of hosts in a log line.
	maxHostsLogged = 8
)

// report logs the changes of the list and calls onChange if the list has changed, at most
// once per reportInterval.
func (p *peers) report() {
	p.mu.Lock()
	now := p.server.Clock.Now()
	if p.list.Version() == p.reported || now < p.reportedAt+reportInterval {
		p.mu.Unlock()
		return
	}
	p.reported, p.reportedAt = p.list.Version(), now
	hosts := p.list.Alive()
	list := make([]router.Peer, len(hosts))
	for i, h := range hosts {
		list[i] = router.Peer{
			Address: h.ForwardAddress, Domain: h.Domain, Capacity: h.Capacity, Started: h.Started, Suspected: p.list.Suspected(h.GossipAddress),
		}
	}
	changes, more := p.list.Changes()
	p.mu.Unlock()
	if len(changes) > 0 {
		p.logChanges(changes, more, len(hosts))
	}
	p.onChange(list)
}

// logChanges logs the hosts that were added or removed since the last report, up to
// maxHostsLogged by name. more is the number of changes that the list did not keep, and
// known the number of other hosts that are up.
func (p *peers) logChanges(changes []member.Change, more, known int) {
	names := map[member.State][]string{}
	named := changes[:min(len(changes), maxHostsLogged)]
	for _, c := range named {
		names[c.State] = append(names[c.State], c.Host.GossipAddress)
	}
	line := p.server.Log.Info()
	for state, key := range map[member.State]string{member.Alive: "up", member.Suspect: "up-unsure", member.Dead: "dead", member.Left: "left"} {
		if len(names[state]) > 0 {
			line.Strs(key, names[state])
		}
	}
	line.Int("unnamed", len(changes)-len(named)+more).Int("known", known).Msg("hosts-changed")
}
