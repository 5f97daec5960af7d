package tier

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/member"
	"dandelionstile/share/news"
	"dandelionstile/share/router"
)

// peers exchanges datagrams with other hosts and tells which of them are there.
type peers struct {
	tell func([]router.Peer)

	tier *Tier
	conn *net.UDPConn
	done sync.WaitGroup
	stop chan struct{}

	mu   sync.Mutex
	list member.List
	last []router.Peer
	// crashes are passed on with each packet of the next rounds.
	crashes []toldCrash
	// leafs waits to be told to the hosts of the own failure domain.
	leafs map[string]news.Leaf
	flush *time.Timer
}

// toldCrash is a crash and how often it is still to be passed on.
type toldCrash struct {
	crash.Report
	at    clock.Milli
	times int
}

const (
	// crashTimes is how many packets pass a crash on. Whoever hears of it
	// does the same, so that it reaches all hosts within a few rounds.
	crashTimes = 6
	// crashesAtOnce is how many crashes one packet holds at most.
	crashesAtOnce = 24
	// mostWaiting bounds the crashes that wait to be passed on.
	mostWaiting = 256
)

// tellCrashes passes crashes on to other hosts.
func (p *peers) tellCrashes(list []crash.Report) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.tier.Clock.Now()
	for _, s := range list {
		if len(p.crashes) < mostWaiting {
			p.crashes = append(p.crashes, toldCrash{s, now - s.Age, crashTimes})
		}
	}
}

const (
	// newsPause is how long news of leafs is gathered: a few of a host's calls
	// show the same within this time, and a leaf's pause lasts many times as long.
	newsPause = 15 * time.Millisecond
	// newsHosts bounds the hosts that are told at once.
	newsHosts = 24
	// newsAtOnce bounds the leafs that one packet tells of.
	newsAtOnce = 40
)

// tellLeafs passes news of leafs on to the hosts of the own failure domain.
func (p *peers) tellLeafs(list []news.Leaf) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leafs == nil {
		p.leafs = map[string]news.Leaf{}
	}
	for _, n := range list {
		if len(p.leafs) < newsAtOnce {
			p.leafs[n.ID] = n
		}
	}
	if p.flush == nil {
		p.flush = time.AfterFunc(newsPause, p.sendLeafs)
	}
}

// sendLeafs sends the news that has been gathered.
func (p *peers) sendLeafs() {
	p.mu.Lock()
	list := slices.Collect(maps.Values(p.leafs))
	p.leafs, p.flush = nil, nil
	packets := p.list.Near(p.tier.Clock.Now(), newsHosts)
	p.mu.Unlock()
	for i := range packets {
		packets[i].Leafs = list
	}
	p.send(packets)
}

// takeCrashes are the crashes for one packet.
func (p *peers) takeCrashes() []crash.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.tier.Clock.Now()
	var list []crash.Report
	rest := p.crashes[:0]
	for _, s := range p.crashes {
		if len(list) < crashesAtOnce {
			list = append(list, crash.Report{Fingerprint: s.Fingerprint, Leaf: s.Leaf, Age: now - s.at})
			s.times--
		}
		if s.times > 0 {
			rest = append(rest, s)
		}
	}
	p.crashes = rest
	return list
}

// datagram is the largest datagram taken, in bytes.
const datagram = 8 << 10

func (p *peers) start(t *Tier) error {
	address, err := net.ResolveUDPAddr("udp4", t.Settings.Gossip)
	if err != nil {
		return errors.Wrap(err, "gossip address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", t.Settings.Gossip)
	}
	p.tier, p.conn, p.stop = t, conn, make(chan struct{})
	p.list = member.List{Seeds: t.Settings.Seeds, Self: member.Host{
		Gossip: t.Settings.Gossip, Relay: t.Settings.Relay, Domain: t.Settings.Self.Domain, Started: uint64(clock.Unix()),
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
	packets := p.list.Farewell(p.tier.Clock.Now())
	p.mu.Unlock()
	p.gossip(packets)
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
		n, _, err := p.conn.ReadFromUDP(buf)
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
		if err != nil || len(packet.Hosts) == 0 {
			p.tier.Log.Warn().Err(err).Msg("gossip-unreadable")
			continue
		}
		p.take(packet)
	}
}

// take learns from a packet and answers it if asked to.
func (p *peers) take(packet member.Packet) {
	now := p.tier.Clock.Now()
	p.mu.Lock()
	changed := p.list.Hear(now, packet.Hosts)
	var answer []member.Packet
	if packet.Ask {
		answer = []member.Packet{p.list.Answer(now, packet.Hosts[0].Gossip)}
	}
	p.mu.Unlock()
	p.gossip(answer)
	if len(packet.Crashes) > 0 {
		p.tier.post(router.Crashes{List: packet.Crashes})
	}
	if len(packet.Leafs) > 0 {
		p.tier.post(router.HeardOfLeafs{List: packet.Leafs})
	}
	if changed {
		p.report()
	}
}

func (p *peers) run() {
	for {
		p.round()
		p.report()
		p.mu.Lock()
		every := p.list.Every()
		p.mu.Unlock()
		select {
		case <-p.stop:
			return
		case <-time.After(every.Duration()):
		}
	}
}

// round sends what is due.
func (p *peers) round() {
	p.mu.Lock()
	packets := p.list.Round(p.tier.Clock.Now())
	p.mu.Unlock()
	p.gossip(packets)
}

// gossip sends packets that take waiting crash reports along.
func (p *peers) gossip(packets []member.Packet) {
	for i := range packets {
		packets[i].Crashes = p.takeCrashes()
	}
	p.send(packets)
}

func (p *peers) send(packets []member.Packet) {
	for _, packet := range packets {
		body, err := member.Encode(packet)
		if err != nil {
			p.tier.Log.Error().Err(err).Msg("gossip-not-encoded")
			continue
		}
		to, err := net.ResolveUDPAddr("udp4", packet.To)
		if err != nil {
			p.tier.Log.Warn().Err(err).Str("peer", packet.To).Msg("gossip-address-unreadable")
			continue
		}
		// A datagram that is not sent is like one that is lost: the next round
		// tells the same.
		_, _ = p.conn.WriteToUDP(body, to)
	}
}

// report passes the list on if it has changed.
func (p *peers) report() {
	p.mu.Lock()
	hosts := p.list.Alive(p.tier.Clock.Now())
	list := make([]router.Peer, len(hosts))
	for i, h := range hosts {
		list[i] = router.Peer{Address: h.Relay, Domain: h.Domain, Started: h.Started}
	}
	same := slices.Equal(list, p.last)
	p.last = list
	p.mu.Unlock()
	if !same {
		p.tell(list)
	}
}
