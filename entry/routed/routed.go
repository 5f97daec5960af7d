// Package routed serves the routes of the operators' inventory: requests that
// are passed on as they are, to one backend server of a service or to one of
// each shard. It translates a configuration into what the tier goes by; all
// decisions are the tier's.
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

// Routed serves routes where the settings name an address for them, and does
// nothing where they do not. The exported fields are set before Start.
type Routed struct {
	Settings node.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Tracer   *spans.Tracer

	tier proxy.Server
}

func (r *Routed) on() bool { return r.Settings.Routes.Listen != "" }

// Start listens. Requests are refused until a configuration is known.
func (r *Routed) Start() error {
	if !r.on() {
		return nil
	}
	s := r.Settings.Routes
	r.tier = proxy.Server{
		Settings: proxy.Settings{
			CallerAddress: s.Listen, GossipAddress: s.Gossip, ForwardAddress: s.Relay, Seeds: s.Seeds,
			SourceIP: r.Settings.Listen.IP(), Dialect: httpc.DefaultDialect,
			Self:   router.HostInfo{Host: r.Settings.Host.Name, Domain: r.Settings.Host.Domain, Address: s.Relay},
			Policy: router.Policy{BudgetRatio: s.SecondCalls.Ratio, BudgetReserve: s.SecondCalls.Reserve},
		},
		Log: r.Log, Meter: r.Meter, Clock: clock.Wall{}, Middleware: r.traced,
	}
	return r.tier.Start()
}

// headerTrace names a request's place in its trace (W3C trace context).
const headerTrace = "traceparent"

// traced gives each request a span below its sender's, which other hosts and
// leafs are told in turn.
func (r *Routed) traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		span := r.Tracer.Start(q.Header.Get(headerTrace), "routed",
			attribute.String("request", q.Header.Get(httpc.DefaultDialect.RequestID)), attribute.String("path", q.URL.Path))
		defer span.End()
		if parent := span.Parent(); parent != "" {
			q.Header.Set(headerTrace, parent)
		}
		next.ServeHTTP(w, q)
	})
}

// Configure puts a configuration in force.
func (r *Routed) Configure(cfg *topo.Config) {
	if r.on() {
		r.tier.SetFacts(facts(cfg))
	}
}

// Addr is the address that callers connect to; empty where none is served.
func (r *Routed) Addr() string {
	if !r.on() {
		return ""
	}
	return r.tier.Addr()
}

// Ready tells whether callers should come here.
func (r *Routed) Ready() bool { return !r.on() || r.tier.Ready() }

// Leave ends the work in order.
func (r *Routed) Leave() {
	if r.on() {
		r.tier.Leave()
	}
}

// Close ends everything and waits.
func (r *Routed) Close() error {
	if !r.on() {
		return nil
	}
	return r.tier.Close()
}

// facts is a configuration as the tier goes by it. A backend server is one leaf
// there: an opaque request names none of the server's own.
func facts(cfg *topo.Config) router.Facts {
	f := router.Facts{
		Table:      cfg.RouteTable(),
		DomainsOut: make(map[string]bool, len(cfg.Rules.DomainsOut)),
		Regions:    make(map[string]string, len(cfg.Inventory.Domains)),
	}
	for _, d := range cfg.Inventory.Domains {
		f.Regions[d.Name] = d.Region
	}
	for _, d := range cfg.Rules.DomainsOut {
		f.DomainsOut[d] = true
	}
	carry := cfg.ServerLimits()
	for _, s := range cfg.Inventory.Servers {
		rule := carry[s.Name]
		f.Leaves = append(f.Leaves, roster.Leaf{
			ID: s.Name, Service: s.Service, Address: s.Address, Domain: s.Domain,
			Slots: slots(s, rule.Slots), Draining: rule.Out,
		})
	}
	return f
}

// slots is how many requests a server works on at once, with each of its leafs
// held to the operators' cap; 0 caps nothing.
func slots(s topo.Server, most int) int {
	if most == 0 {
		return s.Slots()
	}
	n := 0
	for _, l := range s.Leaves {
		n += min(l.Slots, most)
	}
	return n
}
