package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/clock"
	"dandelionstile/share/member"
	"dandelionstile/share/report"
	"dandelionstile/share/router"
)

// peers exchanges datagrams with other hosts and tells which of them are there.
type peers struct {
	tell func([]router.Peer)

	tier *Server
	conn *net.UDPConn
	done sync.WaitGroup
	stop chan struct{}

	mu   sync.Mutex
	list member.List
	// reported is the version of the list that was reported last.
	reported   uint64
	reportedAt clock.Milli
	// sharedAt is when crash reports were last published.
	sharedAt clock.Milli
	// planned is when the next round is planned, and wake has it planned anew.
	planned clock.Milli
	wake    chan struct{}
	// crashes are passed on with each packet of the next rounds.
	crashes []toldCrash
	// leafs waits to be told to the hosts of the own failure domain.
	leafs map[string]report.Leaf
	flush *time.Timer
}

// datagram is the largest datagram taken, in bytes.
const datagram = 8 << 10

func (p *peers) start(t *Server) error {
	address, err := netip.ParseAddrPort(t.Settings.GossipAddress)
	if err != nil {
		return errors.Wrap(err, "gossip address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", t.Settings.GossipAddress)
	}
	p.tier, p.conn, p.stop, p.wake = t, conn, make(chan struct{}), make(chan struct{}, 1)
	p.list = member.List{Seeds: t.Settings.Seeds, Self: member.Host{
		GossipAddress: t.Settings.GossipAddress, ForwardAddress: t.Settings.ForwardAddress, Domain: t.Settings.Self.Domain,
		Capacity: t.Settings.Self.Capacity, Started: uint64(clock.Unix()),
	}}
	p.done.Go(p.hear)
	p.done.Go(p.run)
	return nil
}

// seeds replaces the hosts to start from.
func (p *peers) seeds(list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.Seeds = list
}

// leave tells the others at once that this host takes no more forwarded requests.
func (p *peers) leave() {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	packets := p.list.Leave(p.tier.Clock.Now())
	p.mu.Unlock()
	p.send(packets)
}

func (p *peers) close() error {
	if p.conn == nil {
		return nil
	}
	close(p.stop)
	p.mu.Lock()
	if p.flush != nil {
		p.flush.Stop()
	}
	p.mu.Unlock()
	err := p.conn.Close()
	p.done.Wait()
	return err
}

func (p *peers) hear() {
	buf := make([]byte, datagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-p.stop:
				return
			default:
			}
			// An answer that a former datagram found no listener; the socket
			// itself goes on.
			continue
		}
		packet, err := member.Decode(buf[:n])
		if err != nil {
			p.tier.Log.Warn().Err(err).Msg("packet-unreadable")
			continue
		}
		p.take(packet)
	}
}

// take learns from a packet and answers it.
func (p *peers) take(packet member.Packet) {
	p.mu.Lock()
	answers := p.list.Receive(p.tier.Clock.Now(), packet)
	sooner := p.next() < p.planned
	p.mu.Unlock()
	p.send(answers)
	if len(packet.Crashes) > 0 {
		p.tier.post(router.CrashReports{List: packet.Crashes})
	}
	if len(packet.Leaves) > 0 {
		p.tier.post(router.LeafReports{List: packet.Leaves})
	}
	if sooner {
		p.wakeUp()
	}
}

// wakeUp has the next tick planned anew.
func (p *peers) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peers) run() {
	for {
		p.round()
		p.report()
		timer := time.NewTimer(p.pause())
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

// crashPeriod is the pause between two rounds in which crash reports are published.
const crashPeriod clock.Milli = 200

// round sends what is due.
func (p *peers) round() {
	p.mu.Lock()
	now := p.tier.Clock.Now()
	packets := p.list.Tick(now)
	if len(p.crashes) > 0 && now >= p.sharedAt+crashPeriod {
		p.sharedAt = now
		packets = append(packets, p.list.Gossip(now)...)
	}
	p.mu.Unlock()
	for i := range packets {
		// The other kinds go to the same few hosts each time.
		if packets[i].Kind == member.Publish {
			packets[i].Crashes = p.takeCrashes()
		}
	}
	p.send(packets)
}

// pause plans the next round and returns how long nothing is due.
func (p *peers) pause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planned = p.next()
	return max(1, p.planned-p.tier.Clock.Now()).Duration()
}

// next is when something is due.
func (p *peers) next() clock.Milli {
	next := p.list.Next()
	if len(p.crashes) > 0 {
		next = min(next, p.sharedAt+crashPeriod)
	}
	if p.list.Version() != p.reported {
		next = min(next, p.reportedAt+reportPause)
	}
	return next
}

func (p *peers) send(packets []member.Packet) {
	for _, packet := range packets {
		body, err := member.Encode(packet)
		if err != nil {
			p.tier.Log.Error().Err(err).Msg("packet-not-encoded")
			continue
		}
		to, err := netip.ParseAddrPort(packet.To)
		if err != nil {
			p.tier.Log.Warn().Err(err).Str("peer", packet.To).Msg("peer-address-unreadable")
			continue
		}
		// A datagram that is not sent is like one that is lost.
		_, _ = p.conn.WriteToUDPAddrPort(body, to)
	}
}

const (
	// reportPause is the least time between two reports of the list.
	reportPause clock.Milli = 100
	// mostNamedHosts bounds the hosts that a line names.
	mostNamedHosts = 8
)

// report passes the list on if it has changed.
func (p *peers) report() {
	p.mu.Lock()
	now := p.tier.Clock.Now()
	if p.list.Version() == p.reported || now < p.reportedAt+reportPause {
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
	p.tell(list)
}

// logChanges writes one line for the hosts that have come or gone since the last.
func (p *peers) logChanges(changes []member.Change, more, known int) {
	names := map[member.State][]string{}
	named := changes[:min(len(changes), mostNamedHosts)]
	for _, c := range named {
		names[c.State] = append(names[c.State], c.Host.GossipAddress)
	}
	line := p.tier.Log.Info()
	for state, key := range map[member.State]string{member.Alive: "up", member.Suspect: "up-unsure", member.Dead: "dead", member.Left: "left"} {
		if len(names[state]) > 0 {
			line.Strs(key, names[state])
		}
	}
	line.Int("unnamed", len(changes)-len(named)+more).Int("known", known).Msg("hosts-changed")
}
