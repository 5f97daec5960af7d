// Package meter records metrics with tally and serves them in the Prometheus
// format. Label values come from the inventory and from fixed lists, never from
// callers, so their number is bounded.
package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally reports its metrics to the Prometheus registry.
const reportInterval = time.Second

// sanitizeOptions permits the characters that names in the inventory have.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.', '/', ':', ' '},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Meter is the root of a program's metrics. The zero value and nil record nothing.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter for a program, whose name is a label of all its metrics.
func New(program string) *Meter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(error) {}, // a duplicate name loses one metric and doesn't stop the program
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dandelionstile", Tags: map[string]string{"program": program},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
		// tally's metrics about itself would double the size of the page.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Label is one label of a metric.
type Label struct{ Name, Value string }

// scopeWith returns the scope of the metrics that have these labels.
func (m *Meter) scopeWith(labels []Label) tally.Scope {
	if m == nil || m.scope == nil {
		return tally.NoopScope
	}
	if len(labels) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(labels))
	for _, l := range labels {
		tags[l.Name] = l.Value
	}
	return m.scope.Tagged(tags)
}

// Count adds to a counter.
func (m *Meter) Count(name string, n int64, labels ...Label) {
	m.scopeWith(labels).Counter(name).Inc(n)
}

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, v float64, labels ...Label) {
	m.scopeWith(labels).Gauge(name).Update(v)
}

// latencyBuckets are the bounds of latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// Latency records a duration in a histogram.
func (m *Meter) Latency(name string, d time.Duration, labels ...Label) {
	m.scopeWith(labels).Histogram(name, latencyBuckets).RecordDuration(d)
}

// Handler returns a handler that serves the metrics page. The meter must come from New.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the remaining metrics to the registry and ends the reports.
func (m *Meter) Close() error {
	if m == nil || m.closer == nil {
		return nil
	}
	return m.closer.Close()
}
