package topo

import (
	"fmt"
	"slices"

	"dandelionstile/share/clock"
	"dandelionstile/share/conf"
	"dandelionstile/share/route"
)

// Defaults for keys that a route omits.
const (
	// defaultAttempts lets a request go to a second leaf if the first one fails.
	defaultAttempts = 2
	// defaultTimeout equals the deadline of a query without a budget.
	defaultTimeout = defaultDeadline
	// defaultMinShare requires all shards; routes that need fewer set least-share.
	defaultMinShare = 1
	// defaultHealthPath is where a service's leaves report their health.
	defaultHealthPath = "/health"
)

type fileWeighted struct {
	Service string  `yaml:"service" validate:"required"`
	Weight  float64 `yaml:"weight" validate:"gte=0"`
}

type fileRoute struct {
	Name       string         `yaml:"name" validate:"required"`
	Host       string         `yaml:"host" validate:"required"`
	Prefix     string         `yaml:"prefix" validate:"required"`
	Idempotent bool           `yaml:"idempotent"`
	Attempts   int            `yaml:"attempts" validate:"gte=0,lte=100"`
	Timeout    int64          `yaml:"timeout-ms" validate:"gte=0,lte=600000"`
	Target     int64          `yaml:"target-ms" validate:"gte=0,lte=600000"`
	Rank       int            `yaml:"rank" validate:"gte=0"`
	Service    string         `yaml:"service"`
	Services   []fileWeighted `yaml:"services" validate:"dive"`
	Shards     []string       `yaml:"shards"`
	Top        int            `yaml:"top" validate:"gte=0"`
	LeastShare float64        `yaml:"least-share" validate:"gte=0,lte=1"`
	Regions    []string       `yaml:"regions"`
}

// fieldKeys maps a route's fields to the file's keys, where they differ.
var fieldKeys = map[route.Field]string{
	route.FieldTimeout: "timeout-ms",
}

// route returns the route with defaults for the keys that the file omits.
func (f fileRoute) route() route.Route {
	r := route.Route{
		Name: f.Name, Host: f.Host, Prefix: f.Prefix, Idempotent: f.Idempotent,
		Attempts: orDefault(f.Attempts, defaultAttempts),
		Timeout:  orDefault(clock.Milli(f.Timeout), defaultTimeout), Target: clock.Milli(f.Target),
		Priority: f.Rank, Shards: f.Shards, TopK: f.Top, Regions: f.Regions,
	}
	if r.Sharded() {
		r.MinShare = orDefault(f.LeastShare, float64(defaultMinShare))
	}
	if f.Service != "" {
		r.Services = []route.WeightedService{{Service: f.Service, Weight: 1}}
	}
	for _, s := range f.Services {
		r.Services = append(r.Services, route.WeightedService(s))
	}
	return r
}

// addRoutes adds a file's routes. Faults across files, such as two routes with the
// same prefix, are found once all parts are added.
func (b *builder) addRoutes(src conf.Source, f filePart) {
	for i, r := range f.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		b.define(src, "route", r.Name, key+".name")
		b.config.Routes = append(b.config.Routes, r.route())
		b.routePositions = append(b.routePositions, position{src, key})
		if r.Service != "" && len(r.Services) > 0 {
			b.addFault(src, key+".service", "service and services are both set", "move service into services")
		}
		if r.Service != "" {
			b.addReference(src, key+".service", "service", r.Service)
		}
		for j, s := range r.Services {
			b.addReference(src, fmt.Sprintf("%s.services[%d].service", key, j), "service", s.Service)
		}
		for j, s := range r.Shards {
			b.addReference(src, fmt.Sprintf("%s.shards[%d]", key, j), "service", s)
		}
	}
}

// checkRoutes reports the faults of the routes of all files, with the file and key of
// each.
func (b *builder) checkRoutes() {
	for _, f := range route.Faults(b.config.Routes) {
		pos := b.routePositions[f.Route]
		key := pos.key
		if name, ok := fieldKeys[f.Field]; ok {
			key += "." + name
		} else if f.Field != route.FieldRoute { // a fault of the route itself has the route's key
			key += "." + string(f.Field)
		}
		b.addFault(pos.src, key, f.Problem, "")
	}
	for i, r := range b.config.Routes {
		for j, name := range r.Regions {
			if !b.hasRegion(name) {
				pos := b.routePositions[i]
				b.addFault(pos.src, fmt.Sprintf("%s.regions[%d]", pos.key, j), fmt.Sprintf("region %q has no failure domain", name), "")
			}
		}
	}
}

// hasRegion reports whether a failure domain belongs to the region.
func (b *builder) hasRegion(name string) bool {
	return slices.ContainsFunc(b.config.Inventory.Domains, func(d Domain) bool { return d.Region == name })
}

// RouteTable returns the routes with the properties of their services. A route.Service
// has a single connection limit, which applies to each of its backend servers (the router
// calls them leaves), so it is the lowest of the servers' limits.
func (c *Config) RouteTable() *route.Table {
	t := &route.Table{
		Version: c.Version, Routes: c.Routes,
		Services: make(map[string]route.Service, len(c.Inventory.Services)),
	}
	for _, s := range c.Inventory.Services {
		t.Services[s.Name] = route.Service{Name: s.Name, HealthPath: s.HealthPath, WarmUp: s.WarmUp}
	}
	for _, s := range c.Inventory.Servers {
		service := t.Services[s.Service]
		// 0 means that this is the first server of the service.
		if n := s.Connections(); service.Connections == 0 || n < service.Connections {
			service.Connections = n
		}
		t.Services[s.Service] = service
	}
	return t
}

// Connections returns how many connections the server's leaves accept together.
func (s Server) Connections() int {
	n := 0
	for _, l := range s.Leaves {
		n += l.Connections
	}
	return n
}

// Slots returns how many requests the server's leaves run concurrently.
func (s Server) Slots() int {
	n := 0
	for _, l := range s.Leaves {
		n += l.Slots
	}
	return n
}
