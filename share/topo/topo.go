// Package topo holds the operators' configuration: the inventory (failure domains,
// services, backend servers, leaves), the rules on top of it, and routes. It parses
// and validates configurations; other packages act on them.
package topo

import (
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/route"
)

// SnapshotID identifies a snapshot of a service's index. The layout is the
// generation of the partition map; results of indexes with different layouts cannot
// be merged.
type SnapshotID struct {
	Layout  uint32
	Version uint64
}

// Less reports whether s is older than o.
func (s SnapshotID) Less(o SnapshotID) bool {
	if s.Layout != o.Layout {
		return s.Layout < o.Layout
	}
	return s.Version < o.Version
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// Layout is one generation of a service's partition map.
type Layout struct {
	ID     uint32
	Shards int
}

// Service is a searchable index with its backend servers.
type Service struct {
	Name    string
	Layouts []Layout
	// WarmUp is how long a cold leaf takes until it can serve on all of its slots,
	// in milliseconds.
	WarmUp clock.Milli
	// Deadline limits a query without a budget of its own, in milliseconds.
	Deadline clock.Milli
	// Patience trades coverage against tail latency: it is the share of the deadline,
	// in percent, after which a query is answered without the shards that are still
	// missing. 100 favors coverage most.
	Patience int
	// HealthPath is the path at which the service's servers report their health to
	// the hosts that route requests to them.
	HealthPath string
}

// Layout returns the layout with the given ID.
func (s Service) Layout(id uint32) (Layout, bool) {
	for _, l := range s.Layouts {
		if l.ID == id {
			return l, true
		}
	}
	return Layout{}, false
}

// Hold states that a leaf holds one shard of one layout.
type Hold struct {
	Layout uint32
	Shard  int
}

// Leaf is a searcher within a backend server.
type Leaf struct {
	Name string
	// Slots is how many requests the leaf runs concurrently.
	Slots int
	// Connections is how many connections the leaf accepts, from all hosts together.
	Connections int
	Holds       []Hold
}

// Shard returns the shard that the leaf holds in a layout.
func (l Leaf) Shard(layout uint32) (int, bool) {
	for _, h := range l.Holds {
		if h.Layout == layout {
			return h.Shard, true
		}
	}
	return 0, false
}

// Server is a backend server: an instance of a service, with its leaves.
type Server struct {
	Name    string
	Service string
	Domain  string
	// Address is the IP and port of the server's leaves.
	Address string
	Leaves  []Leaf
}

// Inventory lists the operators' failure domains, services and backend servers.
type Inventory struct {
	Domains  []Domain
	Services []Service
	Servers  []Server
}

// ServerLimit limits the load on one backend server, or takes it out of service.
type ServerLimit struct {
	Server string
	// Slots caps the slots used on each of the server's leaves; it is ignored if Out
	// is set.
	Slots int
	// Out takes the server out of service.
	Out bool
}

// NeverRepeat marks an operation of a service as non-idempotent: its requests are
// never repeated.
type NeverRepeat struct {
	Service   string
	Operation string
}

// Rules are the operators' rules on top of an inventory.
type Rules struct {
	// DomainsOut lists the failure domains that are out of service.
	DomainsOut   []string
	ServerLimits []ServerLimit
	NeverRepeat  []NeverRepeat
}

// Config is an accepted configuration. It is immutable once built and may be shared
// between goroutines.
type Config struct {
	Version   uint64
	Inventory Inventory
	Rules     Rules
	// Routes define which requests are proxied unchanged, and to which services.
	Routes []route.Route
}

// DomainOut reports whether the operators took a failure domain out of service.
func (c *Config) DomainOut(domain string) bool {
	return slices.Contains(c.Rules.DomainsOut, domain)
}

// ServerLimits returns the limits by backend server.
func (c *Config) ServerLimits() map[string]ServerLimit {
	limits := make(map[string]ServerLimit, len(c.Rules.ServerLimits))
	for _, r := range c.Rules.ServerLimits {
		limits[r.Server] = r
	}
	return limits
}

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.Inventory.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Host is a host in the platform's host list. It runs an entry and an aggregator.
type Host struct {
	Name   string
	Domain string
	// Entry and Aggregator are the link addresses of the host's two programs.
	Entry      string
	Aggregator string
	// Leaving is set when the platform is about to remove the host.
	Leaving bool
}

// HostList is the platform's list of the hosts of a failure domain. It may be out of date.
type HostList struct {
	Version uint64
	Hosts   []Host
}
