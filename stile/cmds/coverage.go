package cmds

import (
	"strconv"

	"dandelionstile/share/admin"
)

func init() { register(func() command { return &coverage{} }, "coverage", "cov") }

// coverage shows what each entry could answer now.
type coverage struct{ asking }

type shownCoverage struct {
	Host     string          `json:"host"`
	Services []admin.Service `json:"services"`
}

// Help describes the command.
func (*coverage) Help() string {
	return "show, for each entry and service, which shards it could answer now"
}

// Run prints it; a missing shard is a fault.
func (c *coverage) Run(out *printer) error {
	all, err := c.status()
	if err != nil {
		return err
	}
	missing := false
	shown := []shownCoverage{}
	for _, p := range all {
		if p.Node.Program != "entry" {
			continue
		}
		shown = append(shown, shownCoverage{Host: p.Node.Host, Services: p.Services})
		for _, v := range p.Services {
			missing = missing || len(v.Missing) > 0
			color := green
			if len(v.Missing) > 0 {
				color = red
			}
			out.line("%-10s %-24s snapshot %-8s %s%s", p.Node.Host, v.Service, v.Snapshot,
				out.paint(color, strconv.Itoa(v.Answered)+"/"+strconv.Itoa(v.Shards)), reasons(v.Missing))
		}
	}
	if err := out.value(shown); err != nil {
		return err
	}
	if missing {
		return ErrFaulty
	}
	return nil
}

func reasons(list []admin.Missing) string {
	text := ""
	for _, m := range list {
		text += " " + strconv.Itoa(m.Shard) + "=" + m.Reason
	}
	return text
}
