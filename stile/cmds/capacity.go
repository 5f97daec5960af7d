package cmds

import (
	"fmt"
	"sort"

	"dandelionstile/share/route"
	"dandelionstile/share/topo"
)

// capacity describes all leaves of a configuration, and for each service what its leaves in
// service provide.
type capacity struct {
	leaves   map[string]leafCapacity
	services map[string]*serviceCapacity
}

// leafCapacity is one leaf, in service or not.
type leafCapacity struct {
	server    string
	domain    string
	outReason string // why the leaf is out of service, or ""
	slots     int    // in effect if the leaf is in service
}

// serviceCapacity sums the leaves of a service that are in service.
type serviceCapacity struct {
	slots  int
	shards map[shardID]int // leaves in service by shard
}

type shardID struct {
	layout uint32
	shard  int
}

// capacityOf computes which leaves are in service and how many serve each shard.
func capacityOf(c *topo.Config) capacity {
	result := capacity{leaves: map[string]leafCapacity{}, services: map[string]*serviceCapacity{}}
	for _, v := range c.Inventory.Services {
		s := &serviceCapacity{shards: map[shardID]int{}}
		for _, l := range v.Layouts {
			for i := range l.Shards {
				s.shards[shardID{l.ID, i}] = 0
			}
		}
		result.services[v.Name] = s
	}
	limits := c.ServerLimits()
	for _, s := range c.Inventory.Servers {
		for _, l := range s.Leaves {
			leaf := leafCapacity{server: s.Name, domain: s.Domain, slots: l.Slots}
			limit := limits[s.Name]
			switch {
			case c.DomainOut(s.Domain):
				leaf.outReason = "failure domain " + s.Domain + " is out"
			case limit.Out:
				leaf.outReason = "server " + s.Name + " is out"
			case limit.Slots > 0:
				leaf.slots = min(leaf.slots, limit.Slots)
			}
			result.leaves[l.Name] = leaf
			if leaf.outReason != "" {
				continue
			}
			v := result.services[s.Service]
			v.slots += leaf.slots
			for _, h := range l.Holds {
				v.shards[shardID{h.Layout, h.Shard}]++
			}
		}
	}
	return result
}

// findDangers lists the valid but risky parts of a configuration.
func findDangers(c *topo.Config) []string {
	var list []string
	inService := capacityOf(c)
	for _, name := range sortedNames(inService.services) {
		v := inService.services[name]
		missing, single := 0, 0
		for _, n := range v.shards {
			switch n {
			case 0:
				missing++
			case 1:
				single++
			}
		}
		if missing > 0 {
			list = append(list, fmt.Sprintf("service %s: %d of %d shards have no leaf in service: answers will lack them", name, missing, len(v.shards)))
		}
		if single > 0 {
			list = append(list, fmt.Sprintf("service %s: %d of %d shards have one leaf in service: its loss costs coverage", name, single, len(v.shards)))
		}
	}
	for _, s := range c.Inventory.Servers {
		for _, l := range s.Leaves {
			if l.Connections < 2*l.Slots {
				list = append(list, fmt.Sprintf("leaf %s: %d connections for %d slots: two aggregators share them, and neither gets enough", l.Name, l.Connections, l.Slots))
			}
		}
	}
	return append(list, findRouteDangers(c)...)
}

// findRouteDangers lists valid settings of routes that make requests fail or behave in
// ways that operators may not expect.
func findRouteDangers(c *topo.Config) []string {
	var list []string
	servers := countServers(c)
	for i := range c.Routes {
		r := &c.Routes[i]
		missing := 0
		for _, s := range r.Shards {
			if servers.count(r, s) == 0 {
				missing++
			}
		}
		if missing > 0 {
			list = append(list, fmt.Sprintf("route %s: %d of %d shards have no backend server in service where the route may be served", r.Name, missing, len(r.Shards)))
		}
		if len(r.Shards)-missing < r.MinShards() && r.Sharded() {
			list = append(list, fmt.Sprintf("route %s: fewer than %d shards can answer: each request will be refused", r.Name, r.MinShards()))
		}
		for _, w := range r.Services {
			if w.Weight > 0 && servers.count(r, w.Service) == 0 {
				list = append(list, fmt.Sprintf("route %s: service %s has no backend server in service where the route may be served", r.Name, w.Service))
			}
		}
		if r.Target > r.Timeout {
			list = append(list, fmt.Sprintf("route %s: its target of %d ms is above its timeout of %d ms", r.Name, r.Target, r.Timeout))
		}
	}
	return list
}

// serviceRegion is a service in one region.
type serviceRegion struct{ service, region string }

// serverCounts counts the backend servers in service by service and region.
type serverCounts map[serviceRegion]int

// countServers counts the backend servers that are not out of service and whose failure
// domain is not either.
func countServers(c *topo.Config) serverCounts {
	regions := make(map[string]string, len(c.Inventory.Domains))
	for _, d := range c.Inventory.Domains {
		regions[d.Name] = d.Region
	}
	limits := c.ServerLimits()
	counts := serverCounts{}
	for _, s := range c.Inventory.Servers {
		if !c.DomainOut(s.Domain) && !limits[s.Name].Out {
			counts[serviceRegion{s.Service, regions[s.Domain]}]++
		}
	}
	return counts
}

// count returns how many servers of a service may receive a route's requests.
func (n serverCounts) count(r *route.Route, service string) int {
	total := 0
	for key, servers := range n {
		if key.service == service && r.Allows(key.region) {
			total += servers
		}
	}
	return total
}

// sortedNames returns the keys of a map in alphabetical order.
func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
