// Package route holds the operators' routes: which requests go to which service or set
// of shards, and which policy applies to them. Its only decision is the match of a
// request to its route.
package route

import (
	"strings"

	"dandelionstile/share/clock"
)

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Service string
	// Weight is the service's share of the requests, relative to the sum of weights.
	Weight float64
}

// Route says where the requests for one host and path prefix go.
type Route struct {
	Name   string
	Host   string // in the Host header of the requests
	Prefix string
	// Idempotent requests may run more than once; others run at most once.
	Idempotent bool
	// Attempts is the maximum number of leaves that one request may run on; for a
	// query over shards it applies to each shard.
	Attempts int
	// Timeout is the longest time that a caller waits.
	Timeout clock.Milli
	// Target is the time within which an answer has its full value.
	Target clock.Milli
	// Priority orders requests by urgency; 0 is the most urgent.
	Priority int
	// Services each serve whole requests on one leaf; empty for a query over shards.
	Services []WeightedService
	// Shards are the services that each answer a part of a query.
	Shards []string
	// TopK is the maximum number of records in a merged answer; the greatest are kept.
	TopK int
	// MinShare is the minimum share of shards; a query with fewer answers fails.
	MinShare float64
	// Regions lists where the requests may be served; empty means everywhere.
	Regions []string
}

// Sharded reports whether the route's answers are merged from shards.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// Allows reports whether the route's requests may be served in a region.
func (r *Route) Allows(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, allowed := range r.Regions {
		if allowed == region {
			return true
		}
	}
	return false
}

// MinShards returns the minimum number of shards in a valid answer.
func (r *Route) MinShards() int {
	exact := r.MinShare * float64(len(r.Shards))
	count := int(exact)
	// A share such as 0.9 of 20 is not exact in binary: 18.000000000000004 must not
	// be rounded up to 19.
	if exact-float64(count) > 1e-9 {
		count++
	}
	return max(1, count)
}

// Service is the operators' configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the leaves' health check.
	HealthPath string
	// Connections is the number of connections that a leaf accepts from all hosts; 0
	// if the operators set no limit.
	Connections int
	// WarmUp is how long a leaf is cold after its start.
	WarmUp clock.Milli
	// ColdRate is the number of requests per second that a cold leaf can serve, from
	// all hosts together; 0 means no limit.
	ColdRate float64
}

// Limits bounds the requests of callers. A field that is 0 takes the default of package
// httpd.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is how long a caller may send nothing within a request.
	HeaderTimeout clock.Milli
	// IdleTimeout is how long a connection may stay open between requests.
	IdleTimeout clock.Milli
}

// Table is one version of the operators' routes.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Match returns the route of a request: the route of the host with the longest matching
// path prefix. It returns nil and false if there is none.
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

// LongestTimeout returns the longest timeout of a route, or 0 if there are no routes.
func (t *Table) LongestTimeout() clock.Milli {
	longest := clock.Milli(0)
	for i := range t.Routes {
		longest = max(longest, t.Routes[i].Timeout)
	}
	return longest
}
