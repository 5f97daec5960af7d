package proxy

import (
	"strconv"

	"github.com/rs/zerolog"

	"dandelionstile/share/meter"
	"dandelionstile/share/router"
)

// maxMissingLogged is the maximum number of missing shards in a log line.
const maxMissingLogged = 8

// note logs a decision and counts it.
func (s *Server) note(n router.Note) {
	level := zerolog.InfoLevel
	if n.Kind.Failure() {
		level = zerolog.WarnLevel
	}
	line := s.Log.WithLevel(level)
	text(line, "request", n.Request)
	text(line, "route", n.Route)
	text(line, "service", n.Service)
	text(line, "leaf", n.Leaf)
	text(line, "cause", n.Cause)
	if n.Version > 0 {
		line.Uint64("version", n.Version)
	}
	if n.Took > 0 {
		line.Int64("took-ms", int64(n.Took))
	}
	if n.Wait > 0 {
		line.Int64("wait-ms", int64(n.Wait)).Int64("passed-ms", int64(n.SinceFirstAttempt))
	}
	if n.Due > 0 {
		line.Int64("due-ms", int64(n.Due))
	}
	flag(line, "forwarded", n.Forwarded)
	flag(line, "late", n.Late)
	text(line, "remote", n.Remote)
	if n.Total > 0 {
		line.Int("got", n.Count).Int("of", n.Total)
	}
	if n.Extra > 0 {
		line.Int("extra", n.Extra)
	}
	if n.Kind == router.NoteHedged || n.Kind == router.NoteRetried || n.Kind == router.NoteWithheld {
		line.Float64("budget-left", n.BudgetLeft)
	}
	if len(n.Missing) > 0 {
		line.Array("missing", missingShards(n.Missing[:min(len(n.Missing), maxMissingLogged)]))
	}
	line.Msg(n.Kind.String())
	s.count(n)
}

func text(line *zerolog.Event, key, value string) {
	if value != "" {
		line.Str(key, value)
	}
}

func flag(line *zerolog.Event, key string, set bool) {
	if set {
		line.Bool(key, true)
	}
}

type missingShards []router.MissingShard

// MarshalZerologArray writes the service, leaf and cause of each shard.
func (m missingShards) MarshalZerologArray(a *zerolog.Array) {
	for _, one := range m {
		a.Str(one.Service + " " + one.Leaf + " " + one.Cause)
	}
}

// count updates the metrics. Their labels come from fixed lists and the operators'
// routes, never from callers.
func (s *Server) count(n router.Note) {
	s.Meter.Count("decisions", 1, meter.Label{Name: "kind", Value: n.Kind.String()})
	switch n.Kind {
	case router.NoteAnswered, router.NotePartial:
		s.Meter.Latency("answer_time", n.Took.Duration(), meter.Label{Name: "route", Value: n.Route})
		s.Meter.Count("extra_calls", int64(n.Extra))
	case router.NoteRefused:
		s.Meter.Count("refusals", 1,
			meter.Label{Name: "route", Value: n.Route}, meter.Label{Name: "reason", Value: n.Refusal.String()})
	}
}

// countCall counts a finished call to a leaf by failure domain and outcome.
func (s *Server) countCall(c router.CallEnded) {
	domain := meter.Label{Name: "domain", Value: c.Domain}
	s.Meter.Count("leaf_calls", 1, domain, meter.Label{Name: "end", Value: c.Kind.String()})
	s.Meter.Latency("leaf_call_time", c.Took.Duration(), domain)
}

// rejectedUnread logs and counts a request that exceeds the operators' limits.
func (s *Server) rejectedUnread(remote string, status int) {
	s.Log.Warn().Str("remote", remote).Int("status", status).Msg("request-outside-limits")
	s.Meter.Count("outside_limits", 1, meter.Label{Name: "status", Value: strconv.Itoa(status)})
}
