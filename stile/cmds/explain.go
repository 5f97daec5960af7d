package cmds

import (
	"net/url"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/fetch"
	"dandelionstile/share/show"
)

func init() { register(func() command { return &explain{} }, "explain") }

// explain tells why a query went where.
type explain struct {
	asking
	ID string `arg:"positional,required" help:"id of the answer"`
}

// Help describes the command.
func (*explain) Help() string {
	return "tell why a query went where, and what was retried, hedged or refused"
}

// Run asks the entries until one knows the query.
func (c *explain) Run(out *printer) error {
	engine := &fetch.Engine{}
	if err := engine.Start(); err != nil {
		return err
	}
	defer func() { _ = engine.Close() }() // only reads were made
	for _, addr := range c.Admin {
		var q show.Query
		if err := c.get(engine, addr, "/v1/explain/"+url.PathEscape(c.ID), &q); err == nil {
			return printQuery(out, q)
		}
	}
	return errors.Wrapf(ErrUnreachable, "no entry that was asked knows %s; each keeps its last 2000 queries", c.ID)
}

func printQuery(out *printer, q show.Query) error {
	out.line("query %s, service %s, snapshot %s", q.ID, q.Service, q.Snapshot)
	if q.Refused != "" {
		out.line("%s %s", out.paint(red, "refused:"), q.Refused)
	}
	out.line("answered %d of %d shards in %d ms with %d leaf calls, %d of them extra%s",
		q.Answered, q.Shards, q.Took, q.Calls, q.Extra, reasons(q.Missing))
	for _, s := range q.Steps {
		out.line("%6d ms  %-15s shard %-4d %-26s %-10s %s", s.At, s.Event, s.Shard, s.Leaf, s.Host, s.Cause)
	}
	return out.value(q)
}
