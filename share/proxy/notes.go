package proxy

import (
	"strconv"

	"github.com/rs/zerolog"

	"dandelionstile/share/meter"
	"dandelionstile/share/router"
)

// mostNamed bounds how many missing shards a line names.
const mostNamed = 8

// note writes a decision to the log and counts it.
func (t *Server) note(n router.Note) {
	level := zerolog.InfoLevel
	if n.Kind.Failure() {
		level = zerolog.WarnLevel
	}
	line := t.Log.WithLevel(level)
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
		line.Array("missing", misses(n.Missing[:min(len(n.Missing), mostNamed)]))
	}
	line.Msg(n.Kind.String())
	t.count(n)
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

type misses []router.MissingShard

// MarshalZerologArray writes each shard as service, leaf and cause.
func (m misses) MarshalZerologArray(a *zerolog.Array) {
	for _, one := range m {
		a.Str(one.Service + " " + one.Leaf + " " + one.Cause)
	}
}

// count keeps the counters. Their labels come from fixed lists and from the
// operators' routes, never from callers.
func (t *Server) count(n router.Note) {
	t.Meter.Count("decisions", 1, meter.Label{Name: "kind", Value: n.Kind.String()})
	switch n.Kind {
	case router.NoteAnswered, router.NotePartial:
		t.Meter.Latency("answer_time", n.Took.Duration(), meter.Label{Name: "route", Value: n.Route})
		t.Meter.Count("extra_calls", int64(n.Extra))
	case router.NoteRefused:
		t.Meter.Count("refusals", 1,
			meter.Label{Name: "route", Value: n.Route}, meter.Label{Name: "reason", Value: n.Refusal.String()})
	}
}

// ended counts calls to leafs by where the leaf stands and how they ended.
func (t *Server) ended(c router.CallEnded) {
	domain := meter.Label{Name: "domain", Value: c.Domain}
	t.Meter.Count("leaf_calls", 1, domain, meter.Label{Name: "end", Value: c.Kind.String()})
	t.Meter.Latency("leaf_call_time", c.Took.Duration(), domain)
}

// refusedUnread tells of a request outside the operators' limits.
func (t *Server) refusedUnread(remote string, status int) {
	t.Log.Warn().Str("remote", remote).Int("status", status).Msg("request-outside-limits")
	t.Meter.Count("outside_limits", 1, meter.Label{Name: "status", Value: strconv.Itoa(status)})
}
