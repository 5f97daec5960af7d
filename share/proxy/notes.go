package proxy

import (
	"strconv"

	"github.com/rs/zerolog"

	"dandelionstile/share/meter"
	"dandelionstile/share/router"
)

// maxMissingLogged is the maximum number of missing shards in a log line.
const maxMissingLogged = 8

// logNote logs a decision and counts it.
func (s *Server) logNote(note router.LogRecord) {
	level := zerolog.InfoLevel
	if note.Kind.Important() {
		level = zerolog.WarnLevel
	}
	line := s.Log.WithLevel(level)
	addText(line, "request", note.Request)
	addText(line, "route", note.Route)
	addText(line, "service", note.Service)
	addText(line, "leaf", note.Leaf)
	addText(line, "cause", note.Cause)
	if note.Version > 0 {
		line.Uint64("version", note.Version)
	}
	if note.Took > 0 {
		line.Int64("took-ms", int64(note.Took))
	}
	if note.Wait > 0 {
		line.Int64("wait-ms", int64(note.Wait)).Int64("passed-ms", int64(note.SinceFirstAttempt))
	}
	if note.Due > 0 {
		line.Int64("due-ms", int64(note.Due))
	}
	addFlag(line, "forwarded", note.Forwarded)
	addFlag(line, "late", note.Late)
	addText(line, "remote", note.Remote)
	if note.Total > 0 {
		line.Int("got", note.Count).Int("of", note.Total)
	}
	if note.Extra > 0 {
		line.Int("extra", note.Extra)
	}
	if note.Kind == router.LogHedged || note.Kind == router.LogRetried || note.Kind == router.LogWithheld {
		line.Float64("budget-left", note.BudgetLeft)
	}
	if len(note.Missing) > 0 {
		line.Array("missing", missingShards(note.Missing[:min(len(note.Missing), maxMissingLogged)]))
	}
	line.Msg(note.Kind.String())
	s.countNote(note)
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

// countNote updates the metrics. Their labels come from fixed lists and the operators'
// routes, never from callers.
func (s *Server) countNote(note router.LogRecord) {
	s.Meter.Count("decisions", 1, meter.Label{Name: "kind", Value: note.Kind.String()})
	switch note.Kind {
	case router.LogAnswered, router.LogPartial:
		s.Meter.Latency("answer_time", note.Took.Duration(), meter.Label{Name: "route", Value: note.Route})
		s.Meter.Count("extra_calls", int64(note.Extra))
	case router.LogRefused:
		s.Meter.Count("refusals", 1,
			meter.Label{Name: "route", Value: note.Route}, meter.Label{Name: "reason", Value: note.Refusal.String()})
	}
}

// countCall counts a finished call to a leaf by failure domain and outcome.
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
