package cmds

import (
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/route"
)

func init() { register(func() command { return &diff{} }, "diff") }

// diff shows the effects of a configuration change before it is published.
type diff struct {
	outputFlags
	Before string `arg:"positional,required" help:"file or directory that is in force"`
	After  string `arg:"positional,required" help:"file or directory to publish"`
}

// serviceChange counts the shards that lose all leaves in service, and those that are
// left with a single one.
type serviceChange struct {
	Service      string `json:"service"`
	SlotsBefore  int    `json:"slots-before"`
	SlotsAfter   int    `json:"slots-after"`
	ShardsLost   int    `json:"shards-lost"`
	ShardsSingle int    `json:"shards-left-with-one-leaf"`
}

type leafChange struct {
	Leaf   string `json:"leaf"`
	Server string `json:"server"`
	Change string `json:"change"`
}

type routeChange struct {
	Route  string `json:"route"`
	Change string `json:"change"`
}

type diffResult struct {
	Leaves   []leafChange    `json:"leafs"`
	Services []serviceChange `json:"services"`
	Routes   []routeChange   `json:"routes"`
	Safe     bool            `json:"safe"`
}

// Help describes the command.
func (*diff) Help() string { return "tell what a change would do: leaves, capacity and coverage lost" }

// Run prints the difference; losing coverage is a fault.
func (c *diff) Run(out *printer) error {
	before, err := loadConfig([]string{c.Before})
	if err != nil {
		return errors.Wrap(err, c.Before)
	}
	after, err := loadConfig([]string{c.After})
	if err != nil {
		return errors.Wrap(err, c.After)
	}
	result := compareCapacity(capacityOf(before), capacityOf(after))
	result.Routes = compareRoutes(before.Routes, after.Routes)
	for _, l := range result.Leaves {
		out.printText("leaf %-28s %s", l.Leaf, l.Change)
	}
	for _, s := range result.Services {
		out.printText("service %-25s slots %d -> %d, shards lost %d, left with one leaf %d",
			s.Service, s.SlotsBefore, s.SlotsAfter, s.ShardsLost, s.ShardsSingle)
	}
	for _, r := range result.Routes {
		out.printText("route %-27s %s", r.Route, r.Change)
	}
	if result.Safe {
		out.printText("%s no shard loses its last leaf", out.colorize(green, "safe:"))
	} else {
		out.printText("%s answers will lack shards", out.colorize(red, "coverage is lost:"))
	}
	if err := out.printJSON(result); err != nil {
		return err
	}
	if !result.Safe {
		return ErrFaulty
	}
	return nil
}

// compareCapacity lists the leaves and services that change. The change is safe if no
// shard of the services that remain loses its last leaf.
func compareCapacity(before, after capacity) diffResult {
	d := diffResult{Leaves: []leafChange{}, Services: []serviceChange{}, Safe: true}
	for _, name := range sortedNames(before.leaves) {
		previous := before.leaves[name]
		current, kept := after.leaves[name]
		switch {
		case !kept:
			d.Leaves = append(d.Leaves, leafChange{name, previous.server, "is no longer in the inventory"})
		case previous.outReason == "" && current.outReason != "":
			d.Leaves = append(d.Leaves, leafChange{name, previous.server, "loses its work: " + current.outReason})
		case previous.outReason != "" && current.outReason == "":
			d.Leaves = append(d.Leaves, leafChange{name, previous.server, "gets work again, warmed up"})
		case previous.slots != current.slots:
			d.Leaves = append(d.Leaves, leafChange{name, previous.server, "changes its slots"})
		}
	}
	for _, name := range sortedNames(after.leaves) {
		if _, known := before.leaves[name]; !known {
			d.Leaves = append(d.Leaves, leafChange{name, after.leaves[name].server, "is new"})
		}
	}
	for _, name := range sortedNames(after.services) {
		change := compareService(name, before.services[name], after.services[name])
		d.Safe = d.Safe && change.ShardsLost == 0
		if change.SlotsBefore != change.SlotsAfter || change.ShardsLost > 0 || change.ShardsSingle > 0 {
			d.Services = append(d.Services, change)
		}
	}
	sort.Slice(d.Leaves, func(i, j int) bool { return d.Leaves[i].Leaf < d.Leaves[j].Leaf })
	return d
}

// compareRoutes lists the changes of routes, sorted by name.
func compareRoutes(before, after []route.Route) []routeChange {
	list := []routeChange{}
	previous := make(map[string]*route.Route, len(before))
	for i := range before {
		previous[before[i].Name] = &before[i]
	}
	kept := make(map[string]bool, len(after))
	for i := range after {
		r := &after[i]
		kept[r.Name] = true
		old := previous[r.Name]
		if old == nil {
			list = append(list, routeChange{r.Name, "is new"})
			continue
		}
		if fields := changedFields(old, r); len(fields) > 0 {
			list = append(list, routeChange{r.Name, "changes " + strings.Join(fields, ", ")})
		}
	}
	for name := range previous {
		if !kept[name] {
			list = append(list, routeChange{name, "is dropped: its requests will get 404"})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Route < list[j].Route })
	return list
}

// changedFields names the properties that differ between two versions of a route.
func changedFields(a, b *route.Route) []string {
	var list []string
	add := func(same bool, name string) {
		if !same {
			list = append(list, name)
		}
	}
	add(a.Host == b.Host && a.Prefix == b.Prefix, "host or prefix")
	add(a.Idempotent == b.Idempotent, "whether requests may be repeated")
	add(a.Attempts == b.Attempts, "attempts")
	add(a.Timeout == b.Timeout && a.Target == b.Target, "times")
	add(a.Priority == b.Priority, "rank")
	add(slices.Equal(a.Services, b.Services), "services")
	add(slices.Equal(a.Shards, b.Shards), "shards")
	add(a.TopK == b.TopK && a.MinShare == b.MinShare, "what an answer holds")
	add(slices.Equal(a.Regions, b.Regions), "regions")
	return list
}

// compareService compares a service with its previous capacity, which is nil if the
// service is new.
func compareService(name string, before, after *serviceCapacity) serviceChange {
	change := serviceChange{Service: name, SlotsAfter: after.slots}
	if before == nil {
		before = &serviceCapacity{}
	}
	change.SlotsBefore = before.slots
	for id, n := range after.shards {
		switch {
		case n == 0 && before.shards[id] > 0:
			change.ShardsLost++
		case n == 1 && before.shards[id] > 1:
			change.ShardsSingle++
		}
	}
	return change
}
