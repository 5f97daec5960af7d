package cmds

import (
	"fmt"
	"time"
)

func init() { register(func() command { return &watch{} }, "watch") }

// watch polls the programs and shows changes.
type watch struct {
	adminFlags
	Every time.Duration `arg:"--every" default:"1s" help:"pause between two polls"`
	Times int           `arg:"--times" help:"stop after so many polls; 0 polls until interrupted"`
}

// Help describes the command.
func (*watch) Help() string {
	return "show changes of hosts, versions, leaves and coverage as they come"
}

// Run prints a line for each value that appears, changes or disappears between polls, and
// with JSON output only the values of the last poll. It ends with an error once a poll
// gets no answer.
func (c *watch) Run(out *printer) error {
	previous := map[string]string{}
	for n := 0; c.Times == 0 || n < c.Times; n++ {
		if n > 0 {
			time.Sleep(c.Every)
		}
		programs, err := c.fetchStatuses()
		if err != nil {
			return err
		}
		current := map[string]string{}
		for _, p := range programs {
			addWatchedValues(p, current)
		}
		clockTime := time.Now().Format(time.TimeOnly)
		for _, key := range sortedNames(current) {
			if previous[key] != current[key] {
				out.printText("%s %-44s %s", clockTime, key, current[key])
			}
		}
		for _, key := range sortedNames(previous) {
			if _, kept := current[key]; !kept {
				out.printText("%s %-44s gone", clockTime, key)
			}
		}
		previous = current
	}
	return out.printJSON(previous)
}

// addWatchedValues adds the values to watch of one program, keyed by what they describe. A
// leaf is watched at its primary aggregator, and only while it is closed or its limit is
// below its slots.
func addWatchedValues(p programStatus, values map[string]string) {
	name := p.Node.Host + "/" + p.Node.Program
	if p.Problem != "" {
		values[p.Admin] = "no answer"
		return
	}
	values[name] = fmt.Sprintf("ready %v, leaving %v", p.Node.Ready, p.Node.Leaving)
	for _, v := range p.Node.Versions {
		values[name+" "+v.Key] = fmt.Sprintf("version %d", v.Version)
	}
	for _, v := range p.Services {
		values[name+" "+v.Service] = fmt.Sprintf("snapshot %s, %d/%d%s", v.Snapshot, v.Reachable, v.Shards, formatMissing(v.Missing))
	}
	for _, l := range p.Leaves {
		if l.Primary && (l.Closed != "" || l.Limit < l.Slots) {
			values[name+" leaf "+l.Leaf] = fmt.Sprintf("limit %d of %d %s", l.Limit, l.Slots, l.Closed)
		}
	}
}
