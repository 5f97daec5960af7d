// Package member finds the other hosts and tells which of them are there. It
// starts from a few seeds, which may be stale or down, and hosts tell each
// other whom they have heard of. Nobody is in charge, nothing is agreed on:
// each host's list is its own belief, and good enough for what it is used for,
// which is to share limits out and to find helpers. It decides only; the caller
// owns the socket.
package member

import (
	"math/rand/v2"
	"sort"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/news"
	"dandelionstile/share/rank"
)

// Host is one process of the system.
type Host struct {
	// Gossip and Relay are where it takes gossip and relayed requests; Gossip
	// identifies it.
	Gossip string
	Relay  string
	Domain string
	// Started is when it started, in Unix ms by its own clock.
	Started uint64
	// Beat is counted up by the host itself; one that is not, is not there.
	Beat    uint64
	Leaving bool
}

// newer tells whether an entry replaces another for the same address.
func (h Host) newer(o Host) bool {
	if h.Started != o.Started {
		return h.Started > o.Started
	}
	return h.Beat > o.Beat
}

// Timing and sizes of the exchange.
const (
	// Period is the pause between two rounds while there are few hosts.
	Period clock.Milli = 400
	// fewHosts is up to how many hosts the shortest period is kept; it grows
	// with their number up to longPeriod, so that what a host sends is bounded.
	fewHosts   = 40
	longPeriod = 1000 * clock.Milli(1)
	// perPacket is how many other hosts a packet tells of: about 1 KB.
	perPacket = 18
	// perAnswer is how many an answer to a host that asks tells of, some 3 KB:
	// one that has just started learns of most others at once.
	perAnswer = 60
	// aliveFor is how long a host is believed to be there after its last beat.
	// It covers several rounds, lost datagrams and the hops of a beat.
	aliveFor = 5 * clock.Second
	// aliveMore is added for each hundred hosts: a packet tells of a part of
	// them only, and beats take more hops. With less, hosts that are
	// there go uncounted in large fleets.
	aliveMore = 10 * clock.Second
	// forgetAfter is when a host that is gone is dropped from memory; an older
	// beat of it that still goes round would make it alive again.
	forgetAfter = 60 * clock.Second
	// seedEvery is after how many rounds a seed is asked, known or not: it
	// joins parts of the system that have lost each other. A host that has
	// just started asks more often, for its first rounds.
	seedEvery      = 20
	seedEveryFirst = 4
	firstRounds    = 16
	// nearShare is the part of rounds whose packet stays in the failure
	// domain; bytes between domains and regions are billed.
	nearShare = 0.5
)

// Packet is what one host is told.
type Packet struct {
	To string
	// Hosts begins with the sender.
	Hosts []Host
	// Crashes and Leafs pass through: they are the caller's.
	Crashes []crash.Report
	Leafs   []news.Leaf
	// Ask asks the receiver to answer with what it knows.
	Ask bool
}

// List is one host's belief about all hosts. Self and Seeds are set before
// first use; Seeds may be replaced at any time.
type List struct {
	Self  Host
	Seeds []string

	known map[string]*entry
	round uint64
	rand  *rand.Rand
}

type entry struct {
	host  Host
	heard clock.Milli
}

func (l *List) start() {
	if l.known != nil {
		return
	}
	l.known = map[string]*entry{}
	// Seeded by the address: repeatable, and different between hosts.
	l.rand = rand.New(rand.NewPCG(rank.Of(l.Self.Gossip), l.Self.Started))
}

// Round counts the own beat up and returns whom to tell what.
func (l *List) Round(now clock.Milli) []Packet {
	l.start()
	l.Self.Beat++
	l.round++
	l.forget(now)
	packets := make([]Packet, 0, 3)
	for _, to := range l.targets(now) {
		packets = append(packets, Packet{To: to, Hosts: l.sample(now, perPacket), Ask: l.starting()})
	}
	if seed, ok := l.seed(len(packets) == 0); ok {
		// A host that has just started is known to nobody, and nobody would
		// tell it anything: it asks.
		packets = append(packets, Packet{To: seed, Hosts: l.sample(now, perPacket), Ask: true})
	}
	return packets
}

// Farewell tells all others that this host leaves.
func (l *List) Farewell(now clock.Milli) []Packet {
	l.start()
	l.Self.Leaving = true
	l.Self.Beat++
	var packets []Packet
	for _, h := range l.Alive(now) {
		packets = append(packets, Packet{To: h.Gossip, Hosts: []Host{l.Self}})
	}
	return packets
}

// Near is a packet for each host of the own failure domain; if there are more
// than a number of them, for others each time.
func (l *List) Near(now clock.Milli, most int) []Packet {
	l.start()
	var packets []Packet
	for _, h := range l.Alive(now) {
		if h.Domain == l.Self.Domain {
			packets = append(packets, Packet{To: h.Gossip, Hosts: []Host{l.Self}})
		}
	}
	l.rand.Shuffle(len(packets), func(i, j int) { packets[i], packets[j] = packets[j], packets[i] })
	return packets[:min(len(packets), most)]
}

// Answer is what a host that has asked is told.
func (l *List) Answer(now clock.Milli, to string) Packet {
	l.start()
	return Packet{To: to, Hosts: l.sample(now, perAnswer)}
}

// Every is the pause until the next round.
func (l *List) Every() clock.Milli {
	return min(longPeriod, Period*max(1, clock.Milli(len(l.known))/fewHosts))
}

// Hear takes what another host has told and says whether a host is new or back.
func (l *List) Hear(now clock.Milli, hosts []Host) bool {
	l.start()
	news := false
	for _, h := range hosts {
		if h.Gossip == l.Self.Gossip {
			continue
		}
		e := l.known[h.Gossip]
		if e == nil {
			l.known[h.Gossip] = &entry{host: h, heard: now}
			news = true
			continue
		}
		// A process that started again after its clock was set back seems older
		// than its former self; it is believed once that one is silent.
		risen := h.Started != e.host.Started && now-e.heard > l.alive()
		if !h.newer(e.host) && !risen {
			continue
		}
		news = news || h.Started != e.host.Started || h.Leaving != e.host.Leaving || now-e.heard > l.alive()
		e.host, e.heard = h, now
	}
	return news
}

// Alive lists the hosts that are there and not leaving, without this one, by
// address.
func (l *List) Alive(now clock.Milli) []Host {
	list := make([]Host, 0, len(l.known))
	for _, e := range l.known {
		if now-e.heard <= l.alive() && !e.host.Leaving {
			list = append(list, e.host)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Gossip < list[j].Gossip })
	return list
}

func (l *List) alive() clock.Milli {
	return aliveFor + aliveMore*clock.Milli(len(l.known))/100
}

func (l *List) forget(now clock.Milli) {
	for key, e := range l.known {
		if now-e.heard > forgetAfter {
			delete(l.known, key)
		}
	}
}

// targets chooses whom to tell in this round: mostly a host of the own failure
// domain, at times any.
func (l *List) targets(now clock.Milli) []string {
	var near, far []string
	for _, h := range l.Alive(now) {
		if h.Domain == l.Self.Domain {
			near = append(near, h.Gossip)
		} else {
			far = append(far, h.Gossip)
		}
	}
	var chosen []string
	if len(near) > 0 {
		chosen = append(chosen, near[l.rand.IntN(len(near))])
	}
	if len(far) > 0 && (len(near) == 0 || l.starting() || l.rand.Float64() > nearShare) {
		chosen = append(chosen, far[l.rand.IntN(len(far))])
	}
	return chosen
}

// starting tells whether this host is in its first rounds, in which it asks
// whomever it tells, to learn of all others soon.
func (l *List) starting() bool { return l.round <= firstRounds }

// seed chooses a seed to ask, now and then, or when nobody else is known.
func (l *List) seed(alone bool) (string, bool) {
	every := uint64(seedEvery)
	if l.starting() {
		every = seedEveryFirst
	}
	if len(l.Seeds) == 0 || (l.round%every != 1 && !alone) {
		return "", false
	}
	seed := l.Seeds[l.rand.IntN(len(l.Seeds))]
	return seed, seed != l.Self.Gossip
}

// sample is what a packet tells: this host and others that are there. If not
// all fit, half of them are those heard of last, whose news travels on at once,
// and half any, so that none is left out for long.
func (l *List) sample(now clock.Milli, most int) []Host {
	others := l.Alive(now)
	l.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if len(others) > most {
		sort.SliceStable(others[:len(others)-most/2], func(i, j int) bool {
			return l.known[others[i].Gossip].heard > l.known[others[j].Gossip].heard
		})
		others = append(others[:most/2], others[len(others)-most/2:]...)
	}
	return append([]Host{l.Self}, others...)
}
