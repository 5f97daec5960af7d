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
	now    clock.Virtual
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
	w := &fleet{rand: rand.New(rand.NewPCG(uint64(n), 7)), byName: map[string]*simHost{}, lossRatio: loss, sampleEvery: 1}
	if n > 1000 {
		w.sampleEvery = 32
	}
	seeds := []string{name(0), name(1), "10.9.9.9:1"}
	for i := range n {
		w.start(t, name(i), seeds, 1)
	}
	return w
}

func name(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200) }

// start adds a host, which replaces one at the same address, and returns it.
func (w *fleet) start(t *testing.T, host string, seeds []string, started uint64) *simHost {
	r := &simHost{list: &List{Seeds: seeds, Self: Host{
		GossipAddress: host, ForwardAddress: host, Domain: fmt.Sprintf("d%d", len(w.hosts)%domains), Started: started,
	}}}
	if former := w.byName[host]; former != nil {
		former.dead = true
		r.list.Self.Domain = former.list.Self.Domain
	}
	w.byName[host] = r
	w.hosts = append(w.hosts, r)
	w.now.After(clock.Milli(len(w.hosts)%300), func() { w.tick(t, r) })
	return r
}

func (w *fleet) tick(t *testing.T, r *simHost) {
	if r.dead || r.stopped {
		return
	}
	w.send(t, r.list.Tick(w.now.Now()))
	w.schedule(t, r)
}

// schedule schedules the next tick of a host, unless an earlier one is scheduled.
func (w *fleet) schedule(t *testing.T, r *simHost) {
	at := max(r.list.Next(), w.now.Now()+1)
	if r.nextTickAt > w.now.Now() && r.nextTickAt <= at {
		return
	}
	r.nextTickAt = at
	w.now.At(at, func() {
		if r.nextTickAt == at {
			w.tick(t, r)
		}
	})
}

// send measures packets, loses some and delivers the others after a delay of 1 to 24 ms.
func (w *fleet) send(t *testing.T, packets []Packet) {
	for _, p := range packets {
		if w.packets++; w.packets%w.sampleEvery == 0 {
			body, err := Encode(p)
			assert.NilError(t, err)
			const headers = 28 // of IP and UDP
			w.bytes += (len(body) + headers) * w.sampleEvery
		}
		if w.rand.Float64() < w.lossRatio || w.cut != nil && w.cut(p.Sender.Host.GossipAddress, p.To) {
			continue
		}
		w.now.After(1+clock.Milli(w.rand.IntN(24)), func() { w.deliver(t, p) })
	}
}

func (w *fleet) deliver(t *testing.T, p Packet) {
	r := w.byName[p.To]
	switch {
	case r == nil || r.dead:
	case r.stopped:
		r.unread = append(r.unread, p)
	default:
		w.send(t, r.list.Receive(w.now.Now(), p))
		w.schedule(t, r)
	}
}

// stop stops a host for a span; it then reads the packets sent meanwhile.
func (w *fleet) stop(t *testing.T, r *simHost, span clock.Milli) {
	r.stopped = true
	w.now.After(span, func() {
		r.stopped = false
		w.tick(t, r)
		for _, p := range r.unread {
			w.deliver(t, p)
		}
		r.unread = nil
	})
}

func (w *fleet) run(span clock.Milli) { w.now.Run(w.now.Now() + span) }

// running lists the hosts that are not dead.
func (w *fleet) running() []*simHost {
	var list []*simHost
	for _, r := range w.hosts {
		if !r.dead {
			list = append(list, r)
		}
	}
	return list
}

// minKnown returns the smallest number of other hosts in any list.
func (w *fleet) minKnown() int {
	fewest := len(w.hosts)
	for _, r := range w.running() {
		fewest = min(fewest, len(r.list.ring))
	}
	return fewest
}

// knownPairs returns the number of pairs of a host and another host in its list.
func (w *fleet) knownPairs() int {
	n := 0
	for _, r := range w.running() {
		n += len(r.list.ring)
	}
	return n
}
