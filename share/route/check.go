package route

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks a table that cannot be applied.
var ErrInvalid = errors.New("invalid routes")

// Field is the part of a route that a fault concerns.
type Field string

// The fields of a route that can be invalid; FieldRoute is the route itself.
const (
	FieldRoute      Field = ""
	FieldHost       Field = "host"
	FieldPrefix     Field = "prefix"
	FieldAttempts   Field = "attempts"
	FieldTimeout    Field = "timeout"
	FieldServices   Field = "services"
	FieldShards     Field = "shards"
	FieldMinShare   Field = "least-share"
	FieldTop        Field = "top"
	FieldIdempotent Field = "idempotent"
)

// Fault is what is wrong with a route.
type Fault struct {
	// Route is the index of the route in the table.
	Route   int
	Field   Field
	Problem string
}

// Check returns all faults of a table as one error, or nil. The error names the route or
// service of each fault and is marked with ErrInvalid.
func (t *Table) Check() error {
	var found []string
	for _, f := range Faults(t.Routes) {
		found = append(found, fmt.Sprintf("route %q: %s", t.Routes[f.Route].Name, f.Problem))
	}
	for name, s := range t.Services {
		for _, problem := range s.faults() {
			found = append(found, fmt.Sprintf("service %q: %s", name, problem))
		}
	}
	if len(found) == 0 {
		return nil
	}
	return errors.Mark(errors.New(strings.Join(found, "; ")), ErrInvalid)
}

// Faults returns all faults of the routes, in the order of the routes.
func Faults(routes []Route) []Fault {
	var c checker
	type key struct{ host, prefix string }
	seen := make(map[key]string, len(routes))
	for i := range routes {
		r := &routes[i]
		c.index = i
		c.checkRoute(r)
		k := key{r.Host, r.Prefix}
		if other, ok := seen[k]; ok {
			c.addFault(FieldPrefix, "host and prefix are those of route %q", other)
		}
		seen[k] = r.Name
	}
	return c.found
}

// checker collects the faults of routes.
type checker struct {
	// index is the index of the route that is being checked.
	index int
	found []Fault
}

// addFault adds a fault of the current route.
func (c *checker) addFault(field Field, format string, args ...any) {
	c.found = append(c.found, Fault{Route: c.index, Field: field, Problem: fmt.Sprintf(format, args...)})
}

// checkRoute checks a route by itself.
func (c *checker) checkRoute(r *Route) {
	if r.Host == "" {
		c.addFault(FieldHost, "host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.addFault(FieldPrefix, "prefix %q must begin and end with a slash", r.Prefix)
	}
	if r.Attempts < 1 {
		c.addFault(FieldAttempts, "attempts %d must be at least 1", r.Attempts)
	}
	if r.Timeout <= 0 {
		c.addFault(FieldTimeout, "timeout %d ms must be above 0", r.Timeout)
	}
	switch {
	case r.Sharded() && len(r.Services) > 0:
		c.addFault(FieldRoute, "both services and shards are set")
	case r.Sharded():
		c.checkSharded(r)
	default:
		c.checkWeights(r)
	}
}

// checkSharded checks what applies only to a query over shards.
func (c *checker) checkSharded(r *Route) {
	if !r.Idempotent {
		c.addFault(FieldIdempotent, "a query over shards must be idempotent")
	}
	if r.MinShare < 0 || r.MinShare > 1 {
		c.addFault(FieldMinShare, "least share %g must be between 0 and 1", r.MinShare)
	}
	if r.TopK < 0 {
		c.addFault(FieldTop, "top %d must not be negative", r.TopK)
	}
	seen := make(map[string]bool, len(r.Shards))
	for _, s := range r.Shards {
		if seen[s] {
			c.addFault(FieldShards, "shard %q is listed twice", s)
		}
		seen[s] = true
	}
}

// checkWeights checks that no weight of the services is negative and that their sum is
// above 0.
func (c *checker) checkWeights(r *Route) {
	sum := 0.0
	for _, w := range r.Services {
		if w.Weight < 0 {
			c.addFault(FieldServices, "weight %g of service %q is negative", w.Weight, w.Service)
		}
		sum += w.Weight
	}
	if sum <= 0 {
		c.addFault(FieldServices, "no service has a weight above 0")
	}
}

// faults returns what is wrong with a service.
func (s Service) faults() []string {
	var found []string
	if s.Connections < 0 {
		found = append(found, fmt.Sprintf("connections %d must not be negative", s.Connections))
	}
	if s.ColdRate < 0 {
		found = append(found, fmt.Sprintf("cold rate %g must not be negative", s.ColdRate))
	}
	return found
}
