// Package member keeps a SWIM-like list of live hosts. Each host probes the next few
// on a ring of all hosts, directly and then through other hosts. A host that does not
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
	// Domain is the host's failure domain.
	Domain string
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

// supersedes reports whether an update replaces another one for the same address: by a
// later start, then by a higher incarnation, then by the higher state.
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
	// Crashes, Leaves and CrashDigest are the caller's payload.
	Crashes []crash.Report
	Leaves  []report.Leaf
	// CrashDigest is the digest of the sender's crash reports, as of crash.Digest; nil
	// from hosts of a version without it.
	CrashDigest []uint32
}

// Change is a host that was added, removed, restarted or moved to another forward
// address, for the log.
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
	// known holds all hosts of ring and removed by gossip address.
	known map[string]*entry
	// ring holds the other hosts that are up, in order of their hashes, and
	// sameDomain the ones in the own failure domain.
	ring, sameDomain []*entry
	// removed holds the hosts that are down or have left, oldest first.
	removed []*entry
	// digest holds a hash for each bucket of ring; fullDigest adds this host.
	digest [maxBuckets]uint32
	// queue holds the hosts whose updates go into the next packets.
	queue []*entry
	// self is the entry of this host. Self repeats its Host for callers.
	self    entry
	version uint64
	// changes holds the changes since the last call of Changes. Further ones are only
	// counted, in droppedChanges.
	changes        []Change
	droppedChanges int

	// probes holds the probes in progress, and proxiedProbes those on behalf of other
	// hosts, by sequence number.
	probes        map[uint64]*probe
	proxiedProbes map[uint64]proxiedProbe
	sequence      uint64
	suspects      []*entry
	// nextTickAt is when the next call of Tick is due, and probeAt, gossipAt and syncAt
	// when the next rounds of probes, gossip and digest comparisons are.
	nextTickAt clock.Milli
	probeAt    clock.Milli
	gossipAt   clock.Milli
	syncAt     clock.Milli
	// lastSyncInterval is the interval that followed the last sync.
	lastSyncInterval clock.Milli
	// syncedAt is when the last sync was sent.
	syncedAt clock.Milli
	// syncWith is a host whose list differs; empty if none.
	syncWith string
	// syncs counts the comparisons that this host has started.
	syncs int
	// learned counts the new hosts and states that answers have brought since the last
	// sync.
	learned int
	// syncsServed counts the answers to digests in the second from syncsServedAt.
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

// start prepares the list on first use.
func (l *List) start(now clock.Milli) {
	if l.started {
		return
	}
	l.started = true
	l.known = map[string]*entry{}
	l.probes = map[uint64]*probe{}
	l.proxiedProbes = map[uint64]proxiedProbe{}
	l.self = entry{Update: Update{Host: l.Self}, hash: rank.Hash(l.Self.GossipAddress)}
	// The seed is derived from the address and the start time: reproducible and different
	// on each host.
	l.rand = rand.New(rand.NewPCG(l.self.hash, l.Self.Started))
	// A random phase spreads the probes of all hosts over the period.
	l.probeAt = now + clock.Milli(l.rand.Int64N(int64(probeInterval)))
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

// Suspected reports whether the host with a gossip address does not reply to probes, but
// still counts as up.
func (l *List) Suspected(gossipAddress string) bool {
	e := l.known[gossipAddress]
	return e != nil && e.State == Suspect
}

// Version counts the changes of Alive and Suspected.
func (l *List) Version() uint64 { return l.version }

// Changes returns the changes since the last call, and the number of further ones that
// were not kept.
func (l *List) Changes() (list []Change, more int) {
	list, more = l.changes, l.droppedChanges
	l.changes, l.droppedChanges = nil, 0
	return list, more
}

// apply records an update from another host. It reports whether the update added a host
// that is up, or replaced the state of a known one. An update about this host itself is
// refuted if necessary; one that does not supersede the known state is ignored.
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

// add records an unknown host and reports whether it is up. A host that is not up is
// kept only to block older updates that would add it.
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
	l.recordChange(e)
	return true
}

// applyAndPublish records an update and publishes it if it changed the list.
func (l *List) applyAndPublish(now clock.Milli, u Update) {
	if l.apply(now, u) {
		l.publish(l.known[u.Host.GossipAddress])
	}
}

// replace replaces the state of a host and moves it between the hosts that are up and the
// removed ones. It records a change for the log if the host was added, removed, restarted or
// moved to another forward address.
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
		l.recordChange(e)
	} else if former.State != e.State {
		l.version++
	}
}

// recordChange counts a change and keeps it for the log, if there is capacity left.
func (l *List) recordChange(e *entry) {
	l.version++
	if len(l.changes) >= maxChanges {
		l.droppedChanges++
		return
	}
	l.changes = append(l.changes, Change{Host: e.Host, State: e.State})
}

// insert adds a host that is up to the digest, the ring and, if it is in the own failure
// domain, to sameDomain.
func (l *List) insert(e *entry) {
	l.toggleDigest(e)
	index, _ := l.position(e)
	l.ring = slices.Insert(l.ring, index, e)
	if e.Host.Domain == l.Self.Domain {
		l.sameDomain = append(l.sameDomain, e)
	}
}

// remove removes a host from the digest, the ring and sameDomain.
func (l *List) remove(e *entry) {
	l.toggleDigest(e)
	if index, ok := l.position(e); ok {
		l.ring = slices.Delete(l.ring, index, index+1)
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

// pruneRemoved deletes hosts that were removed longer than removedRetention ago.
func (l *List) pruneRemoved(now clock.Milli) {
	for len(l.removed) > 0 && now-l.removed[0].removedAt > removedRetention {
		delete(l.known, l.removed[0].Host.GossipAddress)
		l.removed = l.removed[1:]
	}
}
