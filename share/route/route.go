// Package route holds the operators' routes: which requests go to which
// service or set of shards, and what may be done with them. It decides nothing
// beyond the match of a request to its route.
package route

import (
	"strings"

	"dandelionstile/share/clock"
)

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Service string
	// Weight is the service's part of the requests, relative to the sum.
	Weight float64
}

// Route says where the requests for one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once; all others at most once.
	Idempotent bool
	// Attempts is how many leafs one request may run on; per shard for a
	// query over shards.
	Attempts int
	// Timeout is the longest that a caller is kept waiting.
	Timeout clock.Milli
	// Target is the time within which an answer has its full worth.
	Target clock.Milli
	// Priority orders requests by urgency; 0 is the most urgent.
	Priority int
	// Services get the requests one leaf each; empty for a query over shards.
	Services []WeightedService
	// Shards are the services that each answer a part of a query.
	Shards []string
	// Top is how many records, the greatest, a merged answer holds.
	Top int
	// MinShare is the share of the shards without which a query failed.
	MinShare float64
	// Regions are where the requests may be served; empty means everywhere.
	Regions []string
}

// Merged tells whether the route's answers are put together from shards.
func (r *Route) Merged() bool { return len(r.Shards) > 0 }

// Allows tells whether the route's requests may be served in a region.
func (r *Route) Allows(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, one := range r.Regions {
		if one == region {
			return true
		}
	}
	return false
}

// MinShards is how many shards an answer must hold to be one.
func (r *Route) MinShards() int {
	need := r.MinShare * float64(len(r.Shards))
	least := int(need)
	// A share such as 0.9 of 20 is not exact in binary; 18.000000000000004
	// must not ask for 19.
	if need-float64(least) > 1e-9 {
		least++
	}
	return max(1, least)
}

// Service is what the operators say of a service.
type Service struct {
	Name string
	// HealthPath is where its leafs tell their health.
	HealthPath string
	// Connections is how many connections a leaf accepts from all hosts.
	Connections int
	// WarmUp is how long a leaf is cold after its start.
	WarmUp clock.Milli
	// ColdRate is how many requests a second a cold leaf bears, from all hosts
	// together; 0 sets no bound.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  clock.Milli
	IdleTimeout    clock.Milli
}

// Table is one version of the operators' configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Match returns the route of a request: of the host's routes, the one with the
// longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	var best *Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best != nil
}
