package cmds

import (
	"fmt"
	"sort"

	"dandelionstile/share/route"
	"dandelionstile/share/topo"
)

// reach is what a configuration leaves in service.
type reach struct {
	leafs    map[string]leafReach
	services map[string]*serviceReach
}

type leafReach struct {
	server string
	domain string
	out    string // why it gets no work, or ""
	slots  int
}

type serviceReach struct {
	slots  int
	shards map[shardID]int // leafs in service by shard
}

type shardID struct {
	layout uint32
	shard  int
}

// reachOf works out which leafs are in service, and what that leaves of each
// shard.
func reachOf(c *topo.Config) reach {
	r := reach{leafs: map[string]leafReach{}, services: map[string]*serviceReach{}}
	for _, v := range c.Inventory.Services {
		s := &serviceReach{shards: map[shardID]int{}}
		for _, l := range v.Layouts {
			for i := range l.Shards {
				s.shards[shardID{l.ID, i}] = 0
			}
		}
		r.services[v.Name] = s
	}
	carry := c.ServerLimits()
	for _, s := range c.Inventory.Servers {
		for _, l := range s.Leaves {
			f := leafReach{server: s.Name, domain: s.Domain, slots: l.Slots}
			rule := carry[s.Name]
			switch {
			case c.DomainOut(s.Domain):
				f.out = "failure domain " + s.Domain + " is out"
			case rule.Out:
				f.out = "server " + s.Name + " is out"
			case rule.Slots > 0:
				f.slots = min(f.slots, rule.Slots)
			}
			r.leafs[l.Name] = f
			if f.out != "" {
				continue
			}
			v := r.services[s.Service]
			v.slots += f.slots
			for _, h := range l.Holds {
				v.shards[shardID{h.Layout, h.Shard}]++
			}
		}
	}
	return r
}

// dangers lists what in a configuration is valid but risky.
func dangers(c *topo.Config) []string {
	var list []string
	r := reachOf(c)
	for _, name := range sortedNames(r.services) {
		v := r.services[name]
		gone, single := 0, 0
		for _, n := range v.shards {
			switch n {
			case 0:
				gone++
			case 1:
				single++
			}
		}
		if gone > 0 {
			list = append(list, fmt.Sprintf("service %s: %d of %d shards have no leaf in service: answers will lack them", name, gone, len(v.shards)))
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
	return append(list, routeDangers(c)...)
}

// routeDangers lists what is valid about the routes and serves no caller, or
// not as the operators may think.
func routeDangers(c *topo.Config) []string {
	var list []string
	in := serversIn(c)
	for i := range c.Routes {
		r := &c.Routes[i]
		gone := 0
		for _, s := range r.Shards {
			if in.count(r, s) == 0 {
				gone++
			}
		}
		if gone > 0 {
			list = append(list, fmt.Sprintf("route %s: %d of %d shards have no backend server in service where the route may be served", r.Name, gone, len(r.Shards)))
		}
		if len(r.Shards)-gone < r.MinShards() && r.Sharded() {
			list = append(list, fmt.Sprintf("route %s: fewer than %d shards can answer: each request will be refused", r.Name, r.MinShards()))
		}
		for _, w := range r.Services {
			if w.Weight > 0 && in.count(r, w.Service) == 0 {
				list = append(list, fmt.Sprintf("route %s: service %s has no backend server in service where the route may be served", r.Name, w.Service))
			}
		}
		if r.Target > r.Timeout {
			list = append(list, fmt.Sprintf("route %s: its target of %d ms is above its timeout of %d ms", r.Name, r.Target, r.Timeout))
		}
	}
	return list
}

// serviceIn is a service in a region.
type serviceIn struct{ service, region string }

// serverCounts counts the backend servers in service.
type serverCounts map[serviceIn]int

func serversIn(c *topo.Config) serverCounts {
	regions := make(map[string]string, len(c.Inventory.Domains))
	for _, d := range c.Inventory.Domains {
		regions[d.Name] = d.Region
	}
	carry := c.ServerLimits()
	n := serverCounts{}
	for _, s := range c.Inventory.Servers {
		if !c.DomainOut(s.Domain) && !carry[s.Name].Out {
			n[serviceIn{s.Service, regions[s.Domain]}]++
		}
	}
	return n
}

// count is how many servers of a service a route's requests may go to.
func (n serverCounts) count(r *route.Route, service string) int {
	sum := 0
	for in, servers := range n {
		if in.service == service && r.Allows(in.region) {
			sum += servers
		}
	}
	return sum
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
