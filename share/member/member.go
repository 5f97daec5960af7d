// Package member keeps the list of hosts that are up. Each host probes a few
// others in turn, directly and then through third hosts; one that does not
// answer is suspected, may refute that with a higher incarnation, and is dropped
// otherwise. Changes travel with all packets and are pushed to random hosts while
// they are new; digests of the whole list, compared now and then, mend what was
// lost. Nothing is agreed on: each list is its host's own belief, used to share
// limits out and to find helpers.
//
// The load pattern: hundreds to thousands of hosts, lost packets, hosts that stand
// still for seconds, and many that end at the same time. What a host sends does
// not grow with the number of hosts.
//
// The package decides only; its caller owns the socket.
package member

import (
	"math/rand/v2"
	"slices"
	"strings"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/rank"
	"dandelionstile/share/report"
)

// Host is one process of the system.
type Host struct {
	// GossipAddress takes packets, by UDP, and identifies the host. Relay takes
	// forwarded requests, by TCP.
	GossipAddress, ForwardAddress string
	Domain                        string
	// Capacity is the processor that it may use, in thousandths of a core; 0 if
	// it is not known.
	Capacity uint32
	// Started is when the process started, in Unix ms by its own clock.
	Started uint64
	// Incarnation is raised by the host itself to refute others' beliefs of it.
	Incarnation uint64
}

// State is what is believed of a host. Of two beliefs about one incarnation the
// higher replaces the lower.
type State uint8

// States of hosts.
const (
	Alive State = iota
	// Suspect hosts have not answered and are still counted on.
	Suspect
	Dead
	// Left hosts have said themselves that they leave.
	Left
)

// Update is one belief about a host.
type Update struct {
	Host  Host
	State State
}

// supersedes tells whether a belief replaces another about the same address.
func (u Update) supersedes(o Update) bool {
	if u.Host.Started != o.Host.Started {
		return u.Host.Started > o.Host.Started
	}
	if u.Host.Incarnation != o.Host.Incarnation {
		return u.Host.Incarnation > o.Host.Incarnation
	}
	return u.State > o.State
}

// Kind is what a packet is for.
type Kind uint8

// Kinds of packets.
const (
	// Publish carries updates only.
	Publish Kind = iota
	// Ping asks for an Ack with the same sequence.
	Ping
	Ack
	// PingReq asks the receiver to probe Target and to pass its Ack on.
	PingReq
	// Sync carries a digest; the receiver answers with Diff, the hosts of buckets
	// that differ.
	Sync
	Diff
)

// Packet is one datagram.
type Packet struct {
	To       string
	Kind     Kind
	Sequence uint64
	Sender   Update
	// Target is the host to probe, of PingFor.
	Target  string
	Updates []Update
	// Digest is a hash for each bucket of the sender's list, of Sync.
	Digest []uint32
	// Checksum is a hash of the sender's whole list, of Ack.
	Checksum uint32
	// Crashes and Leafs pass through: they are the caller's.
	Crashes []crash.Report
	Leaves  []report.Leaf
}

// Change is a host that has come or gone, for the log.
type Change struct {
	Host  Host
	State State
}

const (
	// forgetAfter is how long a host that is gone is remembered, so that an old
	// update cannot bring it back and a healed network is noticed.
	forgetAfter = 10 * clock.Minute
	// mostChanges bounds the changes kept for the log.
	mostChanges = 64
)

// List is one host's belief about all hosts. Self and Seeds are set before first
// use; Seeds may be replaced at any time.
type List struct {
	Self  Host
	Seeds []string

	started bool
	rand    *rand.Rand
	known   map[string]*entry
	// ring holds the others that count as up, in the order of their hashes, and
	// near those of them in the own failure domain.
	ring, near []*entry
	// gone holds those that do not, oldest first.
	gone    []*entry
	digest  [buckets]uint32
	queue   []*entry
	self    entry
	version uint64
	changes []Change
	missed  int

	probes   map[uint64]*probe
	proxied  map[uint64]proxied
	sequence uint64
	suspects []*entry
	dueAt    clock.Milli
	probeAt  clock.Milli
	gossipAt clock.Milli
	syncAt   clock.Milli
	// syncPeriod is the pause that followed the last sync.
	syncPeriod clock.Milli
	syncedAt   clock.Milli
	// syncWith is a host whose list differs.
	syncWith string
	syncs    int
	// learned counts the updates that the last sync has brought.
	learned  int
	servedAt clock.Milli
	served   int
}

// entry is one host of the list.
type entry struct {
	Update
	hash uint64
	// goneAt is when it was dropped, and suspectedAt when it was suspected.
	goneAt, suspectedAt clock.Milli
	// sends is how many more packets publish it.
	sends  int
	queued bool
}

// up tells whether the host counts as there.
func (e *entry) up() bool { return e.State == Alive || e.State == Suspect }

func (l *List) start(now clock.Milli) {
	if l.started {
		return
	}
	l.started = true
	l.known = map[string]*entry{}
	l.probes = map[uint64]*probe{}
	l.proxied = map[uint64]proxied{}
	l.self = entry{Update: Update{Host: l.Self}, hash: rank.Hash(l.Self.GossipAddress)}
	// Seeded by the address: repeatable, and different between hosts.
	l.rand = rand.New(rand.NewPCG(l.self.hash, l.Self.Started))
	// The phase of the probes differs between hosts.
	l.probeAt = now + clock.Milli(l.rand.Int64N(int64(probePeriod)))
	l.syncAt = now
	l.publishSelf()
}

// Alive lists the other hosts that count as up, by address. Version changes
// whenever the list does.
func (l *List) Alive() []Host {
	list := make([]Host, len(l.ring))
	for i, e := range l.ring {
		list[i] = e.Host
	}
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(a.GossipAddress, b.GossipAddress) })
	return list
}

// Suspected tells whether a host that counts as up does not answer.
func (l *List) Suspected(gossip string) bool {
	e := l.known[gossip]
	return e != nil && e.State == Suspect
}

// Version counts the changes of Alive and Suspected.
func (l *List) Version() uint64 { return l.version }

// Changes returns the hosts that have come or gone since the last call, and how
// many more there were.
func (l *List) Changes() (list []Change, more int) {
	list, more = l.changes, l.missed
	l.changes, l.missed = nil, 0
	return list, more
}

// apply takes an update from another host and says whether it was news.
func (l *List) apply(now clock.Milli, u Update) bool {
	switch u.Host.GossipAddress {
	case "":
		return false
	case l.Self.GossipAddress:
		l.refute(u)
		return false
	}
	e := l.known[u.Host.GossipAddress]
	if e == nil {
		return l.add(now, u)
	}
	if !u.supersedes(e.Update) {
		return false
	}
	l.set(now, e, u)
	return true
}

// add takes a host that was not known; one that is gone is kept only so that no
// older update brings it back.
func (l *List) add(now clock.Milli, u Update) bool {
	e := &entry{Update: u, hash: rank.Hash(u.Host.GossipAddress)}
	l.known[u.Host.GossipAddress] = e
	if !e.up() {
		e.goneAt = now
		l.gone = append(l.gone, e)
		return false
	}
	l.insert(e)
	l.suspectFrom(now, e)
	l.changed(e)
	return true
}

// spread takes an update and publishes it if it was news.
func (l *List) spread(now clock.Milli, u Update) {
	if l.apply(now, u) {
		l.publish(l.known[u.Host.GossipAddress])
	}
}

// set replaces what is believed of a host.
func (l *List) set(now clock.Milli, e *entry, u Update) {
	former := *e
	if former.up() {
		l.remove(e)
	} else {
		l.gone = slices.DeleteFunc(l.gone, func(o *entry) bool { return o == e })
	}
	e.Update = u
	if e.up() {
		l.insert(e)
		l.suspectFrom(now, e)
	} else {
		e.goneAt = now
		l.gone = append(l.gone, e)
	}
	if former.up() != e.up() || former.Host.Started != e.Host.Started || former.Host.ForwardAddress != e.Host.ForwardAddress {
		l.changed(e)
	} else if former.State != e.State {
		l.version++
	}
}

// changed records a change of the list.
func (l *List) changed(e *entry) {
	l.version++
	if len(l.changes) >= mostChanges {
		l.missed++
		return
	}
	l.changes = append(l.changes, Change{Host: e.Host, State: e.State})
}

func (l *List) insert(e *entry) {
	l.toggle(e)
	at, _ := l.position(e)
	l.ring = slices.Insert(l.ring, at, e)
	if e.Host.Domain == l.Self.Domain {
		l.near = append(l.near, e)
	}
}

func (l *List) remove(e *entry) {
	l.toggle(e)
	if at, ok := l.position(e); ok {
		l.ring = slices.Delete(l.ring, at, at+1)
	}
	l.near = slices.DeleteFunc(l.near, func(o *entry) bool { return o == e })
}

// position finds where a host stands on the ring, or would stand.
func (l *List) position(e *entry) (int, bool) {
	return slices.BinarySearchFunc(l.ring, e, func(a, b *entry) int {
		switch {
		case a.hash != b.hash && a.hash < b.hash:
			return -1
		case a.hash != b.hash:
			return 1
		}
		return strings.Compare(a.Host.GossipAddress, b.Host.GossipAddress)
	})
}

// forget drops hosts that have been gone for long.
func (l *List) forget(now clock.Milli) {
	for len(l.gone) > 0 && now-l.gone[0].goneAt > forgetAfter {
		delete(l.known, l.gone[0].Host.GossipAddress)
		l.gone = l.gone[1:]
	}
}
