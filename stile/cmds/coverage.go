package cmds

import (
	"strconv"

	"dandelionstile/share/admin"
)

func init() { register(func() command { return &coverage{} }, "coverage", "cov") }

// coverage shows which shards each entry can reach.
type coverage struct{ adminFlags }

type coverageResult struct {
	Host     string          `json:"host"`
	Services []admin.Service `json:"services"`
}

// Help describes the command.
func (*coverage) Help() string {
	return "show, for each entry and service, which shards it could answer now"
}

// Run prints the coverage of each entry; a missing shard is a fault. Programs that did not
// answer are left out.
func (c *coverage) Run(out *printer) error {
	programs, err := c.fetchStatuses()
	if err != nil {
		return err
	}
	missing := false
	shown := []coverageResult{}
	for _, p := range programs {
		if p.Node.Program != "entry" {
			continue
		}
		shown = append(shown, coverageResult{Host: p.Node.Host, Services: p.Services})
		for _, s := range p.Services {
			missing = missing || len(s.Missing) > 0
			color := green
			if len(s.Missing) > 0 {
				color = red
			}
			out.printText("%-10s %-24s snapshot %-8s %s%s", p.Node.Host, s.Service, s.Snapshot,
				out.colorize(color, strconv.Itoa(s.Reachable)+"/"+strconv.Itoa(s.Shards)), formatMissing(s.Missing))
		}
	}
	if err := out.printJSON(shown); err != nil {
		return err
	}
	if missing {
		return ErrFaulty
	}
	return nil
}

// formatMissing formats missing shards as " SHARD=REASON", each with a leading space.
func formatMissing(list []admin.Missing) string {
	text := ""
	for _, m := range list {
		text += " " + strconv.Itoa(m.Shard) + "=" + m.Reason
	}
	return text
}
