package member

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// fleet is a set of hosts on a virtual clock, with packet loss.
type fleet struct {
	clock  clock.Virtual
	rand   *rand.Rand
	hosts  []*simHost
	byName map[string]*simHost
	// lossRatio is the ratio of packets lost at random, and cut reports whether the
	// network between two hosts is cut.
	lossRatio float64
	cut       func(from, to string) bool
	// packets and bytes count what was sent since the last reset.
	packets, bytes int
	// One packet in sampleEvery is encoded to measure its size.
	sampleEvery int
}

// simHost is one host. A stopped host neither sends nor reads packets.
type simHost struct {
	list    *List
	stopped bool
	dead    bool
	// unread holds the packets that arrived while the host was stopped.
	unread []Packet
	// nextTickAt is when the scheduled tick is.
	nextTickAt clock.Milli
}

const domains = 6

func newFleet(t *testing.T, n int, loss float64) *fleet {
	t.Helper()
	f := &fleet{rand: rand.New(rand.NewPCG(uint64(n), 7)), byName: map[string]*simHost{}, lossRatio: loss, sampleEvery: 1}
	if n > 1000 {
		f.sampleEvery = 32
	}
	seeds := []string{name(0), name(1), "10.9.9.9:1"} // no host has the last address
	for i := range n {
		f.start(t, name(i), seeds, 1)
	}
	return f
}

// name returns the gossip address of the host with a number.
func name(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200) }

// start adds a host, which replaces one at the same address, and returns it.
func (f *fleet) start(t *testing.T, host string, seeds []string, started uint64) *simHost {
	h := &simHost{list: &List{Seeds: seeds, Self: Host{
		GossipAddress: host, ForwardAddress: host, Domain: fmt.Sprintf("d%d", len(f.hosts)%domains), Started: started,
	}}}
	if former := f.byName[host]; former != nil {
		former.dead = true
		h.list.Self.Domain = former.list.Self.Domain
	}
	f.byName[host] = h
	f.hosts = append(f.hosts, h)
	// The first ticks of the hosts are spread over 300 ms.
	f.clock.After(clock.Milli(len(f.hosts)%300), func() { f.tick(t, h) })
	return h
}

func (f *fleet) tick(t *testing.T, h *simHost) {
	if h.dead || h.stopped {
		return
	}
	f.send(t, h.list.Tick(f.clock.Now()))
	f.schedule(t, h)
}

// schedule schedules the next tick of a host, unless an earlier one is scheduled.
func (f *fleet) schedule(t *testing.T, h *simHost) {
	at := max(h.list.Next(), f.clock.Now()+1)
	if h.nextTickAt > f.clock.Now() && h.nextTickAt <= at {
		return
	}
	h.nextTickAt = at
	f.clock.At(at, func() {
		if h.nextTickAt == at {
			f.tick(t, h)
		}
	})
}

// send measures packets, loses some and delivers the others after a delay of 1 to 24 ms.
func (f *fleet) send(t *testing.T, packets []Packet) {
	for _, p := range packets {
		if f.packets++; f.packets%f.sampleEvery == 0 {
			body, err := Encode(p)
			assert.NilError(t, err)
			const headers = 28 // of IP and UDP
			f.bytes += (len(body) + headers) * f.sampleEvery
		}
		if f.rand.Float64() < f.lossRatio || f.cut != nil && f.cut(p.Sender.Host.GossipAddress, p.To) {
			continue
		}
		f.clock.After(1+clock.Milli(f.rand.IntN(24)), func() { f.deliver(t, p) })
	}
}

func (f *fleet) deliver(t *testing.T, p Packet) {
	h := f.byName[p.To]
	switch {
	case h == nil || h.dead: // the packet is lost
	case h.stopped:
		h.unread = append(h.unread, p)
	default:
		f.send(t, h.list.Receive(f.clock.Now(), p))
		f.schedule(t, h)
	}
}

// stop stops a host for a span; it then reads the packets sent meanwhile.
func (f *fleet) stop(t *testing.T, h *simHost, span clock.Milli) {
	h.stopped = true
	f.clock.After(span, func() {
		h.stopped = false
		f.tick(t, h)
		for _, p := range h.unread {
			f.deliver(t, p)
		}
		h.unread = nil
	})
}

func (f *fleet) run(span clock.Milli) { f.clock.Run(f.clock.Now() + span) }

// running lists the hosts that are not dead.
func (f *fleet) running() []*simHost {
	var list []*simHost
	for _, h := range f.hosts {
		if !h.dead {
			list = append(list, h)
		}
	}
	return list
}

// minKnown returns the smallest number of other hosts in any list.
func (f *fleet) minKnown() int {
	fewest := len(f.hosts)
	for _, h := range f.running() {
		fewest = min(fewest, len(h.list.ring))
	}
	return fewest
}

// knownPairs returns the number of pairs of a host and another host in its list.
func (f *fleet) knownPairs() int {
	n := 0
	for _, h := range f.running() {
		n += len(h.list.ring)
	}
	return n
}
