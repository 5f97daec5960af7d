package cmds

import (
	"fmt"
	"time"
)

func init() { register(func() command { return &watch{} }, "watch") }

// watch shows changes as they come.
type watch struct {
	asking
	Every time.Duration `arg:"--every" default:"1s" help:"pause between two looks"`
	Times int           `arg:"--times" help:"stop after so many looks; 0 goes on"`
}

// Help describes the command.
func (*watch) Help() string {
	return "show changes of hosts, versions, leafs and coverage as they come"
}

// Run prints a line for each change.
func (c *watch) Run(out *printer) error {
	last := map[string]string{}
	for n := 0; c.Times == 0 || n < c.Times; n++ {
		if n > 0 {
			time.Sleep(c.Every)
		}
		all, err := c.status()
		if err != nil {
			return err
		}
		now := map[string]string{}
		for _, p := range all {
			facts(p, now)
		}
		at := time.Now().Format(time.TimeOnly)
		for _, key := range sortedNames(now) {
			if last[key] != now[key] {
				out.line("%s %-44s %s", at, key, now[key])
			}
		}
		for _, key := range sortedNames(last) {
			if _, still := now[key]; !still {
				out.line("%s %-44s gone", at, key)
			}
		}
		last = now
	}
	return out.value(last)
}

// facts lists what is watched of a program.
func facts(p program, into map[string]string) {
	name := p.Node.Host + "/" + p.Node.Program
	if p.Problem != "" {
		into[p.Admin] = "no answer"
		return
	}
	into[name] = fmt.Sprintf("ready %v, leaving %v", p.Node.Ready, p.Node.Leaving)
	for _, v := range p.Node.Versions {
		into[name+" "+v.Key] = fmt.Sprintf("version %d", v.Version)
	}
	for _, v := range p.Services {
		into[name+" "+v.Service] = fmt.Sprintf("snapshot %s, %d/%d%s", v.Snapshot, v.Answered, v.Shards, reasons(v.Missing))
	}
	for _, f := range p.Leaves {
		if f.Primary && (f.Closed != "" || f.Limit < f.Slots) {
			into[name+" leaf "+f.Leaf] = fmt.Sprintf("limit %d of %d %s", f.Limit, f.Slots, f.Closed)
		}
	}
}
