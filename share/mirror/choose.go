package mirror

import (
	"slices"
	"sort"
	"strconv"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// Peer is another host that may be followed.
type Peer struct {
	Address string
	Region  string
}

// readers is how many hosts of a region read the store in calm times. The
// others fall back on the store by themselves, so that one is enough.
const readers = 1

// fallbacks is how many hosts of a region read the store as soon as what the reader
// has is too old. The others ask the first of these before: in a large region all
// would else read the store at once, each time it turns a reader away.
const fallbacks = 4

// chooser decides which source to read next: the store, or a host that does.
type chooser struct {
	self  Peer
	peers []Peer
	// bad is until when a source is passed over after it failed.
	bad map[string]clock.Milli
	// pause is how long it is passed over next time.
	pause map[string]clock.Milli
}

// theStore is the name of the store among the sources.
const theStore = ""

// Pauses after a source has failed or had nothing fresh, in ms. The store's
// grow less: it is the source of last resort.
const (
	pauseLeast clock.Milli = 500
	pauseMost              = 8 * clock.Second
	storeMost              = 800 * clock.Milli(1)
)

// sources lists where to read, best first: a reader reads the store; the
// others the readers of their region, and most of them the next host that reads
// the store; all of them, then, the store, and last any other host, which may
// reach the store when this one does not.
func (c *chooser) sources() []string {
	region := c.ranked(func(p Peer) bool { return p.Region == c.self.Region })
	var list []string
	for i, p := range region {
		if i >= readers {
			break
		}
		if p.Address == c.self.Address {
			list = append(list, theStore)
			break
		}
		list = append(list, p.Address)
	}
	if own := slices.IndexFunc(region, func(p Peer) bool { return p.Address == c.self.Address }); own >= fallbacks {
		list = append(list, region[readers].Address)
	}
	if len(list) == 0 || list[len(list)-1] != theStore {
		list = append(list, theStore)
	}
	for _, p := range c.ranked(func(p Peer) bool { return p.Address != c.self.Address }) {
		if !slices.Contains(list, p.Address) {
			list = append(list, p.Address)
		}
	}
	return list
}

// ranked orders this host and others by a hash of their addresses, the same on
// all hosts.
func (c *chooser) ranked(take func(Peer) bool) []Peer {
	var list []Peer
	for _, p := range append([]Peer{c.self}, c.peers...) {
		if take(p) {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := order(list[i].Address), order(list[j].Address)
		if a != b {
			return a < b
		}
		return list[i].Address < list[j].Address
	})
	return list
}

// order is a number that all hosts have for an address.
func order(address string) uint64 { return rank.Hash(address, strconv.Itoa(len(address))) }

// next is the best source that has not failed of late; when all have, the one
// that was passed over longest.
func (c *chooser) next(now clock.Milli) string {
	list := c.sources()
	best := list[0]
	for _, s := range list {
		if now >= c.bad[s] {
			return s
		}
		if c.bad[s] < c.bad[best] {
			best = s
		}
	}
	return best
}

// failed passes a source over for a while.
func (c *chooser) failed(now clock.Milli, source string) {
	if c.bad == nil {
		c.bad = map[string]clock.Milli{}
		c.pause = map[string]clock.Milli{}
	}
	most := pauseMost
	if source == theStore {
		most = storeMost
	}
	c.pause[source] = min(max(pauseLeast, 2*c.pause[source]), most)
	c.bad[source] = now + c.pause[source]
}

// worked forgets a source's failures.
func (c *chooser) worked(source string) {
	delete(c.bad, source)
	delete(c.pause, source)
}
