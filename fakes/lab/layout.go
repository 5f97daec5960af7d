// Package lab starts the programs and the fakes on loopback, for the demo and
// for tests with real processes. It is test infrastructure: no program of the
// product starts another.
package lab

import (
	"fmt"
	"strings"

	"dandelionstile/share/topo"
)

// Service describes a service of a layout.
type Service struct {
	Name string
	// Servers is the number of backend servers, spread over the domains in turn.
	Servers int
	// LeavesPerServer is the number of leaves of each server.
	LeavesPerServer int
	Shards          int
	Slots           int
	Connections     int
	WarmUpMS        int
	DeadlineMS      int
	Patience        int // percent; 0 leaves the default
}

// Layout is a small deployment.
type Layout struct {
	Domains  []string
	Regions  []string
	Hosts    int
	Services []Service
}

// Kumomaru returns a small copy of the deployment of that name: three failure
// domains in three regions, seven hosts, 32 leaves.
func Kumomaru() Layout {
	return Layout{
		Domains: []string{"sapporo-a", "sendai-b", "osaka-c"},
		Regions: []string{"sapporo", "sendai", "osaka"},
		Hosts:   7,
		Services: []Service{
			{Name: "subscriber-app", Servers: 12, LeavesPerServer: 2, Shards: 8, Slots: 3, Connections: 30, WarmUpMS: 300, DeadlineMS: 1000, Patience: 80},
			{Name: "subscription-billing", Servers: 6, LeavesPerServer: 1, Shards: 2, Slots: 3, Connections: 30, WarmUpMS: 300, DeadlineMS: 1000},
			{Name: "returns-desk", Servers: 2, LeavesPerServer: 1, Shards: 1, Slots: 6, Connections: 50, WarmUpMS: 300, DeadlineMS: 1000},
		},
	}
}

// Servers returns the backend servers of a layout. The function address returns
// the address (IP and port) of each. The replicas of a shard are in different domains
// as far as there are enough.
func (l Layout) Servers(address func(name string) string) []topo.Server {
	var list []topo.Server
	for _, v := range l.Services {
		leaf := 0
		for i := range v.Servers {
			s := topo.Server{
				Name: fmt.Sprintf("%s-%d", v.Name, i), Service: v.Name, Domain: l.Domains[i%len(l.Domains)],
			}
			s.Address = address(s.Name)
			for j := range v.LeavesPerServer {
				// Consecutive servers, which are in different domains, share shards.
				shard := (i/len(l.Domains)*v.LeavesPerServer + j) % v.Shards
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

// Parts encodes a layout as the operators' files: one for the domains and
// services, one for the servers of each service, and one for the rules.
func (l Layout) Parts(servers []topo.Server, rules string) []topo.Part {
	var b strings.Builder
	b.WriteString("failure-domains:\n")
	for i, d := range l.Domains {
		fmt.Fprintf(&b, "  - {name: %s, region: %s}\n", d, l.Regions[i])
	}
	b.WriteString("services:\n")
	for _, v := range l.Services {
		fmt.Fprintf(&b, "  - name: %s\n    layouts: [{id: 1, shards: %d}]\n    warm-ms: %d\n    deadline-ms: %d\n",
			v.Name, v.Shards, v.WarmUpMS, v.DeadlineMS)
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

// serversYAML encodes the servers of a service.
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
