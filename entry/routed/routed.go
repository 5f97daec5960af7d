// Package routed serves the routes of the inventory: it forwards requests unchanged to
// one backend server of a service, or to one of each shard. It translates a
// configuration into the topology that the router decides on.
package routed

import (
	"net/http"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"

	"dandelionstile/share/clock"
	"dandelionstile/share/httpc"
	"dandelionstile/share/meter"
	"dandelionstile/share/node"
	"dandelionstile/share/proxy"
	"dandelionstile/share/roster"
	"dandelionstile/share/router"
	"dandelionstile/share/spans"
	"dandelionstile/share/topo"
)

// Server serves routes if the settings name a listen address for them, and does
// nothing otherwise. The exported fields are set before Start.
type Server struct {
	Settings node.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Tracer   *spans.Tracer

	proxy proxy.Server
}

func (s *Server) enabled() bool { return s.Settings.Routes.Listen != "" }

// Start starts listening. Requests are rejected until a configuration is known.
func (s *Server) Start() error {
	if !s.enabled() {
		return nil
	}
	routes := s.Settings.Routes
	s.proxy = proxy.Server{
		Settings: proxy.Settings{
			CallerAddress: routes.Listen, GossipAddress: routes.Gossip, ForwardAddress: routes.Relay, Seeds: routes.Seeds,
			SourceIP: s.Settings.Listen.IP(), Dialect: httpc.DefaultDialect,
			Self:   router.HostInfo{Host: s.Settings.Host.Name, Domain: s.Settings.Host.Domain, Address: routes.Relay},
			Policy: router.Policy{BudgetRatio: routes.SecondCalls.Ratio, BudgetReserve: routes.SecondCalls.Reserve},
		},
		Log: s.Log, Meter: s.Meter, Clock: clock.Wall{}, Middleware: s.withSpan,
	}
	return s.proxy.Start()
}

// headerTraceParent carries the parent span of a request (W3C trace context).
const headerTraceParent = "traceparent"

// withSpan gives each request a span below the span of its sender, and makes it the
// parent span that is sent on to other hosts and leaves.
func (s *Server) withSpan(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		span := s.Tracer.Start(r.Header.Get(headerTraceParent), "routed",
			attribute.String("request", r.Header.Get(httpc.DefaultDialect.RequestID)), attribute.String("path", r.URL.Path))
		defer span.End()
		if parent := span.Traceparent(); parent != "" {
			r.Header.Set(headerTraceParent, parent)
		}
		next.ServeHTTP(w, r)
	})
}

// Configure applies a configuration.
func (s *Server) Configure(cfg *topo.Config) {
	if s.enabled() {
		s.proxy.SetTopology(newTopology(cfg))
	}
}

// Addr returns the address that callers connect to; empty if routes are disabled.
func (s *Server) Addr() string {
	if !s.enabled() {
		return ""
	}
	return s.proxy.Addr()
}

// Ready reports whether requests can be served; it is true if routes are disabled.
func (s *Server) Ready() bool { return !s.enabled() || s.proxy.Ready() }

// Leave drains the requests in flight.
func (s *Server) Leave() {
	if s.enabled() {
		s.proxy.Leave()
	}
}

// Close stops the server and waits.
func (s *Server) Close() error {
	if !s.enabled() {
		return nil
	}
	return s.proxy.Close()
}

// newTopology translates a configuration into the router's topology. Each backend server
// becomes one leaf: an opaque request does not name the leaves on the server.
func newTopology(cfg *topo.Config) router.Topology {
	topology := router.Topology{
		Table:      cfg.RouteTable(),
		DomainsOut: make(map[string]bool, len(cfg.Rules.DomainsOut)),
		Regions:    make(map[string]string, len(cfg.Inventory.Domains)),
	}
	for _, d := range cfg.Inventory.Domains {
		topology.Regions[d.Name] = d.Region
	}
	for _, d := range cfg.Rules.DomainsOut {
		topology.DomainsOut[d] = true
	}
	limits := cfg.ServerLimits()
	for _, s := range cfg.Inventory.Servers {
		limit := limits[s.Name]
		topology.Leaves = append(topology.Leaves, roster.Leaf{
			ID: s.Name, Service: s.Service, Address: s.Address, Domain: s.Domain,
			Slots: slotsOf(s, limit.Slots), Draining: limit.Out,
		})
	}
	return topology
}

// slotsOf returns how many requests a server handles concurrently, with each of its
// leaves capped at limit; a limit of 0 sets no cap.
func slotsOf(s topo.Server, limit int) int {
	if limit == 0 {
		return s.Slots()
	}
	n := 0
	for _, l := range s.Leaves {
		n += min(l.Slots, limit)
	}
	return n
}
