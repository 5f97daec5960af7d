// Package fleet simulates in virtual time how configurations propagate to many
// hosts, with the engine that the programs run. It measures reads of the
// platform, bytes per host, and the time until all hosts have a version.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
	"dandelionstile/share/syncer"
	"dandelionstile/share/topo"
)

// Sizes of messages on a link, in bytes, including framing.
const (
	heartbeatBytes = 90
	pingBytes      = 64 // a ping; its reply has the same size
	stampBytes     = 40
	headerBytes    = 65
	// compressionRatio is how much smaller a part is on a link;
	// slope.CompressedSize measures it on files as operators write them.
	compressionRatio = 8
)

// Intervals and delays of the fake links and platform.
const (
	tickInterval      = 250 * clock.Milli(1)
	heartbeatInterval = 2 * clock.Second
	readLatency       = 5 * clock.Milli(1)
	watchTimeout      = 30 * clock.Second
	linkTimeout       = 2 * clock.Second // until a silent link is closed
)

// Fleet is one simulation run. Hosts to Seed are set before Start.
type Fleet struct {
	Hosts   int
	Domains int
	// Parts is the number of files of the configuration, and PartBytes the size
	// of each.
	Parts     int
	PartBytes int
	Seed      uint64

	Clock  clock.Virtual
	Random *rand.Rand
	Nodes  []*Node
	// Reads counts the reads of the platform; a watch counts as one.
	Reads int
	// PlatformDown makes reads fail. PlatformStale makes them return the first
	// version.
	PlatformDown  bool
	PlatformStale bool
	// Regressions lists the cases in which a host's version decreased.
	Regressions []string

	config         *syncer.Set
	firstConfig    *syncer.Set
	hostSets       map[string]*syncer.Set
	pendingWatches []pendingWatch
	partitions     map[[2]string]bool // pairs of failure domains, in both orders
	changedParts   int                // parts that the latest version changed
}

// pendingWatch is a watch that waits for a version of its key other than after. done
// becomes true once it has been answered or has timed out.
type pendingWatch struct {
	node  *Node
	after uint64
	key   string
	done  *bool
}

// Node is one host.
type Node struct {
	fleet  *Fleet
	Name   string
	Domain string
	Engine *syncer.Engine
	links  map[string]bool // names of the peers
	// Bytes counts the bytes sent and received.
	Bytes int
	Down  bool
	// Paused makes the host put off what it would run until Resume.
	Paused bool
	// Isolated cuts the host off from the platform.
	Isolated  bool
	backlog   []func()     // what the host runs when it resumes
	inForce   syncer.Stamp // the version of the configuration that is in force
	adoptedAt map[uint64]clock.Milli
}

// configKey is the key of the configuration. The other keys hold host lists.
const configKey = "config"

// Start builds the hosts with empty state and schedules their timers.
func (f *Fleet) Start() {
	f.Random = rand.New(rand.NewPCG(f.Seed, 0xf1ee7))
	f.partitions = map[[2]string]bool{}
	f.hostSets = map[string]*syncer.Set{}
	f.config = f.makeConfig(1)
	f.firstConfig = f.config
	var list []topo.Host
	for i := range f.Hosts {
		list = append(list, topo.Host{Name: fmt.Sprintf("h%04d", i), Domain: fmt.Sprintf("d%02d", i%f.Domains)})
	}
	for d := range f.Domains {
		domain := fmt.Sprintf("d%02d", d)
		var items []syncer.Item
		for _, h := range list {
			if h.Domain == domain {
				items = append(items, syncer.Item{Name: h.Name, Body: []byte(h.Name + h.Domain + "127.0.0.1:7001 127.0.0.1:7002")})
			}
		}
		f.hostSets["hosts/"+domain] = syncer.NewSet(1, items)
	}
	for _, h := range list {
		n := &Node{fleet: f, Name: h.Name, Domain: h.Domain, links: map[string]bool{}, adoptedAt: map[uint64]clock.Milli{}}
		n.boot(list)
		f.Nodes = append(f.Nodes, n)
	}
	f.link(list)
	for _, n := range f.Nodes {
		f.startTimers(n)
	}
}

// boot gives the host an engine with empty state. The hosts of a failure domain
// are ranked by hash, and the first in rank watch the platform.
func (n *Node) boot(list []topo.Host) {
	n.Engine = &syncer.Engine{WatchKeys: []string{configKey, "hosts/" + n.Domain}, Rank: -1} // the rank is set below
	n.inForce = syncer.Stamp{}
	var domain []topo.Host
	for _, h := range list {
		if h.Domain == n.Domain {
			domain = append(domain, h)
		}
	}
	for i, h := range assign.Owners(domain, n.Domain, "watch", len(domain)) {
		if h.Name == n.Name {
			n.Engine.Rank = i
		}
	}
}

// link links each host, in both directions, to the hosts that assign.Neighbors
// selects for its aggregator. In the simulation a host's name is also the link address
// of its aggregator.
func (f *Fleet) link(list []topo.Host) {
	for i := range list {
		list[i].Aggregator = list[i].Name
	}
	empty := &topo.Config{}
	for _, n := range f.Nodes {
		// The numbers of links are those of aggregator/core.
		network := assign.Network{Self: n.Name, Domain: n.Domain, FullMeshMaxHosts: 16, LocalLinks: 3, RemoteLinks: 2}
		for _, peer := range assign.Neighbors(network, empty, list) {
			if peer != n.Name {
				n.links[peer] = true
				f.Node(peer).links[n.Name] = true
			}
		}
	}
}

// Node returns the host with a name.
func (f *Fleet) Node(name string) *Node {
	i := sort.Search(len(f.Nodes), func(i int) bool { return f.Nodes[i].Name >= name })
	return f.Nodes[i]
}

// makeConfig returns a configuration whose parts contain only zeros.
func (f *Fleet) makeConfig(version uint64) *syncer.Set {
	items := make([]syncer.Item, f.Parts)
	for i := range items {
		items[i] = syncer.Item{Name: fmt.Sprintf("p%04d", i), Body: make([]byte, f.PartBytes)}
	}
	return syncer.NewSet(version, items)
}

// startTimers schedules a host's ticks and heartbeats at a random phase.
func (f *Fleet) startTimers(n *Node) {
	phase := clock.Milli(f.Random.IntN(int(heartbeatInterval)))
	var tick, heartbeat func()
	tick = func() {
		n.do(func() { n.apply(n.Engine.Tick(f.Clock.Now())) })
		f.Clock.After(tickInterval, tick)
	}
	heartbeat = func() {
		n.do(n.heartbeat)
		f.Clock.After(heartbeatInterval, heartbeat)
	}
	f.Clock.After(phase%tickInterval, tick)
	f.Clock.After(phase, heartbeat)
}

// do runs f on the host: now, after the resume if the host is paused, or never if
// it is down.
func (n *Node) do(f func()) {
	switch {
	case n.Down: // f is lost
	case n.Paused:
		n.backlog = append(n.backlog, f)
	default:
		f()
	}
}

// Resume continues a paused host and runs its backlog.
func (n *Node) Resume() {
	n.Paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		n.do(f)
	}
}

// Restart restarts a host with empty state. The peers' engines remove the host; the links
// of the simulation stay open.
func (n *Node) Restart() {
	var list []topo.Host
	for _, o := range n.fleet.Nodes {
		list = append(list, topo.Host{Name: o.Name, Domain: o.Domain})
	}
	n.boot(list)
	n.Down = false
	for peer := range n.links {
		n.fleet.Node(peer).do(func() { n.fleet.Node(peer).apply(n.fleet.Node(peer).Engine.RemovePeer(n.fleet.Clock.Now(), n.Name)) })
	}
}

// peers returns the names of the peers, in order, so that runs are reproducible.
func (n *Node) peers() []string {
	names := make([]string, 0, len(n.links))
	for p := range n.links {
		names = append(names, p)
	}
	slices.Sort(names)
	return names
}

// heartbeat sends a heartbeat and a ping to all peers.
func (n *Node) heartbeat() {
	now := n.fleet.Clock.Now()
	platformAge, platformAgeKnown := n.Engine.PlatformAge(now)
	digest := n.Engine.Digest()
	for _, p := range n.peers() {
		n.send(p, heartbeatBytes+pingBytes, func(to *Node) {
			to.apply(to.Engine.HandleHeartbeat(n.fleet.Clock.Now(), n.Name, digest, platformAge, platformAgeKnown))
		})
	}
}

// SetPartitioned partitions two failure domains from each other, or ends the
// partition. The hosts notice a partition after linkTimeout.
func (f *Fleet) SetPartitioned(a, b string, partitioned bool) {
	f.partitions[[2]string{a, b}], f.partitions[[2]string{b, a}] = partitioned, partitioned
	f.Clock.After(linkTimeout, func() {
		for _, n := range f.Nodes {
			for _, p := range n.peers() {
				if f.partitions[[2]string{n.Domain, f.Node(p).Domain}] {
					n.do(func() { n.apply(n.Engine.RemovePeer(f.Clock.Now(), p)) })
				}
			}
		}
	})
}

// send sends a message of a size to a peer, which handles it after a delay that is
// partly random, so that messages may overtake each other. A message to a host that
// is partitioned or down is lost.
func (n *Node) send(peer string, size int, handle func(to *Node)) {
	to := n.fleet.Node(peer)
	n.Bytes += size
	if n.fleet.partitions[[2]string{n.Domain, to.Domain}] || to.Down {
		return
	}
	delay := clock.Milli(1)
	if n.Domain != to.Domain {
		delay = 20 + clock.Milli(n.fleet.Random.IntN(20))
	}
	n.fleet.Clock.After(delay, func() {
		to.Bytes += size
		to.do(func() { handle(to) })
	})
}

// apply executes the actions of the host's engine.
func (n *Node) apply(actions []syncer.Action) {
	f := n.fleet
	for _, a := range actions {
		switch a := a.(type) {
		case syncer.SendPull:
			n.send(a.Peer, stampBytes, func(to *Node) { to.apply(to.Engine.HandlePull(f.Clock.Now(), n.Name, a.Key, a.Have)) })
		case syncer.SendDelta:
			n.send(a.Peer, a.Delta.Size()/compressionRatio+headerBytes, func(to *Node) { to.apply(to.Engine.HandleDelta(f.Clock.Now(), n.Name, a.Delta)) })
		case syncer.SendStamps:
			n.send(a.Peer, headerBytes+stampBytes*len(a.Stamps), func(to *Node) { to.apply(to.Engine.HandleStamps(f.Clock.Now(), n.Name, a.Stamps)) })
		case syncer.ReadPlatform:
			n.readPlatform(a)
		case syncer.Adopt:
			n.adopt(a)
		case syncer.Reject: // the previous version stays in force
		}
	}
}

// adopt records the version of the configuration that is now in force, and a
// regression if it is lower than the previous one.
func (n *Node) adopt(a syncer.Adopt) {
	if a.Key != configKey {
		return
	}
	if a.Stamp.Less(n.inForce) {
		n.fleet.Regressions = append(n.fleet.Regressions, fmt.Sprintf("%s from %v to %v", n.Name, n.inForce, a.Stamp))
	}
	n.inForce = a.Stamp
	n.adoptedAt[a.Stamp.Version] = n.fleet.Clock.Now()
}

// readPlatform executes a read of the fake platform. A watch of the version that the
// platform has is answered by the next version, or by an empty result after watchTimeout;
// any other read is answered after readLatency. All reads fail while the platform is down
// or the host is isolated from it.
func (n *Node) readPlatform(a syncer.ReadPlatform) {
	f := n.fleet
	f.Reads++
	if n.Isolated || f.PlatformDown {
		f.Clock.After(readLatency, func() {
			n.do(func() { n.apply(n.Engine.HandleRead(f.Clock.Now(), syncer.ReadResult{Key: a.Key, Err: errDown})) })
		})
		return
	}
	set := f.platformValue(a.Key)
	if a.Watch && set.Version == a.After {
		done := false
		f.pendingWatches = append(f.pendingWatches, pendingWatch{n, a.After, a.Key, &done})
		f.Clock.After(watchTimeout, func() {
			if !done {
				done = true
				n.do(func() { n.apply(n.Engine.HandleRead(f.Clock.Now(), syncer.ReadResult{Key: a.Key})) })
			}
		})
		return
	}
	f.answerRead(n, a.Key, set)
}

// platformValue returns what the platform returns for a key.
func (f *Fleet) platformValue(key string) *syncer.Set {
	if key == configKey {
		if f.PlatformStale {
			return f.firstConfig
		}
		return f.config
	}
	return f.hostSets[key]
}

// answerRead answers a read. A host that has a configuration then reads the changed
// parts, which counts as one read each and at least as one.
func (f *Fleet) answerRead(n *Node, key string, set *syncer.Set) {
	if key == configKey && n.Engine.Set(configKey) != nil {
		f.Reads += max(1, f.changedParts)
	}
	f.Clock.After(readLatency, func() {
		n.do(func() { n.apply(n.Engine.HandleRead(f.Clock.Now(), syncer.ReadResult{Key: key, Set: set})) })
	})
}

// Publish changes one part of the configuration, answers the watches of the
// configuration and returns the new version.
func (f *Fleet) Publish() uint64 {
	items := f.config.Sorted()
	i := f.Random.IntN(len(items))
	body := append([]byte(nil), items[i].Body...)
	body[f.Random.IntN(len(body))]++
	items[i].Body = body
	f.config = syncer.NewSet(f.config.Version+1, items)
	f.changedParts = 1
	watches := f.pendingWatches
	f.pendingWatches = nil
	for _, w := range watches {
		if *w.done {
			continue
		}
		if w.key != configKey || w.node.Isolated {
			f.pendingWatches = append(f.pendingWatches, w)
			continue
		}
		*w.done = true
		f.answerRead(w.node, w.key, f.config)
	}
	return f.config.Version
}

// AllHave reports whether every host that is neither down nor paused has a version or a
// later one.
func (f *Fleet) AllHave(version uint64) bool {
	for _, n := range f.Nodes {
		if !n.Down && !n.Paused && n.Engine.Stamp(configKey).Version < version {
			return false
		}
	}
	return true
}

// RunUntil runs until a condition holds, which it checks every 5 ms, or for the limit,
// and returns the elapsed time.
func (f *Fleet) RunUntil(limit clock.Milli, cond func() bool) clock.Milli {
	begin := f.Clock.Now()
	for f.Clock.Now()-begin < limit {
		if cond() {
			break
		}
		f.Clock.Run(f.Clock.Now() + 5)
	}
	return f.Clock.Now() - begin
}
