package cmds

import (
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/admin"
	"dandelionstile/share/fetch"
)

func init() { register(func() command { return &explain{} }, "explain") }

// explain shows the decisions about one query.
type explain struct {
	outputFlags
	Admin   []string      `arg:"--admin,-a,separate" placeholder:"IP:PORT" help:"admin address of an entry; may be given again"`
	Timeout time.Duration `arg:"--timeout" default:"2s" help:"how long one program may take"`
	Logs    []string      `arg:"--logs,-l,separate" placeholder:"FILE" help:"log of a host, - for standard input; may be given again"`
	ID      string        `arg:"positional,required" help:"id of the request or answer"`
}

// Help describes the command.
func (*explain) Help() string {
	return "tell why a query went where, and what was retried, hedged or refused"
}

// ErrNoSource reports that neither logs nor programs were given.
var ErrNoSource = errors.New("give --logs or --admin")

// Run reads the logs, or queries the entries until one knows the query. Entries that do not
// answer are skipped. The logs take precedence.
func (c *explain) Run(out *printer) error {
	if len(c.Logs) > 0 {
		lines, err := readLogs(c.Logs)
		if err != nil {
			return err
		}
		return printTimeline(out, relatedLines(lines, c.ID), c.ID)
	}
	if len(c.Admin) == 0 {
		return ErrNoSource
	}
	flags := adminFlags{Timeout: c.Timeout}
	engine := &fetch.Engine{}
	if err := engine.Start(); err != nil {
		return err
	}
	defer func() { _ = engine.Close() }() // the engine only made reads
	for _, addr := range c.Admin {
		var q admin.Query
		if err := flags.getJSON(engine, addr, "/v1/explain/"+url.PathEscape(c.ID), &q); err == nil {
			return printQuery(out, q)
		}
	}
	return errors.Wrapf(ErrUnreachable, "no entry that was asked knows %s; each keeps its last 2000 queries", c.ID)
}

// printQuery prints the coverage of a query's answer and the steps that led to it.
func printQuery(out *printer, q admin.Query) error {
	out.printText("query %s, service %s, snapshot %s", q.ID, q.Service, q.Snapshot)
	if q.Refused != "" {
		out.printText("%s %s", out.colorize(red, "refused:"), q.Refused)
	}
	out.printText("answered %d of %d shards in %d ms with %d leaf calls, %d of them extra%s",
		q.Answered, q.Shards, q.Took, q.Calls, q.Extra, formatMissing(q.Missing))
	for _, s := range q.Steps {
		out.printText("%6d ms  %-15s shard %-4d %-26s %-10s %s", s.At, s.Event, s.Shard, s.Leaf, s.Host, s.Cause)
	}
	return out.printJSON(q)
}
