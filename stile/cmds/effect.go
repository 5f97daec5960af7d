package cmds

import (
	"fmt"
	"sort"

	"dandelionstile/share/invent"
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
func reachOf(c *invent.Config) reach {
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
	carry := c.CarryRules()
	for _, s := range c.Inventory.Servers {
		for _, l := range s.Leafs {
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
func dangers(c *invent.Config) []string {
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
		for _, l := range s.Leafs {
			if l.Connections < 2*l.Slots {
				list = append(list, fmt.Sprintf("leaf %s: %d connections for %d slots: two aggregators share them, and neither gets enough", l.Name, l.Connections, l.Slots))
			}
		}
	}
	return list
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
