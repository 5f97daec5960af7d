// Package member keeps a SWIM-like list of live hosts. Each host probes a few
// others in turn, directly and then through other hosts. A host that does not
// reply is suspected; unless it refutes the suspicion with a higher incarnation, it
// is removed. Every packet carries recent changes, and gossip sends them to random
// hosts. Periodic comparisons of digests repair lost updates. There is no
// consensus: each list is one host's own view, used to divide limits between hosts
// and to find hosts to forward to.
//
// It is designed for hundreds to thousands of hosts, packet loss, hosts that stall
// for seconds, and many hosts that stop at the same time. The traffic of a host
// does not grow with the number of hosts.
//
// The package holds only the protocol; its caller owns the socket.
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
	// GossipAddress receives packets over UDP and identifies the host.
	// ForwardAddress receives forwarded requests over TCP.
	GossipAddress, ForwardAddress string
	Domain                        string
	// Capacity is the available CPU in thousandths of a core; 0 if unknown.
	Capacity uint32
	// Started is when the process started, in Unix ms by its own clock.
	Started uint64
	// Incarnation is raised by the host itself to refute a suspicion.
	Incarnation uint64
}

// State is the state of a host in one list. For the same incarnation, the higher
// state takes precedence.
type State uint8

// States of hosts.
const (
	Alive State = iota
	// Suspect hosts have not replied; they still count as up.
	Suspect
	Dead
	// Left hosts have announced that they are leaving.
	Left
)

// Update is one report of a host's state.
type Update struct {
	Host  Host
	State State
}

// supersedes reports whether an update replaces another one for the same address.
func (u Update) supersedes(o Update) bool {
	if u.Host.Started != o.Host.Started {
		return u.Host.Started > o.Host.Started
	}
	if u.Host.Incarnation != o.Host.Incarnation {
		return u.Host.Incarnation > o.Host.Incarnation
	}
	return u.State > o.State
}

// Kind is the purpose of a packet.
type Kind uint8

// Kinds of packets.
const (
	// Publish carries only updates.
	Publish Kind = iota
	// Ping requests an Ack with the same sequence number.
	Ping
	Ack
	// PingReq asks the receiver to probe Target and to forward its Ack.
	PingReq
	// Sync carries a digest. The receiver replies with Diff, the hosts of the
	// differing buckets.
	Sync
	Diff
)

// Packet is one datagram.
type Packet struct {
	To       string
	Kind     Kind
	Sequence uint64
	Sender   Update
	// Target is the host to probe; set in PingReq.
	Target  string
	Updates []Update
	// Digest holds a hash for each bucket of the sender's list; set in Sync.
	Digest []uint32
	// Checksum is a hash of the sender's whole list; set in Ack.
	Checksum uint32
	// Crashes and Leaves are the caller's payload.
	Crashes []crash.Report
	Leaves  []report.Leaf
}

// Change is an added or removed host, for the log.
type Change struct {
	Host  Host
	State State
}

const (
	// removedRetention is how long a removed host is remembered, so that an old
	// update cannot re-add it and a healed partition is noticed.
	removedRetention = 10 * clock.Minute
	// maxChanges bounds the changes kept for the log.
	maxChanges = 64
)

// List is one host's view of all hosts. Self and Seeds are set before first use;
// Seeds may be replaced at any time.
type List struct {
	Self  Host
	Seeds []string

	started bool
	rand    *rand.Rand
	known   map[string]*entry
	// ring holds the other hosts that are up, in order of their hashes, and
	// sameDomain the ones in the own failure domain.
	ring, sameDomain []*entry
	// removed holds the hosts that are down or have left, oldest first.
	removed        []*entry
	digest         [maxBuckets]uint32
	queue          []*entry
	self           entry
	version        uint64
	changes        []Change
	droppedChanges int

	probes        map[uint64]*probe
	proxiedProbes map[uint64]proxiedProbe
	sequence      uint64
	suspects      []*entry
	nextTickAt    clock.Milli
	probeAt       clock.Milli
	gossipAt      clock.Milli
	syncAt        clock.Milli
	// syncPeriod is the interval that followed the last sync.
	syncPeriod clock.Milli
	syncedAt   clock.Milli
	// syncWith is a host whose list differs; empty if none.
	syncWith string
	syncs    int
	// learned counts the new hosts and states since the last sync.
	learned       int
	syncsServedAt clock.Milli
	syncsServed   int
}

// entry is one host of the list.
type entry struct {
	Update
	hash uint64
	// removedAt is when the host was removed, and suspectedAt when it was suspected.
	removedAt, suspectedAt clock.Milli
	// sendsLeft is how many more packets carry the update.
	sendsLeft int
	queued    bool
}

// up reports whether the host counts as up.
func (e *entry) up() bool { return e.State == Alive || e.State == Suspect }

func (l *List) start(now clock.Milli) {
	if l.started {
		return
	}
	l.started = true
	l.known = map[string]*entry{}
	l.probes = map[uint64]*probe{}
	l.proxiedProbes = map[uint64]proxiedProbe{}
	l.self = entry{Update: Update{Host: l.Self}, hash: rank.Hash(l.Self.GossipAddress)}
	// The seed is derived from the address: reproducible and different on each host.
	l.rand = rand.New(rand.NewPCG(l.self.hash, l.Self.Started))
	// A random phase spreads the probes of all hosts over the period.
	l.probeAt = now + clock.Milli(l.rand.Int64N(int64(probePeriod)))
	l.syncAt = now
	l.publishSelf()
}

// Alive lists the other hosts that are up, in order of address. Version changes
// whenever the list does.
func (l *List) Alive() []Host {
	list := make([]Host, len(l.ring))
	for i, e := range l.ring {
		list[i] = e.Host
	}
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(a.GossipAddress, b.GossipAddress) })
	return list
}

// Suspected reports whether a host that counts as up does not reply to probes.
func (l *List) Suspected(gossip string) bool {
	e := l.known[gossip]
	return e != nil && e.State == Suspect
}

// Version counts the changes of Alive and Suspected.
func (l *List) Version() uint64 { return l.version }

// Changes returns the hosts added or removed since the last call, and how many
// more were dropped from the list.
func (l *List) Changes() (list []Change, more int) {
	list, more = l.changes, l.droppedChanges
	l.changes, l.droppedChanges = nil, 0
	return list, more
}

// apply records an update from another host and reports whether it changed the list.
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
	l.replace(now, e, u)
	return true
}

// add records an unknown host. A removed one is kept only to block older updates
// that would re-add it.
func (l *List) add(now clock.Milli, u Update) bool {
	e := &entry{Update: u, hash: rank.Hash(u.Host.GossipAddress)}
	l.known[u.Host.GossipAddress] = e
	if !e.up() {
		e.removedAt = now
		l.removed = append(l.removed, e)
		return false
	}
	l.insert(e)
	l.startSuspicion(now, e)
	l.changed(e)
	return true
}

// applyAndPublish records an update and publishes it if it changed the list.
func (l *List) applyAndPublish(now clock.Milli, u Update) {
	if l.apply(now, u) {
		l.publish(l.known[u.Host.GossipAddress])
	}
}

// replace replaces the state of a host.
func (l *List) replace(now clock.Milli, e *entry, u Update) {
	former := *e
	if former.up() {
		l.remove(e)
	} else {
		l.removed = slices.DeleteFunc(l.removed, func(o *entry) bool { return o == e })
	}
	e.Update = u
	if e.up() {
		l.insert(e)
		l.startSuspicion(now, e)
	} else {
		e.removedAt = now
		l.removed = append(l.removed, e)
	}
	if former.up() != e.up() || former.Host.Started != e.Host.Started || former.Host.ForwardAddress != e.Host.ForwardAddress {
		l.changed(e)
	} else if former.State != e.State {
		l.version++
	}
}

// changed records a change for the log.
func (l *List) changed(e *entry) {
	l.version++
	if len(l.changes) >= maxChanges {
		l.droppedChanges++
		return
	}
	l.changes = append(l.changes, Change{Host: e.Host, State: e.State})
}

func (l *List) insert(e *entry) {
	l.toggleDigest(e)
	at, _ := l.position(e)
	l.ring = slices.Insert(l.ring, at, e)
	if e.Host.Domain == l.Self.Domain {
		l.sameDomain = append(l.sameDomain, e)
	}
}

func (l *List) remove(e *entry) {
	l.toggleDigest(e)
	if at, ok := l.position(e); ok {
		l.ring = slices.Delete(l.ring, at, at+1)
	}
	l.sameDomain = slices.DeleteFunc(l.sameDomain, func(o *entry) bool { return o == e })
}

// position returns a host's index on the ring, or where it would be inserted.
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

// pruneRemoved forgets hosts that were removed long ago.
func (l *List) pruneRemoved(now clock.Milli) {
	for len(l.removed) > 0 && now-l.removed[0].removedAt > removedRetention {
		delete(l.known, l.removed[0].Host.GossipAddress)
		l.removed = l.removed[1:]
	}
}
