// Package assign assigns backend servers to aggregators by rendezvous hashing. All
// hosts with the same host list compute the same owners without exchanging messages,
// and a host that joins or leaves moves only its own share. The package also chooses
// the links between aggregators.
package assign

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/topo"
)

// MaxOwners is the number of hosts that may serve one backend server under one host
// list: the primary and its standby.
const MaxOwners = 2

// Owners returns at most n hosts for a backend server, best first. Only hosts in the
// server's own failure domain qualify, so that a partitioned domain still owns what it
// can reach. Leaving hosts come last, so that they hand over before they leave.
func Owners(hosts []topo.Host, domain, server string, n int) []topo.Host {
	best := make([]ranked, 0, n+1)
	for _, h := range hosts {
		if h.Domain == domain {
			best = insert(best, ranked{host: h, weight: weight(h.Name, server)}, n)
		}
	}
	owners := make([]topo.Host, len(best))
	for i := range owners {
		owners[i] = best[i].host
	}
	return owners
}

// ranked is a host with its rendezvous weight for one key.
type ranked struct {
	host   topo.Host
	weight uint64
}

// insert adds r to a sorted list, which keeps the best n hosts. Insertion suits the
// small n of the hot paths.
func insert(best []ranked, r ranked, n int) []ranked {
	i := len(best)
	for i > 0 && r.before(best[i-1]) {
		i--
	}
	if i >= n {
		return best
	}
	best = append(best, ranked{})
	copy(best[i+1:], best[i:])
	best[i] = r
	return best[:min(len(best), n)]
}

// before reports whether r is preferred: hosts that are not leaving first, then by
// weight.
func (r ranked) before(o ranked) bool {
	if r.host.Leaving != o.host.Leaving {
		return o.host.Leaving
	}
	if r.weight != o.weight {
		return r.weight > o.weight
	}
	return r.host.Name < o.host.Name
}

// OwnerCache caches the owners of servers while the hosts of their failure domain stay
// the same. With thousands of servers and hosts, ranking all of them for each change of
// configuration would take seconds. The zero value is ready to use.
type OwnerCache struct {
	hosts  map[string][]topo.Host            // by failure domain
	owners map[string]map[string][]topo.Host // by failure domain, then server
}

// SetHosts replaces the host list. It discards the owners in failure domains whose
// hosts changed.
func (c *OwnerCache) SetHosts(hosts []topo.Host) {
	byDomain := map[string][]topo.Host{}
	for _, h := range hosts {
		byDomain[h.Domain] = append(byDomain[h.Domain], h)
	}
	kept := map[string]map[string][]topo.Host{}
	for d, list := range byDomain {
		if slices.Equal(list, c.hosts[d]) && c.owners[d] != nil {
			kept[d] = c.owners[d]
		} else {
			kept[d] = map[string][]topo.Host{}
		}
	}
	c.hosts, c.owners = byDomain, kept
}

// Owners returns the primary and the standby for a server, best first; fewer if its
// failure domain has fewer hosts.
func (c *OwnerCache) Owners(domain, server string) []topo.Host {
	known := c.owners[domain]
	if known == nil {
		return nil // no host in the domain
	}
	o, ok := known[server]
	if !ok {
		o = Owners(c.hosts[domain], domain, server, MaxOwners)
		known[server] = o
	}
	return o
}

// weight returns the rendezvous weight of a host for a key.
func weight(host, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return mix(d.Sum64())
}

// mix applies the finalizer of MurmurHash3: without it, keys that differ only in their
// last digit rank hosts alike more often than chance.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// BestIndex returns the index of the name with the highest weight for a key, or -1 if
// there are no names. All hosts that have the same names choose the same one, whatever
// their order.
func BestIndex(names []string, key string) int {
	best := -1
	var topWeight uint64
	for i, n := range names {
		w := weight(n, key)
		if best < 0 || w > topWeight || (w == topWeight && n < names[best]) {
			best, topWeight = i, w
		}
	}
	return best
}

// Network configures how a host chooses its links to other aggregators.
type Network struct {
	Self   string
	Domain string
	// FullMeshMaxHosts is the largest number of hosts that link to all others.
	FullMeshMaxHosts int
	// LocalLinks and RemoteLinks are the numbers of links of a host in a larger fleet,
	// within its failure domain and beyond.
	LocalLinks, RemoteLinks int
}

// Neighbors returns the sorted link addresses of the aggregators to keep links to,
// including the one on this host. In a large fleet each host chooses a few by rendezvous
// hashing, which yields a random graph: messages cross it in a few hops, and all hosts
// have about as many links. The other owners of its servers are added.
func Neighbors(n Network, cfg *topo.Config, hosts []topo.Host) []string {
	chosen := map[string]string{} // link addresses by host name
	if len(hosts) <= n.FullMeshMaxHosts {
		for _, h := range hosts {
			chosen[h.Name] = h.Aggregator
		}
	} else {
		n.addRendezvous(chosen, hosts)
		n.addPartners(chosen, cfg, hosts)
	}
	addrs := make([]string, 0, len(chosen))
	for _, a := range chosen {
		addrs = append(addrs, a)
	}
	sort.Strings(addrs)
	return addrs
}

// addRendezvous adds this host and the LocalLinks and RemoteLinks hosts with the highest
// weights.
func (n Network) addRendezvous(chosen map[string]string, hosts []topo.Host) {
	var near, far []ranked
	for _, h := range hosts {
		if h.Name == n.Self {
			chosen[h.Name] = h.Aggregator // for an entry; an aggregator ignores its own address
			continue
		}
		r := ranked{host: h, weight: weight(h.Name, "link "+n.Self)}
		if h.Domain == n.Domain {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	addBest := func(list []ranked, limit int) {
		sort.Slice(list, func(i, j int) bool { return list[i].weight > list[j].weight })
		for i := range min(limit, len(list)) {
			chosen[list[i].host.Name] = list[i].host.Aggregator
		}
	}
	addBest(near, n.LocalLinks)
	addBest(far, n.RemoteLinks)
}

// addPartners adds the other owners of the servers that this host may serve, since
// owners exchange leases.
func (n Network) addPartners(chosen map[string]string, cfg *topo.Config, hosts []topo.Host) {
	var cache OwnerCache
	cache.SetHosts(hosts)
	for _, s := range cfg.Inventory.Servers {
		if s.Domain != n.Domain {
			continue
		}
		owners := cache.Owners(s.Domain, s.Name)
		owned := false
		for _, h := range owners {
			owned = owned || h.Name == n.Self
		}
		for _, h := range owners {
			if owned {
				chosen[h.Name] = h.Aggregator
			}
		}
	}
}
