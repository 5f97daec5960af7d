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

// losses summarizes lost requests by route, cause and time.
type losses struct {
	outputFlags
	Every time.Duration `arg:"--every" default:"2s" help:"length of one time span in the table"`
	Logs  []string      `arg:"--logs,-l,separate,required" placeholder:"FILE" help:"log of a host, - for standard input; may be given again"`
}

// Help describes the command.
func (*losses) Help() string {
	return "sum up which requests were not served whole and in time, by route, cause and second"
}

// ErrNoRequests reports that the logs hold no admitted or refused request.
var ErrNoRequests = errors.New("the logs tell of no request")

// Run reads the logs and prints the tables.
func (c *losses) Run(out *printer) error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	l := sumLosses(lines, c.Every.Milliseconds())
	if len(l.Spans) == 0 {
		return ErrNoRequests
	}
	out.printText("%-28s %8s %8s", "route", "asked", "lost")
	for _, r := range l.Routes {
		out.printText("%-28s %8d %8.1f", r.Name, r.Asked, r.Lost)
	}
	out.printText("\n%-72s %8s %8s", "cause", "times", "lost")
	for _, r := range l.Causes {
		out.printText("%-72s %8d %8.1f", r.Name, r.Asked, r.Lost)
	}
	out.printText("\n%8s %8s %8s  %s", "second", "asked", "lost", "most for")
	for _, s := range l.Spans {
		out.printText("%8.1f %8d %8.1f  %s", s.From, s.Asked, s.Lost, s.Cause)
	}
	return out.printJSON(l)
}

// lossTable sums the losses of the requests in the logs. A request that is answered
// completely and in time loses 0, one that lacks shards loses their share, and one that
// is late or refused, or whose caller disconnects, loses 1. One whose end is not in the logs
// loses 0. Each attempt of a caller counts as a request.
type lossTable struct {
	Routes []lossRow  `json:"Routes"`
	Causes []lossRow  `json:"Causes"`
	Spans  []lossSpan `json:"Spans"`
}

// lossRow is the loss of one route or cause. Asked counts the requests of a route, or
// those that a cause affected.
type lossRow struct {
	Name  string  `json:"Name"`
	Asked int     `json:"Asked"`
	Lost  float64 `json:"Lost"`
}

// lossSpan is the loss of the requests that arrived in one time span, with the cause of
// the largest part. From is in seconds since the first request.
type lossSpan struct {
	From  float64 `json:"From"`
	Asked int     `json:"Asked"`
	Lost  float64 `json:"Lost"`
	Cause string  `json:"Cause"`

	causes map[string]float64
}

// loss records what one request lost, by cause, as logged by the host that its caller
// sent it to.
type loss struct {
	route         string
	arrivedMillis int64
	causes        map[string]float64
}

func newLoss(l logLine) *loss {
	return &loss{route: l.text("route"), arrivedMillis: l.Time, causes: map[string]float64{}}
}

// sumLosses computes the loss of each request whose admission or refusal the logs hold, and
// sums them up. Lines about forwarded requests only add causes to the request of the host
// that forwarded it.
func sumLosses(lines []logLine, spanMillis int64) lossTable {
	peerCauses := forwardedCauses(lines)
	byRequest := map[string]*loss{}
	var requests []*loss
	for _, l := range lines {
		if l.Request == "" || l.boolean("forwarded") {
			continue
		}
		switch l.Message {
		case "admitted":
			request := newLoss(l)
			byRequest[l.Request] = request
			requests = append(requests, request)
		case "refused":
			request := byRequest[l.Request]
			if request == nil {
				request = newLoss(l)
				requests = append(requests, request)
			}
			request.causes["refused, "+normalizeCause(l.text("cause"))] = 1
		case "caller-gone":
			if request := byRequest[l.Request]; request != nil {
				request.causes["the caller left"] = 1
			}
		case "answered", "answered-in-part":
			if request := byRequest[l.Request]; request != nil {
				request.recordAnswer(l, peerCauses)
			}
		}
	}
	return summarize(requests, spanMillis)
}

// recordAnswer records what an answer lacks: everything if it is late, otherwise the
// share of the missing shards. Shards that the line counts but does not name get a
// common cause. An answer without a number of shards lacks nothing.
func (r *loss) recordAnswer(l logLine, peerCauses map[shardKey]string) {
	if l.boolean("late") {
		r.causes["answered late"] = 1
		return
	}
	total, missing := l.number("of"), l.list("missing")
	if total == 0 {
		return
	}
	named := 0.0
	for _, text := range missing {
		words := strings.SplitN(text, " ", 3) // shard, leaf or host, cause
		if len(words) < 3 {
			continue
		}
		named++
		cause := normalizeCause(words[2])
		if peerCause, ok := peerCauses[shardKey{l.Request, words[0]}]; ok {
			cause = "at the host it was handed to: " + peerCause
		}
		r.causes["missing, "+cause] += 1 / total
	}
	if unnamed := total - l.number("got") - named; unnamed > 0 {
		r.causes["missing, not named"] += unnamed / total
	}
}

// shardKey identifies a shard of a request that was forwarded to another host.
type shardKey struct{ request, shard string }

// forwardedCauses returns the causes that other hosts logged for the shards that were
// forwarded to them and that they could not answer.
func forwardedCauses(lines []logLine) map[shardKey]string {
	causes := map[shardKey]string{}
	for _, l := range lines {
		if !l.boolean("forwarded") {
			continue
		}
		for _, text := range l.list("missing") {
			if words := strings.SplitN(text, " ", 3); len(words) == 3 {
				causes[shardKey{l.Request, words[0]}] = normalizeCause(words[2])
			}
		}
	}
	return causes
}

// normalizeCause replaces figures and addresses, which differ between requests, so that
// equal causes compare equal.
func normalizeCause(cause string) string {
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

// summarize sums losses by route, by cause, and by time spans of spanMillis that begin
// with the first request.
func summarize(requests []*loss, spanMillis int64) lossTable {
	if len(requests) == 0 {
		return lossTable{}
	}
	start := slices.MinFunc(requests, func(a, b *loss) int { return cmp.Compare(a.arrivedMillis, b.arrivedMillis) }).arrivedMillis
	routes, causes := map[string]*lossRow{}, map[string]*lossRow{}
	spans := map[int64]*lossSpan{}
	for _, r := range requests {
		index := (r.arrivedMillis - start) / max(1, spanMillis) // spanMillis is 0 if --every is below 1 ms
		span := spans[index]
		if span == nil {
			span = &lossSpan{From: float64(index*spanMillis) / 1000, causes: map[string]float64{}}
			spans[index] = span
		}
		span.Asked++
		addLoss(routes, r.route, 0) // counts the request; its losses are added by cause
		for cause, lost := range r.causes {
			routes[r.route].Lost += lost
			addLoss(causes, cause, lost)
			span.Lost += lost
			span.causes[cause] += lost
		}
	}
	t := lossTable{Routes: sortByLoss(routes), Causes: sortByLoss(causes)}
	for _, index := range slices.Sorted(maps.Keys(spans)) {
		s := spans[index]
		for _, cause := range slices.Sorted(maps.Keys(s.causes)) {
			if s.Cause == "" || s.causes[cause] > s.causes[s.Cause] {
				s.Cause = cause
			}
		}
		t.Spans = append(t.Spans, *s)
	}
	return t
}

// addLoss adds a loss to the row of a name and counts it.
func addLoss(rows map[string]*lossRow, name string, lost float64) {
	if rows[name] == nil {
		rows[name] = &lossRow{Name: name}
	}
	rows[name].Asked++
	rows[name].Lost += lost
}

// sortByLoss returns the rows in descending order of their loss, then by name.
func sortByLoss(rows map[string]*lossRow) []lossRow {
	var list []lossRow
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b lossRow) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Name, b.Name))
	})
	return list
}
