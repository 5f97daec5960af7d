package cmds

import (
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/route"
)

func init() { register(func() command { return &diff{} }, "diff") }

// diff tells what a change of configuration would do before it is published.
type diff struct {
	output
	Before string `arg:"positional,required" help:"file or directory that is in force"`
	After  string `arg:"positional,required" help:"file or directory to publish"`
}

type shownService struct {
	Service      string `json:"service"`
	SlotsBefore  int    `json:"slots-before"`
	SlotsAfter   int    `json:"slots-after"`
	ShardsLost   int    `json:"shards-lost"`
	ShardsSingle int    `json:"shards-left-with-one-leaf"`
}

type shownMove struct {
	Leaf   string `json:"leaf"`
	Server string `json:"server"`
	Change string `json:"change"`
}

type shownRoute struct {
	Route  string `json:"route"`
	Change string `json:"change"`
}

type shownDiff struct {
	Leafs    []shownMove    `json:"leafs"`
	Services []shownService `json:"services"`
	Routes   []shownRoute   `json:"routes"`
	Safe     bool           `json:"safe"`
}

// Help describes the command.
func (*diff) Help() string { return "tell what a change would do: leafs, capacity and coverage lost" }

// Run prints the difference; losing coverage is a fault.
func (c *diff) Run(out *printer) error {
	before, err := load([]string{c.Before})
	if err != nil {
		return errors.Wrap(err, c.Before)
	}
	after, err := load([]string{c.After})
	if err != nil {
		return errors.Wrap(err, c.After)
	}
	s := compare(reachOf(before), reachOf(after))
	s.Routes = compareRoutes(before.Routes, after.Routes)
	for _, m := range s.Leafs {
		out.line("leaf %-28s %s", m.Leaf, m.Change)
	}
	for _, v := range s.Services {
		out.line("service %-25s slots %d -> %d, shards lost %d, left with one leaf %d",
			v.Service, v.SlotsBefore, v.SlotsAfter, v.ShardsLost, v.ShardsSingle)
	}
	for _, r := range s.Routes {
		out.line("route %-27s %s", r.Route, r.Change)
	}
	if s.Safe {
		out.line("%s no shard loses its last leaf", out.paint(green, "safe:"))
	} else {
		out.line("%s answers will lack shards", out.paint(red, "coverage is lost:"))
	}
	if err := out.value(s); err != nil {
		return err
	}
	if !s.Safe {
		return ErrFaulty
	}
	return nil
}

func compare(before, after reach) shownDiff {
	d := shownDiff{Leafs: []shownMove{}, Services: []shownService{}, Safe: true}
	for _, name := range sortedNames(before.leafs) {
		old := before.leafs[name]
		now, kept := after.leafs[name]
		switch {
		case !kept:
			d.Leafs = append(d.Leafs, shownMove{name, old.server, "is no longer in the inventory"})
		case old.out == "" && now.out != "":
			d.Leafs = append(d.Leafs, shownMove{name, old.server, "loses its work: " + now.out})
		case old.out != "" && now.out == "":
			d.Leafs = append(d.Leafs, shownMove{name, old.server, "gets work again, warmed up"})
		case old.slots != now.slots:
			d.Leafs = append(d.Leafs, shownMove{name, old.server, "changes its slots"})
		}
	}
	for _, name := range sortedNames(after.leafs) {
		if _, known := before.leafs[name]; !known {
			d.Leafs = append(d.Leafs, shownMove{name, after.leafs[name].server, "is new"})
		}
	}
	for _, name := range sortedNames(after.services) {
		v := compareService(name, before.services[name], after.services[name])
		d.Safe = d.Safe && v.ShardsLost == 0
		if v.SlotsBefore != v.SlotsAfter || v.ShardsLost > 0 || v.ShardsSingle > 0 {
			d.Services = append(d.Services, v)
		}
	}
	sort.Slice(d.Leafs, func(i, j int) bool { return d.Leafs[i].Leaf < d.Leafs[j].Leaf })
	return d
}

// compareRoutes tells what becomes of each route, by name.
func compareRoutes(before, after []route.Route) []shownRoute {
	list := []shownRoute{}
	former := make(map[string]*route.Route, len(before))
	for i := range before {
		former[before[i].Name] = &before[i]
	}
	kept := make(map[string]bool, len(after))
	for i := range after {
		r := &after[i]
		kept[r.Name] = true
		old := former[r.Name]
		if old == nil {
			list = append(list, shownRoute{r.Name, "is new"})
			continue
		}
		if fields := changedFields(old, r); len(fields) > 0 {
			list = append(list, shownRoute{r.Name, "changes " + strings.Join(fields, ", ")})
		}
	}
	for name := range former {
		if !kept[name] {
			list = append(list, shownRoute{name, "is dropped: its requests will get 404"})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Route < list[j].Route })
	return list
}

// changedFields names what differs between two versions of a route.
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

func compareService(name string, before, after *serviceReach) shownService {
	v := shownService{Service: name, SlotsAfter: after.slots}
	if before == nil {
		before = &serviceReach{}
	}
	v.SlotsBefore = before.slots
	for id, n := range after.shards {
		switch {
		case n == 0 && before.shards[id] > 0:
			v.ShardsLost++
		case n == 1 && before.shards[id] > 1:
			v.ShardsSingle++
		}
	}
	return v
}
