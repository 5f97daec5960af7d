package mirror

import (
	"slices"
	"sort"
	"strconv"

	"dandelionstile/share/clock"
	"dandelionstile/share/rank"
)

// Peer is another host to read from.
type Peer struct {
	// Address is where the host serves its mirror.
	Address string
	Region  string
}

// readersPerRegion is how many hosts of a region read the store while it is
// healthy. One is enough, since the others fall back to the store by themselves.
const readersPerRegion = 1

// directFallbacks is how many hosts of a region read the store as soon as the
// reader's data is too old. The others try the first of these before the store:
// in a large region all of them would otherwise read the store at once, each time
// it rejects a reader.
const directFallbacks = 4

// chooser selects the next source to read: the store or another host.
type chooser struct {
	self  Peer
	peers []Peer
	// skipUntil is when a failed source may be used again.
	skipUntil map[string]clock.Milli
	// backoff is the current backoff of a failed source.
	backoff map[string]clock.Milli
	// failed holds the sources that have failed since the store was last asked or another
	// source was well. None of them comes before the store again, however long each took to
	// fail: a slow host would otherwise ask the same two hosts in turn.
	failed map[string]bool
}

// storeSource is the store's name among the sources.
const storeSource = ""

// noSource is a follower's source before its first choice. It must differ from
// storeSource: a choice of the store would otherwise count as no change.
const noSource = "none"

// Limits of the exponential backoff of a source that failed or had only old data.
// The store's limit is lower, since it is the last resort.
const (
	minBackoff      clock.Milli = 500
	maxBackoff                  = 8 * clock.Second
	maxStoreBackoff             = 800 * clock.Milli(1)
)

// sources lists the sources in order of preference. A reader reads the store. The
// other hosts prefer the readers of their region; all but the first directFallbacks
// hosts then try the host that would read next if the reader were gone. Next comes the
// store, and last any other host, which may reach the store when this one does not.
func (c *chooser) sources() []string {
	region := c.ranked(func(p Peer) bool { return p.Region == c.self.Region })
	var list []string
	for i, p := range region {
		if i >= readersPerRegion {
			break
		}
		if p.Address == c.self.Address {
			list = append(list, storeSource)
			break
		}
		list = append(list, p.Address)
	}
	if own := slices.IndexFunc(region, func(p Peer) bool { return p.Address == c.self.Address }); own >= directFallbacks {
		list = append(list, region[readersPerRegion].Address)
	}
	if len(list) == 0 || list[len(list)-1] != storeSource {
		list = append(list, storeSource)
	}
	for _, p := range c.ranked(func(p Peer) bool { return p.Address != c.self.Address }) {
		if !slices.Contains(list, p.Address) {
			list = append(list, p.Address)
		}
	}
	return list
}

// ranked returns the matching hosts, this one included, in order of a hash of their
// addresses. The order is the same on all hosts.
func (c *chooser) ranked(match func(Peer) bool) []Peer {
	var list []Peer
	for _, p := range append([]Peer{c.self}, c.peers...) {
		if match(p) {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := addressHash(list[i].Address), addressHash(list[j].Address)
		if a != b {
			return a < b
		}
		return list[i].Address < list[j].Address
	})
	return list
}

// addressHash returns the same number for an address on all hosts.
func addressHash(address string) uint64 { return rank.Hash(address, strconv.Itoa(len(address))) }

// next returns the first source that is not in backoff and, unless the store is, has not failed
// since the store was last asked; if all are in backoff, the one whose backoff ends first.
func (c *chooser) next(now clock.Milli) string {
	list := c.sources()
	best := list[0]
	storeIsDue := c.storeIsDue(now)
	for _, s := range list {
		if now >= c.skipUntil[s] && (!storeIsDue || !c.failed[s]) {
			return s
		}
		if c.skipUntil[s] < c.skipUntil[best] {
			best = s
		}
	}
	return best
}

// storeIsDue reports whether the store is to be asked before any source that has failed.
func (c *chooser) storeIsDue(now clock.Milli) bool {
	return len(c.failed) > 0 && now >= c.skipUntil[storeSource]
}

// recordFailure doubles a source's backoff, up to its limit, and skips the source until
// the backoff ends.
func (c *chooser) recordFailure(now clock.Milli, source string) {
	if c.skipUntil == nil {
		c.skipUntil = map[string]clock.Milli{}
		c.backoff = map[string]clock.Milli{}
		c.failed = map[string]bool{}
	}
	limit := maxBackoff
	c.failed[source] = true
	if source == storeSource {
		limit = maxStoreBackoff
		clear(c.failed)
	}
	c.backoff[source] = min(max(minBackoff, 2*c.backoff[source]), limit)
	c.skipUntil[source] = now + c.backoff[source]
}

// recordSuccess clears a source's backoff.
func (c *chooser) recordSuccess(source string) {
	delete(c.skipUntil, source)
	delete(c.backoff, source)
	clear(c.failed)
}
