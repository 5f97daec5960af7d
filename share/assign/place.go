// Package place assigns leafs to aggregators by rendezvous hashing. Every host
// that has the same host list finds the same owners without exchanging a
// message, and a host that comes or goes moves only its own share.
package assign

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/topo"
)

// MaxOwners is how many hosts may ever serve one backend server under one host
// list: the primary and its standby.
const MaxOwners = 2

// Owners returns the hosts for a backend server, best first, at most n. Only
// hosts in the server's own failure domain qualify, so that a domain that has
// been cut off still owns what it can reach. Leaving hosts come after all
// others, so they hand over before they go.
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

type ranked struct {
	host   topo.Host
	weight uint64
}

// insert keeps the best n in order; n is small where it matters.
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

func (r ranked) before(o ranked) bool {
	if r.host.Leaving != o.host.Leaving {
		return o.host.Leaving
	}
	if r.weight != o.weight {
		return r.weight > o.weight
	}
	return r.host.Name < o.host.Name
}

// OwnerCache remembers the owners of servers for as long as the hosts of their
// failure domain stay the same. With thousands of servers and hosts, ranking
// them all anew for each change of configuration would take seconds. The zero
// value is ready.
type OwnerCache struct {
	hosts  map[string][]topo.Host
	owners map[string]map[string][]topo.Host // by domain, then server
}

// SetHosts takes a new host list.
func (t *OwnerCache) SetHosts(hosts []topo.Host) {
	byDomain := map[string][]topo.Host{}
	for _, h := range hosts {
		byDomain[h.Domain] = append(byDomain[h.Domain], h)
	}
	kept := map[string]map[string][]topo.Host{}
	for d, list := range byDomain {
		if slices.Equal(list, t.hosts[d]) && t.owners[d] != nil {
			kept[d] = t.owners[d]
		} else {
			kept[d] = map[string][]topo.Host{}
		}
	}
	t.hosts, t.owners = byDomain, kept
}

// Owners returns the candidates for a server.
func (t *OwnerCache) Owners(domain, server string) []topo.Host {
	known := t.owners[domain]
	if known == nil {
		return nil // no host in the domain
	}
	o, ok := known[server]
	if !ok {
		o = Owners(t.hosts[domain], domain, server, MaxOwners)
		known[server] = o
	}
	return o
}

// weight is the rendezvous weight of a host for a key.
func weight(host, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return mix(d.Sum64())
}

// mix spreads the bits once more: without it, keys that differ only in a last
// digit rank hosts alike more often than chance.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// BestIndex returns the index of the best of the names for a key, or -1 when there
// are none. All hosts agree on it when they agree on the names.
func BestIndex(names []string, key string) int {
	best := -1
	var top uint64
	for i, n := range names {
		w := weight(n, key)
		if best < 0 || w > top || (w == top && n < names[best]) {
			best, top = i, w
		}
	}
	return best
}

// Network says how a host chooses its links to other aggregators.
type Network struct {
	Self   string
	Domain string
	// FullMeshMax is how many hosts all link to all.
	FullMeshMax int
	// LocalLinks and Far are how many links a host of a larger fleet keeps within
	// its failure domain and beyond.
	LocalLinks, RemoteLinks int
}

// Neighbours lists the link addresses of the aggregators to keep links to. In a
// large fleet each host picks its own few by rendezvous, which makes a random
// graph: news crosses it in a few steps, and every host has about as many links.
func Neighbours(n Network, cfg *topo.Config, hosts []topo.Host) []string {
	picked := map[string]string{}
	if len(hosts) <= n.FullMeshMax {
		for _, h := range hosts {
			picked[h.Name] = h.Aggregator
		}
	} else {
		n.pick(picked, hosts)
		n.partners(picked, cfg, hosts)
	}
	addrs := make([]string, 0, len(picked))
	for _, a := range picked {
		addrs = append(addrs, a)
	}
	sort.Strings(addrs)
	return addrs
}

func (n Network) pick(picked map[string]string, hosts []topo.Host) {
	var near, far []ranked
	for _, h := range hosts {
		if h.Name == n.Self {
			picked[h.Name] = h.Aggregator // the entry's own host
			continue
		}
		r := ranked{host: h, weight: weight(h.Name, "link "+n.Self)}
		if h.Domain == n.Domain {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	take := func(list []ranked, most int) {
		sort.Slice(list, func(i, j int) bool { return list[i].weight > list[j].weight })
		for i := range min(most, len(list)) {
			picked[list[i].host.Name] = list[i].host.Aggregator
		}
	}
	take(near, n.LocalLinks)
	take(far, n.RemoteLinks)
}

// partners adds the other candidates of the servers that this host may serve:
// the two have leases to exchange.
func (n Network) partners(picked map[string]string, cfg *topo.Config, hosts []topo.Host) {
	var t OwnerCache
	t.SetHosts(hosts)
	for _, s := range cfg.Inventory.Servers {
		if s.Domain != n.Domain {
			continue
		}
		owners := t.Owners(s.Domain, s.Name)
		mine := false
		for _, h := range owners {
			mine = mine || h.Name == n.Self
		}
		for _, h := range owners {
			if mine {
				picked[h.Name] = h.Aggregator
			}
		}
	}
}
