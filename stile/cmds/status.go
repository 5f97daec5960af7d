package cmds

import (
	"fmt"

	"dandelionstile/share/admin"
)

func init() { register(func() command { return &status{} }, "status", "st") }

// status shows hosts, versions in force, leaves that are closed or warm up, and quarantines.
type status struct {
	adminFlags
	Leaves bool `arg:"--leafs" help:"list every leaf, not only those that are closed or warm up"`
}

// Help describes the command.
func (*status) Help() string {
	return "show hosts, versions in force, leaves that warm up or are closed, and quarantines"
}

// Run prints the status; programs that are not ready, out of date or unreachable are a
// fault.
func (c *status) Run(out *printer) error {
	programs, err := c.fetchStatuses()
	if err != nil {
		return err
	}
	faulty := false
	for _, p := range programs {
		faulty = c.printProgram(out, p) || faulty
	}
	if newest, behind := compareVersions(programs); len(behind) > 0 {
		faulty = true
		for _, b := range behind {
			out.printText("%s %s", out.colorize(yellow, "behind:"), b)
		}
	} else {
		out.printText("configuration %d is in force on all that answered", newest)
	}
	if err := out.printJSON(programs); err != nil {
		return err
	}
	if faulty {
		return ErrFaulty
	}
	return nil
}

// printProgram prints one program, with the leaves whose primary aggregator it is. It
// reports a fault if the program did not answer or is not ready.
func (c *status) printProgram(out *printer, p programStatus) (faulty bool) {
	if p.Problem != "" {
		out.printText("%s %s: %s", out.colorize(red, "no answer:"), p.Admin, p.Problem)
		return true
	}
	n := p.Node
	state := out.colorize(green, "ready")
	switch {
	case n.Leaving:
		state = out.colorize(yellow, "leaving")
	case !n.Ready:
		state = out.colorize(red, "not ready")
	}
	platform := "platform never heard"
	if n.PlatformAge >= 0 {
		platform = fmt.Sprintf("platform heard %d ms ago", n.PlatformAge)
	}
	out.printText("%-10s %-12s %-10s %s, %s%s", n.Host, n.Domain, n.Program, state, platform, formatWatching(n))
	for _, r := range n.Rejected {
		out.printText("    refused %s %d: %s", r.Key, r.Version, r.Reason)
	}
	for _, l := range p.Leaves {
		if l.Primary && (c.Leaves || l.Closed != "" || l.RampLeft > 0) {
			out.printText("    leaf %-26s busy %d/%d of %d, queued %d, connections %d, ramp left %d ms %s",
				l.Leaf, l.Busy, l.Limit, l.Slots, l.Queued, l.Conns, l.RampLeft, l.Closed)
		}
	}
	for _, s := range p.Strikes {
		out.printText("    quarantined %s: %d servers, %d ms left", s.Fingerprint, s.Count, s.TimeLeft)
	}
	return !n.Ready
}

// formatWatching returns the mark of a program that watches the platform, or "".
func formatWatching(n admin.Node) string {
	if n.Watching {
		return ", watching"
	}
	return ""
}

// compareVersions returns the newest configuration, 0 if no program reports one, and the
// programs that have an older one. Programs that report no configuration are left out.
func compareVersions(programs []programStatus) (newest uint64, behind []string) {
	installed := map[string]uint64{}
	for _, p := range programs {
		for _, v := range p.Node.Versions {
			if v.Key == "config" {
				installed[p.Node.Host+"/"+p.Node.Program] = v.Version
				newest = max(newest, v.Version)
			}
		}
	}
	for _, name := range sortedNames(installed) {
		if installed[name] != newest {
			behind = append(behind, fmt.Sprintf("%s has configuration %d, the newest is %d", name, installed[name], newest))
		}
	}
	return newest, behind
}
