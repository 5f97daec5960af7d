// Package lab starts the programs and the stand-ins on loopback, for the demo
// and the tests with real processes. It is scaffolding: no program of the
// product starts another.
package lab

import (
	"fmt"
	"strings"

	"dandelionstile/share/topo"
)

// Service describes one service of a layout.
type Service struct {
	Name string
	// Servers is how many backend servers it has, in turn over the domains.
	Servers int
	// LeafsPer is how many leafs each server has.
	LeafsPer    int
	Shards      int
	Slots       int
	Connections int
	WarmMS      int
	DeadlineMS  int
	Patience    int
}

// Layout is a small deployment.
type Layout struct {
	Domains  []string
	Regions  []string
	Hosts    int
	Services []Service
}

// Kumomaru is the deployment of that name in small: three failure domains in
// three regions, seven hosts, 32 leafs.
func Kumomaru() Layout {
	return Layout{
		Domains: []string{"sapporo-a", "sendai-b", "osaka-c"},
		Regions: []string{"sapporo", "sendai", "osaka"},
		Hosts:   7,
		Services: []Service{
			{Name: "subscriber-app", Servers: 12, LeafsPer: 2, Shards: 8, Slots: 3, Connections: 30, WarmMS: 300, DeadlineMS: 1000, Patience: 80},
			{Name: "subscription-billing", Servers: 6, LeafsPer: 1, Shards: 2, Slots: 3, Connections: 30, WarmMS: 300, DeadlineMS: 1000},
			{Name: "returns-desk", Servers: 2, LeafsPer: 1, Shards: 1, Slots: 6, Connections: 50, WarmMS: 300, DeadlineMS: 1000},
		},
	}
}

// Servers lists the backend servers of a layout. Address gives each its IP and
// port. The leafs of one shard lie in different domains as far as they go.
func (l Layout) Servers(address func(name string) string) []topo.Server {
	var list []topo.Server
	for _, v := range l.Services {
		leaf := 0
		for i := range v.Servers {
			s := topo.Server{
				Name: fmt.Sprintf("%s-%d", v.Name, i), Service: v.Name, Domain: l.Domains[i%len(l.Domains)],
			}
			s.Address = address(s.Name)
			for j := range v.LeafsPer {
				// Replicas of one shard follow each other over the domains.
				shard := (i/len(l.Domains)*v.LeafsPer + j) % v.Shards
				s.Leaves = append(s.Leaves, topo.Leaf{
					Name: fmt.Sprintf("%s-%d-%d", v.Name, i, j), Slots: v.Slots, Connections: v.Connections,
					Holds: []topo.Hold{{Layout: 1, Shard: shard}},
				})
				leaf++
			}
			list = append(list, s)
		}
	}
	return list
}

// Parts writes a layout as the operators' files: one for the domains and
// services, one for each service's servers, one for the rules.
func (l Layout) Parts(servers []topo.Server, rules string) []topo.Part {
	var b strings.Builder
	b.WriteString("failure-domains:\n")
	for i, d := range l.Domains {
		fmt.Fprintf(&b, "  - {name: %s, region: %s}\n", d, l.Regions[i])
	}
	b.WriteString("services:\n")
	for _, v := range l.Services {
		fmt.Fprintf(&b, "  - name: %s\n    layouts: [{id: 1, shards: %d}]\n    warm-ms: %d\n    deadline-ms: %d\n",
			v.Name, v.Shards, v.WarmMS, v.DeadlineMS)
		if v.Patience > 0 {
			fmt.Fprintf(&b, "    patience-percent: %d\n", v.Patience)
		}
	}
	parts := []topo.Part{{Name: "base.yaml", Body: []byte(b.String())}}
	for _, v := range l.Services {
		parts = append(parts, topo.Part{Name: "servers-" + v.Name + ".yaml", Body: []byte(serversYAML(v.Name, servers))})
	}
	if rules != "" {
		parts = append(parts, topo.Part{Name: "rules.yaml", Body: []byte(rules)})
	}
	return parts
}

func serversYAML(service string, servers []topo.Server) string {
	var b strings.Builder
	b.WriteString("servers:\n")
	for _, s := range servers {
		if s.Service != service {
			continue
		}
		fmt.Fprintf(&b, "  - name: %s\n    service: %s\n    failure-domain: %s\n    address: %s\n    leafs:\n",
			s.Name, s.Service, s.Domain, s.Address)
		for _, f := range s.Leaves {
			fmt.Fprintf(&b, "      - {name: %s, slots: %d, connections: %d, holds: [", f.Name, f.Slots, f.Connections)
			for i, h := range f.Holds {
				if i > 0 {
					b.WriteString(", ")
				}
				fmt.Fprintf(&b, "{layout: %d, shard: %d}", h.Layout, h.Shard)
			}
			b.WriteString("]}\n")
		}
	}
	return b.String()
}
