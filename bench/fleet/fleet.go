// Package fleet spreads configurations over many hosts in virtual time, with
// the engine that the programs run, and counts what it costs: reads of the
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

// Sizes of messages on a link, in bytes, with framing.
const (
	beatBytes   = 90
	pingBytes   = 64 // and as much for its answer
	stampBytes  = 40
	headerBytes = 65
	// packing is how much smaller a part is on a link; slope.Packing measures
	// it on files as operators write them.
	packing = 8
)

// Timing of the fake links and platform.
const (
	tickEvery = 250 * clock.Milli(1)
	beatEvery = 2 * clock.Second
	readTime  = 5 * clock.Milli(1)
	watchTime = 30 * clock.Second
	linkLost  = 2 * clock.Second // until a silent link is given up
)

// Fleet is a run. Fields above the line are set before Start.
type Fleet struct {
	Hosts   int
	Domains int
	// Parts is how many files the configuration has, and PartBytes how large
	// each is.
	Parts     int
	PartBytes int
	Seed      uint64

	Clock  clock.Virtual
	Random *rand.Rand
	Nodes  []*Node
	// Reads counts the platform's reads, a watch as one.
	Reads int
	// Down and Stale make the platform fail, or answer with the first version.
	Down  bool
	Stale bool
	// Backwards lists every time that a host's version went back.
	Backwards []string

	config   *syncer.Set
	first    *syncer.Set
	hostSets map[string]*syncer.Set
	waiting  []waiting
	cut      map[[2]string]bool
	changed  int
}

type waiting struct {
	node  *Node
	after uint64
	key   string
	done  *bool
}

// Node is one host.
type Node struct {
	f      *Fleet
	Name   string
	Domain string
	Engine *syncer.Engine
	links  map[string]bool
	// Bytes is what it sent and received.
	Bytes  int
	Down   bool
	Frozen bool
	// Cut off from the platform.
	Isolated bool
	backlog  []func()
	highest  syncer.Stamp
	inForce  map[uint64]clock.Milli
}

// Key of the configuration.
const configKey = "config"

// Start builds the hosts, all with nothing, and lets time begin.
func (f *Fleet) Start() {
	f.Random = rand.New(rand.NewPCG(f.Seed, 0xf1ee7))
	f.cut = map[[2]string]bool{}
	f.hostSets = map[string]*syncer.Set{}
	f.config = f.makeConfig(1)
	f.first = f.config
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
		n := &Node{f: f, Name: h.Name, Domain: h.Domain, links: map[string]bool{}, inForce: map[uint64]clock.Milli{}}
		n.boot(list)
		f.Nodes = append(f.Nodes, n)
	}
	f.link(list)
	for _, n := range f.Nodes {
		f.loop(n)
	}
}

func (n *Node) boot(list []topo.Host) {
	n.Engine = &syncer.Engine{WatchKeys: []string{configKey, "hosts/" + n.Domain}, Rank: -1}
	n.highest = syncer.Stamp{}
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

// link joins the hosts as the programs do.
func (f *Fleet) link(list []topo.Host) {
	for i := range list {
		list[i].Aggregator = list[i].Name
	}
	empty := &topo.Config{}
	for _, n := range f.Nodes {
		network := assign.Network{Self: n.Name, Domain: n.Domain, FullMeshMax: 16, LocalLinks: 3, RemoteLinks: 2}
		for _, peer := range assign.Neighbours(network, empty, list) {
			if peer != n.Name {
				n.links[peer] = true
				f.Node(peer).links[n.Name] = true
			}
		}
	}
}

// Node finds a host by name.
func (f *Fleet) Node(name string) *Node {
	i := sort.Search(len(f.Nodes), func(i int) bool { return f.Nodes[i].Name >= name })
	return f.Nodes[i]
}

func (f *Fleet) makeConfig(version uint64) *syncer.Set {
	items := make([]syncer.Item, f.Parts)
	for i := range items {
		items[i] = syncer.Item{Name: fmt.Sprintf("p%04d", i), Body: make([]byte, f.PartBytes)}
	}
	return syncer.NewSet(version, items)
}

// loop lets a host tick and beat, each at a phase of its own.
func (f *Fleet) loop(n *Node) {
	phase := clock.Milli(f.Random.IntN(int(beatEvery)))
	var tick, beat func()
	tick = func() {
		n.do(func() { n.act(n.Engine.Tick(f.Clock.Now())) })
		f.Clock.After(tickEvery, tick)
	}
	beat = func() {
		n.do(n.beat)
		f.Clock.After(beatEvery, beat)
	}
	f.Clock.After(phase%tickEvery, tick)
	f.Clock.After(phase, beat)
}

// do runs f on the host, later when it is frozen, never when it is down.
func (n *Node) do(f func()) {
	switch {
	case n.Down:
	case n.Frozen:
		n.backlog = append(n.backlog, f)
	default:
		f()
	}
}

// Thaw lets a frozen host go on with what has piled up.
func (n *Node) Thaw() {
	n.Frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		n.do(f)
	}
}

// Restart starts a host anew, with nothing.
func (n *Node) Restart() {
	var list []topo.Host
	for _, o := range n.f.Nodes {
		list = append(list, topo.Host{Name: o.Name, Domain: o.Domain})
	}
	n.boot(list)
	n.Down = false
	for peer := range n.links {
		n.f.Node(peer).do(func() { n.f.Node(peer).act(n.f.Node(peer).Engine.RemovePeer(n.f.Clock.Now(), n.Name)) })
	}
}

func (n *Node) peers() []string {
	names := make([]string, 0, len(n.links))
	for p := range n.links {
		names = append(names, p)
	}
	slices.Sort(names)
	return names
}

func (n *Node) beat() {
	now := n.f.Clock.Now()
	age, heard := n.Engine.PlatformAge(now)
	digest := n.Engine.Digest()
	for _, p := range n.peers() {
		n.send(p, beatBytes+pingBytes, func(to *Node) {
			to.act(to.Engine.HandleHeartbeat(n.f.Clock.Now(), n.Name, digest, age, heard))
		})
	}
}

// CutDomains cuts two failure domains off from each other, or heals them.
func (f *Fleet) CutDomains(a, b string, on bool) {
	f.cut[[2]string{a, b}], f.cut[[2]string{b, a}] = on, on
	f.Clock.After(linkLost, func() {
		for _, n := range f.Nodes {
			for _, p := range n.peers() {
				if f.cut[[2]string{n.Domain, f.Node(p).Domain}] {
					n.do(func() { n.act(n.Engine.RemovePeer(f.Clock.Now(), p)) })
				}
			}
		}
	})
}

// send delivers to a peer after a delay, in the order of sending on average.
func (n *Node) send(peer string, bytes int, f func(to *Node)) {
	to := n.f.Node(peer)
	n.Bytes += bytes
	if n.f.cut[[2]string{n.Domain, to.Domain}] || to.Down {
		return
	}
	delay := clock.Milli(1)
	if n.Domain != to.Domain {
		delay = 20 + clock.Milli(n.f.Random.IntN(20))
	}
	n.f.Clock.After(delay, func() {
		to.Bytes += bytes
		to.do(func() { f(to) })
	})
}

func (n *Node) act(actions []syncer.Action) {
	f := n.f
	for _, a := range actions {
		switch a := a.(type) {
		case syncer.SendPull:
			n.send(a.Peer, stampBytes, func(to *Node) { to.act(to.Engine.HandlePull(f.Clock.Now(), n.Name, a.Key, a.Have)) })
		case syncer.SendDelta:
			n.send(a.Peer, a.Delta.Size()/packing+headerBytes, func(to *Node) { to.act(to.Engine.HandleDelta(f.Clock.Now(), n.Name, a.Delta)) })
		case syncer.SendStamps:
			n.send(a.Peer, headerBytes+stampBytes*len(a.Stamps), func(to *Node) { to.act(to.Engine.HandleStamps(f.Clock.Now(), n.Name, a.Stamps)) })
		case syncer.ReadPlatform:
			n.read(a)
		case syncer.Adopt:
			n.adopt(a)
		case syncer.Reject:
		}
	}
}

func (n *Node) adopt(a syncer.Adopt) {
	if a.Key != configKey {
		return
	}
	if a.Stamp.Less(n.highest) {
		n.f.Backwards = append(n.f.Backwards, fmt.Sprintf("%s from %v to %v", n.Name, n.highest, a.Stamp))
	}
	n.highest = a.Stamp
	n.inForce[a.Stamp.Version] = n.f.Clock.Now()
}

// read asks the fake platform. A part that has changed is one more read.
func (n *Node) read(a syncer.ReadPlatform) {
	f := n.f
	f.Reads++
	if n.Isolated || f.Down {
		f.Clock.After(readTime, func() {
			n.do(func() { n.act(n.Engine.HandleRead(f.Clock.Now(), syncer.ReadResult{Key: a.Key, Err: errDown})) })
		})
		return
	}
	set := f.value(a.Key)
	if a.Watch && set.Version == a.After {
		done := false
		f.waiting = append(f.waiting, waiting{n, a.After, a.Key, &done})
		f.Clock.After(watchTime, func() {
			if !done {
				done = true
				n.do(func() { n.act(n.Engine.HandleRead(f.Clock.Now(), syncer.ReadResult{Key: a.Key})) })
			}
		})
		return
	}
	f.answer(n, a.Key, set)
}

func (f *Fleet) value(key string) *syncer.Set {
	if key == configKey {
		if f.Stale {
			return f.first
		}
		return f.config
	}
	return f.hostSets[key]
}

func (f *Fleet) answer(n *Node, key string, set *syncer.Set) {
	if key == configKey && n.Engine.Set(configKey) != nil {
		f.Reads += max(1, f.changed) // the changed parts
	}
	f.Clock.After(readTime, func() {
		n.do(func() { n.act(n.Engine.HandleRead(f.Clock.Now(), syncer.ReadResult{Key: key, Set: set})) })
	})
}

// Publish changes one part and raises the version.
func (f *Fleet) Publish() uint64 {
	items := f.config.Sorted()
	i := f.Random.IntN(len(items))
	body := append([]byte(nil), items[i].Body...)
	body[f.Random.IntN(len(body))]++
	items[i].Body = body
	f.config = syncer.NewSet(f.config.Version+1, items)
	f.changed = 1
	woken := f.waiting
	f.waiting = nil
	for _, w := range woken {
		if *w.done {
			continue
		}
		if w.key != configKey || w.node.Isolated {
			f.waiting = append(f.waiting, w)
			continue
		}
		*w.done = true
		f.answer(w.node, w.key, f.config)
	}
	return f.config.Version
}

// AllHave tells whether every host that is up has a version, or a later one.
func (f *Fleet) AllHave(version uint64) bool {
	for _, n := range f.Nodes {
		if !n.Down && !n.Frozen && n.Engine.Stamp(configKey).Version < version {
			return false
		}
	}
	return true
}

// Until runs until a condition holds, and returns how long that took, or the
// given span when it never did.
func (f *Fleet) Until(most clock.Milli, cond func() bool) clock.Milli {
	begin := f.Clock.Now()
	for f.Clock.Now()-begin < most {
		if cond() {
			break
		}
		f.Clock.Run(f.Clock.Now() + 5)
	}
	return f.Clock.Now() - begin
}
