package cmds

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

func init() { register(func() command { return &losses{} }, "losses") }

// losses sums up what callers did not get, by cause and by time.
type losses struct {
	output
	Every time.Duration `arg:"--every" default:"2s" help:"length of the spans of time that are told apart"`
	Logs  []string      `arg:"--logs,-l,separate,required" placeholder:"FILE" help:"log of a host, - for standard input; may be given again"`
}

// Help describes the command.
func (*losses) Help() string {
	return "sum up which requests were not served whole and in time, by route, cause and second"
}

// ErrNoRequests means that no request was admitted or refused in the logs.
var ErrNoRequests = errors.New("the logs tell of no request")

// Run reads the logs and prints the tables.
func (c *losses) Run(out *printer) error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	l := lossesOf(lines, c.Every.Milliseconds())
	if len(l.Spans) == 0 {
		return ErrNoRequests
	}
	out.line("%-28s %8s %8s", "route", "asked", "lost")
	for _, r := range l.Routes {
		out.line("%-28s %8d %8.1f", r.Name, r.Asked, r.Lost)
	}
	out.line("\n%-72s %8s %8s", "cause", "times", "lost")
	for _, r := range l.Causes {
		out.line("%-72s %8d %8.1f", r.Name, r.Asked, r.Lost)
	}
	out.line("\n%8s %8s %8s  %s", "second", "asked", "lost", "most for")
	for _, s := range l.Spans {
		out.line("%8.1f %8d %8.1f  %s", s.From, s.Asked, s.Lost, s.Cause)
	}
	return out.value(l)
}

// lossTable says what was lost of the requests in the logs. A request that is
// served whole and in time loses nothing, one that lacks shards their share,
// one that is late or has no answer the whole of it. Each attempt of a caller
// counts as a request.
type lossTable struct {
	Routes []lossRow  `json:"Routes"`
	Causes []lossRow  `json:"Causes"`
	Spans  []lossSpan `json:"Spans"`
}

// lossRow is what was lost for one route or cause.
type lossRow struct {
	Name  string  `json:"Name"`
	Asked int     `json:"Asked"`
	Lost  float64 `json:"Lost"`
}

// lossSpan is what was lost of the requests that came in a span of time, and
// the cause of most of it. From is in seconds from the first request.
type lossSpan struct {
	From  float64 `json:"From"`
	Asked int     `json:"Asked"`
	Lost  float64 `json:"Lost"`
	Cause string  `json:"Cause"`

	causes map[string]float64
}

// loss is a request at the host that its caller sent it to.
type loss struct {
	route  string
	at     int64
	causes map[string]float64
}

func newLoss(l logLine) *loss {
	return &loss{route: l.text("route"), at: l.Time, causes: map[string]float64{}}
}

// lossesOf finds what each request lost.
func lossesOf(lines []logLine, every int64) lossTable {
	parts := forwardedMisses(lines)
	open := map[string]*loss{}
	var all []*loss
	for _, l := range lines {
		if l.Request == "" || l.truth("forwarded") {
			continue
		}
		switch l.Message {
		case "admitted":
			one := newLoss(l)
			open[l.Request] = one
			all = append(all, one)
		case "refused":
			one := open[l.Request]
			if one == nil {
				one = newLoss(l)
				all = append(all, one)
			}
			one.causes["refused, "+plain(l.text("cause"))] = 1
		case "caller-gone":
			if one := open[l.Request]; one != nil {
				one.causes["the caller left"] = 1
			}
		case "answered", "answered-in-part":
			if one := open[l.Request]; one != nil {
				one.answered(l, parts)
			}
		}
	}
	return tables(all, every)
}

// answered finds what an answer lacks.
func (o *loss) answered(l logLine, parts map[partKey]string) {
	if l.truth("late") {
		o.causes["answered late"] = 1
		return
	}
	of, missing := l.number("of"), l.list("missing")
	if of == 0 {
		return
	}
	named := 0.0
	for _, text := range missing {
		words := strings.SplitN(text, " ", 3)
		if len(words) < 3 {
			continue
		}
		named++
		cause := plain(words[2])
		if there, ok := parts[partKey{l.Request, words[0]}]; ok {
			cause = "at the host it was handed to: " + there
		}
		o.causes["missing, "+cause] += 1 / of
	}
	if rest := of - l.number("got") - named; rest > 0 {
		o.causes["missing, not named"] += rest / of
	}
}

// partKey is a shard of a request that was handed to another host.
type partKey struct{ request, shard string }

// forwardedMisses are the causes for which other hosts lacked the shards that
// they were handed.
func forwardedMisses(lines []logLine) map[partKey]string {
	causes := map[partKey]string{}
	for _, l := range lines {
		if !l.truth("forwarded") {
			continue
		}
		for _, text := range l.list("missing") {
			if words := strings.SplitN(text, " ", 3); len(words) == 3 {
				causes[partKey{l.Request, words[0]}] = plain(words[2])
			}
		}
	}
	return causes
}

// plain leaves out what differs from one request to the next: figures and
// addresses.
func plain(cause string) string {
	words := strings.Fields(cause)
	kept := words[:0]
	for _, w := range words {
		if strings.ContainsAny(w, "0123456789") {
			w = "N"
		}
		kept = append(kept, w)
	}
	return strings.Join(kept, " ")
}

func tables(all []*loss, every int64) lossTable {
	if len(all) == 0 {
		return lossTable{}
	}
	start := slices.MinFunc(all, func(a, b *loss) int { return cmp.Compare(a.at, b.at) }).at
	routes, causes := map[string]*lossRow{}, map[string]*lossRow{}
	spans := map[int64]*lossSpan{}
	for _, o := range all {
		n := (o.at - start) / max(1, every)
		span := spans[n]
		if span == nil {
			span = &lossSpan{From: float64(n*every) / 1000, causes: map[string]float64{}}
			spans[n] = span
		}
		span.Asked++
		addLoss(routes, o.route, 0)
		for cause, lost := range o.causes {
			routes[o.route].Lost += lost
			addLoss(causes, cause, lost)
			span.Lost += lost
			span.causes[cause] += lost
		}
	}
	t := lossTable{Routes: byLoss(routes), Causes: byLoss(causes)}
	for _, n := range slices.Sorted(maps.Keys(spans)) {
		s := spans[n]
		for _, cause := range slices.Sorted(maps.Keys(s.causes)) {
			if s.Cause == "" || s.causes[cause] > s.causes[s.Cause] {
				s.Cause = cause
			}
		}
		t.Spans = append(t.Spans, *s)
	}
	return t
}

func addLoss(rows map[string]*lossRow, name string, lost float64) {
	if rows[name] == nil {
		rows[name] = &lossRow{Name: name}
	}
	rows[name].Asked++
	rows[name].Lost += lost
}

func byLoss(rows map[string]*lossRow) []lossRow {
	var list []lossRow
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b lossRow) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Name, b.Name))
	})
	return list
}
