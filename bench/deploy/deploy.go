// Package deploy holds the two deployments of the brief at their sizes, as
// inventories for the bench.
package deploy

import (
	"fmt"

	"dandelionstile/share/clock"
	"dandelionstile/share/topo"
)

// Service describes one service at its size.
type Service struct {
	Name string
	// Instances times Leafs is how many leafs there are.
	Instances   int
	Leafs       int
	Slots       int
	Connections int
	// Connect is what a new connection costs, in ms.
	Connect clock.Milli
	// Replicas is how many leafs hold each shard.
	Replicas int
	// Patience is the service's trade of coverage against tail latency.
	Patience int
}

// Deployment is one user's installation.
type Deployment struct {
	Name    string
	Domains []topo.Domain
	// Region and Caller are one-way latencies between regions, and to callers,
	// in ms.
	Region   clock.Milli
	Caller   clock.Milli
	Hosts    int
	Services []Service
}

// Himal is Himal Anodic Franchise Services. It weighs coverage most.
func Himal() Deployment {
	return Deployment{
		Name: "himal",
		Domains: []topo.Domain{
			{Name: "kathmandu", Region: "bagmati"}, {Name: "pokhara", Region: "gandaki"}, {Name: "biratnagar", Region: "koshi"},
		},
		Region: 20, Caller: 1, Hosts: 7,
		Services: []Service{
			{Name: "counter-search", Instances: 20, Leafs: 2, Slots: 2, Connections: 25, Connect: 6, Replicas: 4, Patience: 100},
			{Name: "dispatch-board", Instances: 30, Leafs: 2, Slots: 2, Connections: 25, Connect: 6, Replicas: 6, Patience: 100},
			{Name: "dealer-billing", Instances: 20, Leafs: 1, Slots: 2, Connections: 100, Connect: 1, Replicas: 4, Patience: 100},
			{Name: "phone-enquiries", Instances: 10, Leafs: 1, Slots: 2, Connections: 100, Connect: 1, Replicas: 5, Patience: 100},
		},
	}
}

// Kumomaru is Kumomaru Maternity Closet. It weighs tail latency most.
func Kumomaru() Deployment {
	return Deployment{
		Name: "kumomaru",
		Domains: []topo.Domain{
			{Name: "sapporo", Region: "hokkaido"}, {Name: "sendai", Region: "tohoku"}, {Name: "osaka", Region: "kansai"},
		},
		Region: 8, Caller: 3, Hosts: 7,
		Services: []Service{
			{Name: "subscriber-app", Instances: 20, Leafs: 2, Slots: 3, Connections: 30, Connect: 6, Replicas: 4, Patience: 80},
			{Name: "subscription-billing", Instances: 30, Leafs: 2, Slots: 3, Connections: 30, Connect: 6, Replicas: 6, Patience: 80},
			{Name: "returns-desk", Instances: 10, Leafs: 1, Slots: 6, Connections: 50, Connect: 1, Replicas: 5, Patience: 80},
			{Name: "warehouse-picking", Instances: 4, Leafs: 1, Slots: 6, Connections: 50, Connect: 1, Replicas: 2, Patience: 80},
		},
	}
}

// ByName returns a deployment.
func ByName(name string) (Deployment, bool) {
	for _, d := range []Deployment{Himal(), Kumomaru()} {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Shards is how many shards a service is cut into: its leafs by its replicas.
func (s Service) Shards() int { return max(1, s.Instances*s.Leafs/s.Replicas) }

// reshaped is how many shards the second layout has: two are joined into one.
func (s Service) reshaped() int { return max(1, s.Shards()/2) }

// Timing that the bench gives every service.
const (
	Warm     = 5 * clock.Second
	Deadline = clock.Second
)

// Config builds the inventory. The replicas of a shard lie in different failure
// domains as far as they go.
func (d Deployment) Config(version uint64, rules topo.Rules) *topo.Config {
	cfg := &topo.Config{Version: version, Rules: rules}
	cfg.Inventory.Domains = d.Domains
	for _, v := range d.Services {
		cfg.Inventory.Services = append(cfg.Inventory.Services, topo.Service{
			Name: v.Name, Layouts: []topo.Layout{{ID: 1, Shards: v.Shards()}, {ID: 2, Shards: v.reshaped()}},
			WarmUp: Warm, Deadline: Deadline, Patience: v.Patience,
		})
		for i := range v.Instances {
			s := topo.Server{
				Name: fmt.Sprintf("%s-%d", v.Name, i), Service: v.Name,
				Domain: d.Domains[i%len(d.Domains)].Name, Address: "127.0.0.1:1",
			}
			for j := range v.Leafs {
				// Neighbouring instances lie in different domains; an instance's
				// leafs hold different shards.
				slot := j*v.Instances + i
				shard := slot / v.Replicas % v.Shards()
				s.Leaves = append(s.Leaves, topo.Leaf{
					Name: fmt.Sprintf("%s-%d-%d", v.Name, i, j), Slots: v.Slots, Connections: v.Connections,
					Holds: []topo.Hold{{Layout: 1, Shard: shard}, {Layout: 2, Shard: shard % v.reshaped()}},
				})
			}
			cfg.Inventory.Servers = append(cfg.Inventory.Servers, s)
		}
	}
	return cfg
}

// HostList spreads the hosts over the failure domains.
func (d Deployment) HostList() []topo.Host {
	hosts := make([]topo.Host, d.Hosts)
	for i := range hosts {
		hosts[i] = topo.Host{Name: fmt.Sprintf("host-%d", i), Domain: d.Domains[i%len(d.Domains)].Name}
	}
	return hosts
}

// Service returns a service by name.
func (d Deployment) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
