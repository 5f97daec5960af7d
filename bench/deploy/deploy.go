// Package deploy describes the two deployments of the users' brief at full size
// and builds their inventories.
package deploy

import (
	"fmt"

	"dandelionstile/share/clock"
	"dandelionstile/share/topo"
)

// Service describes a service and its size.
type Service struct {
	Name string
	// Instances is the number of backend servers, Leaves the leaves on each. Slots and
	// Connections are limits of each leaf.
	Instances   int
	Leaves      int
	Slots       int
	Connections int
	// ConnectTime is the time to open a connection.
	ConnectTime clock.Milli
	// Replicas is how many leaves hold each shard.
	Replicas int
	// Patience is the service's trade-off of coverage against tail latency: the
	// share of the deadline to wait, in percent.
	Patience int
}

// Deployment is one user's installation.
type Deployment struct {
	Name    string
	Domains []topo.Domain
	// RegionLatency and CallerLatency are one-way latencies between regions, and
	// between callers and hosts.
	RegionLatency clock.Milli
	CallerLatency clock.Milli
	Hosts         int
	Services      []Service
}

// Himal is the deployment of Himal Anodic Franchise Services, which prefers
// coverage.
func Himal() Deployment {
	return Deployment{
		Name: "himal",
		Domains: []topo.Domain{
			{Name: "kathmandu", Region: "bagmati"}, {Name: "pokhara", Region: "gandaki"}, {Name: "biratnagar", Region: "koshi"},
		},
		RegionLatency: 20, CallerLatency: 1, Hosts: 7,
		Services: []Service{
			{Name: "counter-search", Instances: 20, Leaves: 2, Slots: 2, Connections: 25, ConnectTime: 6, Replicas: 4, Patience: 100},
			{Name: "dispatch-board", Instances: 30, Leaves: 2, Slots: 2, Connections: 25, ConnectTime: 6, Replicas: 6, Patience: 100},
			{Name: "dealer-billing", Instances: 20, Leaves: 1, Slots: 2, Connections: 100, ConnectTime: 1, Replicas: 4, Patience: 100},
			{Name: "phone-enquiries", Instances: 10, Leaves: 1, Slots: 2, Connections: 100, ConnectTime: 1, Replicas: 5, Patience: 100},
		},
	}
}

// Kumomaru is the deployment of Kumomaru Maternity Closet, which prefers low
// tail latency.
func Kumomaru() Deployment {
	return Deployment{
		Name: "kumomaru",
		Domains: []topo.Domain{
			{Name: "sapporo", Region: "hokkaido"}, {Name: "sendai", Region: "tohoku"}, {Name: "osaka", Region: "kansai"},
		},
		RegionLatency: 8, CallerLatency: 3, Hosts: 7,
		Services: []Service{
			{Name: "subscriber-app", Instances: 20, Leaves: 2, Slots: 3, Connections: 30, ConnectTime: 6, Replicas: 4, Patience: 80},
			{Name: "subscription-billing", Instances: 30, Leaves: 2, Slots: 3, Connections: 30, ConnectTime: 6, Replicas: 6, Patience: 80},
			{Name: "returns-desk", Instances: 10, Leaves: 1, Slots: 6, Connections: 50, ConnectTime: 1, Replicas: 5, Patience: 80},
			{Name: "warehouse-picking", Instances: 4, Leaves: 1, Slots: 6, Connections: 50, ConnectTime: 1, Replicas: 2, Patience: 80},
		},
	}
}

// ByName returns the deployment with a name, and whether there is one.
func ByName(name string) (Deployment, bool) {
	for _, d := range []Deployment{Himal(), Kumomaru()} {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Shards is the number of shards of a service: its leaves divided by its
// replicas, rounded down, and at least 1.
func (s Service) Shards() int { return max(1, s.Instances*s.Leaves/s.Replicas) }

// mergedShards is the number of shards in the second layout, which merges pairs. If the
// number of shards is odd and at least 3, three of them become one.
func (s Service) mergedShards() int { return max(1, s.Shards()/2) }

// Times that apply to every service.
const (
	// WarmUp is the time that a cold leaf needs until it has all of its slots.
	WarmUp = 5 * clock.Second
	// Deadline is the time budget of a query.
	Deadline = clock.Second
)

// Config builds a configuration with the deployment's inventory. The replicas of a
// shard are in different failure domains where possible.
func (d Deployment) Config(version uint64, rules topo.Rules) *topo.Config {
	cfg := &topo.Config{Version: version, Rules: rules}
	cfg.Inventory.Domains = d.Domains
	for _, v := range d.Services {
		cfg.Inventory.Services = append(cfg.Inventory.Services, topo.Service{
			Name: v.Name, Layouts: []topo.Layout{{ID: 1, Shards: v.Shards()}, {ID: 2, Shards: v.mergedShards()}},
			WarmUp: WarmUp, Deadline: Deadline, Patience: v.Patience,
		})
		for i := range v.Instances {
			s := topo.Server{
				Name: fmt.Sprintf("%s-%d", v.Name, i), Service: v.Name,
				Domain: d.Domains[i%len(d.Domains)].Name, Address: "127.0.0.1:1",
			}
			for j := range v.Leaves {
				// Consecutive instances are in different domains; the leaves of an
				// instance hold different shards.
				leafIndex := j*v.Instances + i
				shard := leafIndex / v.Replicas % v.Shards()
				s.Leaves = append(s.Leaves, topo.Leaf{
					Name: fmt.Sprintf("%s-%d-%d", v.Name, i, j), Slots: v.Slots, Connections: v.Connections,
					Holds: []topo.Hold{{Layout: 1, Shard: shard}, {Layout: 2, Shard: shard % v.mergedShards()}},
				})
			}
			cfg.Inventory.Servers = append(cfg.Inventory.Servers, s)
		}
	}
	return cfg
}

// HostList returns the hosts, distributed over the failure domains.
func (d Deployment) HostList() []topo.Host {
	hosts := make([]topo.Host, d.Hosts)
	for i := range hosts {
		hosts[i] = topo.Host{Name: fmt.Sprintf("host-%d", i), Domain: d.Domains[i%len(d.Domains)].Name}
	}
	return hosts
}

// Service returns the service with a name, and whether there is one.
func (d Deployment) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
