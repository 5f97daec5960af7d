// Package invent holds what operators write: the inventory (failure domains,
// services, backend servers, leafs) and the rules on top of it. It reads and
// checks both and decides nothing.
package topo

import (
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/route"
)

// SnapshotID names one snapshot of a service's index. The layout is the generation of
// the partition map: an index built for one layout cannot be merged with
// another.
type SnapshotID struct {
	Layout  uint32
	Version uint64
}

// Less orders pins from old to new.
func (p SnapshotID) Less(o SnapshotID) bool {
	if p.Layout != o.Layout {
		return p.Layout < o.Layout
	}
	return p.Version < o.Version
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

// Service is one searchable index with its backend servers.
type Service struct {
	Name    string
	Layouts []Layout
	// WarmUp is how long a leaf takes from a cold start until it bears all of its
	// slots, in milliseconds.
	WarmUp clock.Milli
	// Deadline bounds a query that names no budget, in milliseconds.
	Deadline clock.Milli
	// Patience expresses the trade between coverage and tail latency: the share
	// of the deadline, in percent, after which an answer is given without the
	// shards that are still missing. 100 weighs coverage most.
	Patience int
	// HealthPath is where its servers tell their health to routed requests'
	// hosts.
	HealthPath string
}

// Layout returns the layout with the given id.
func (s Service) Layout(id uint32) (Layout, bool) {
	for _, l := range s.Layouts {
		if l.ID == id {
			return l, true
		}
	}
	return Layout{}, false
}

// Hold says that a leaf carries one shard of one layout.
type Hold struct {
	Layout uint32
	Shard  int
}

// Leaf is one searcher within a backend server.
type Leaf struct {
	Name string
	// Slots is how many requests the leaf works on at once.
	Slots int
	// Connections is how many connections the leaf accepts from all hosts
	// together.
	Connections int
	Holds       []Hold
}

// Shard returns the shard that the leaf holds under a layout.
func (l Leaf) Shard(layout uint32) (int, bool) {
	for _, h := range l.Holds {
		if h.Layout == layout {
			return h.Shard, true
		}
	}
	return 0, false
}

// Server is a backend server: one instance of a service, with its leafs.
type Server struct {
	Name    string
	Service string
	Domain  string
	// Address is the IP and port that the server's leafs are reached at.
	Address string
	Leaves  []Leaf
}

// Inventory is the operators' asset register.
type Inventory struct {
	Domains  []Domain
	Services []Service
	Servers  []Server
}

// ServerLimit limits what one backend server may carry.
type ServerLimit struct {
	Server string
	// Slots caps the slots used on each of the server's leafs; with Out it is
	// not read.
	Slots int
	// Out takes the server out of service.
	Out bool
}

// NeverRepeat marks an operation of a service as non-idempotent.
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

// Config is one accepted configuration. It is never changed after it has been
// built, so it may be shared between goroutines.
type Config struct {
	Version   uint64
	Inventory Inventory
	Rules     Rules
	// Routes say which requests are passed on as they are, and to which
	// services.
	Routes []route.Route
}

// DomainOut tells whether operators have taken a failure domain out.
func (c *Config) DomainOut(domain string) bool {
	return slices.Contains(c.Rules.DomainsOut, domain)
}

// ServerLimits returns the carry rules by backend server.
func (c *Config) ServerLimits() map[string]ServerLimit {
	rules := make(map[string]ServerLimit, len(c.Rules.ServerLimits))
	for _, r := range c.Rules.ServerLimits {
		rules[r.Server] = r
	}
	return rules
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

// Host is one entry host, as the platform's host list gives it.
type Host struct {
	Name   string
	Domain string
	// Entry and Aggregator are the addresses of the host's two programs for
	// the links between hosts.
	Entry      string
	Aggregator string
	// Leaving is set when the platform is about to take the host away.
	Leaving bool
}

// HostList is the platform's list of entry hosts. It may lag.
type HostList struct {
	Version uint64
	Hosts   []Host
}
