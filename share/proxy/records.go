package proxy

import (
	"strconv"

	"github.com/rs/zerolog"

	"dandelionstile/share/meter"
	"dandelionstile/share/router"
)

// maxMissingLogged is the maximum number of missing shards in a log line.
const maxMissingLogged = 8

// logRecord logs a decision, without the fields that have no value, and counts it.
func (s *Server) logRecord(record router.LogRecord) {
	level := zerolog.InfoLevel
	if record.Kind.Important() {
		level = zerolog.WarnLevel
	}
	line := s.Log.WithLevel(level)
	addText(line, "request", record.Request)
	addText(line, "route", record.Route)
	addText(line, "service", record.Service)
	addText(line, "leaf", record.Leaf)
	addText(line, "cause", record.Cause)
	if record.Version > 0 {
		line.Uint64("version", record.Version)
	}
	if record.Took > 0 {
		line.Int64("took-ms", int64(record.Took))
	}
	if record.Wait > 0 {
		line.Int64("wait-ms", int64(record.Wait)).Int64("passed-ms", int64(record.SinceFirstAttempt))
	}
	if record.Due > 0 {
		line.Int64("due-ms", int64(record.Due))
	}
	addFlag(line, "forwarded", record.Forwarded)
	addFlag(line, "late", record.Late)
	addText(line, "remote", record.Remote)
	if record.Total > 0 {
		line.Int("got", record.Count).Int("of", record.Total)
	}
	if record.Extra > 0 {
		line.Int("extra", record.Extra)
	}
	if record.Kind == router.LogHedged || record.Kind == router.LogRetried || record.Kind == router.LogWithheld {
		line.Float64("budget-left", record.BudgetLeft)
	}
	if len(record.Missing) > 0 {
		line.Array("missing", missingShards(record.Missing[:min(len(record.Missing), maxMissingLogged)]))
	}
	line.Msg(record.Kind.String())
	s.countRecord(record)
}

// addText adds a field unless its value is empty.
func addText(line *zerolog.Event, key, value string) {
	if value != "" {
		line.Str(key, value)
	}
}

// addFlag adds a field if it is set.
func addFlag(line *zerolog.Event, key string, set bool) {
	if set {
		line.Bool(key, true)
	}
}

// missingShards is a list of shards as a log field.
type missingShards []router.MissingShard

// MarshalZerologArray writes the service, leaf and cause of each shard.
func (m missingShards) MarshalZerologArray(a *zerolog.Array) {
	for _, shard := range m {
		a.Str(shard.Service + " " + shard.Leaf + " " + shard.Cause)
	}
}

// countRecord updates the metrics. Their labels come from fixed lists and the operators'
// routes, never from callers.
func (s *Server) countRecord(record router.LogRecord) {
	s.Meter.Count("decisions", 1, meter.Label{Name: "kind", Value: record.Kind.String()})
	switch record.Kind {
	case router.LogAnswered, router.LogPartial:
		s.Meter.Latency("answer_time", record.Took.Duration(), meter.Label{Name: "route", Value: record.Route})
		s.Meter.Count("extra_calls", int64(record.Extra))
	case router.LogRefused:
		s.Meter.Count("refusals", 1,
			meter.Label{Name: "route", Value: record.Route}, meter.Label{Name: "reason", Value: record.Refusal.String()})
	}
}

// countCall counts a finished call to a leaf by failure domain and outcome, and records
// its duration by failure domain.
func (s *Server) countCall(ended router.CountCall) {
	domain := meter.Label{Name: "domain", Value: ended.Domain}
	s.Meter.Count("leaf_calls", 1, domain, meter.Label{Name: "end", Value: ended.Kind.String()})
	s.Meter.Latency("leaf_call_time", ended.Took.Duration(), domain)
}

// requestRejected logs and counts a request that httpd has rejected because it exceeds the
// operators' limits.
func (s *Server) requestRejected(remote string, status int) {
	s.Log.Warn().Str("remote", remote).Int("status", status).Msg("request-outside-limits")
	s.Meter.Count("outside_limits", 1, meter.Label{Name: "status", Value: strconv.Itoa(status)})
}
