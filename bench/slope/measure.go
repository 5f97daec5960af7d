package slope

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"dandelionstile/bench/fleet"
	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/query"
	"dandelionstile/share/sched"
	"dandelionstile/share/topo"
	"dandelionstile/share/wire"
)

// domains is the number of failure domains to design for.
const domains = 14

// mustParse returns the configuration of an inventory that this package generates. It
// panics if the inventory is invalid.
func mustParse(leaves int) *topo.Config {
	cfg, err := topo.Parse(1, inventory(leaves, domains))
	if err != nil {
		panic(err)
	}
	return cfg
}

// QueryDecisions measures the time of an entry's decisions for a query, by its
// shards.
func QueryDecisions() Line {
	l := Line{Name: "entry: decisions per query", Unit: "us", Per: "shard"}
	for _, shards := range []int{10, 70, 210} {
		cfg := mustParse(shardsPerLayout * replicas)
		cfg.Inventory.Services[0].Layouts[0].Shards = shards
		// Only the servers of the remaining shards are kept.
		kept := cfg.Inventory.Servers[:0]
		for _, s := range cfg.Inventory.Servers {
			if s.Leaves[0].Holds[0].Shard < shards && s.Leaves[1].Holds[0].Shard < shards {
				kept = append(kept, s)
			}
		}
		cfg.Inventory.Servers = kept
		// Without a canary, StartQuery sends all calls at once; answerAll doesn't send
		// the calls that follow an outcome.
		e := newEntry(cfg, hostList(28, domains), fanout.Policy{NoCanary: true})
		now, id := clock.Milli(1), uint64(0)
		l.Points = append(l.Points, Point{float64(shards), microseconds(func() {
			id++
			now++
			answerAll(e, now, e.StartQuery(now, fanout.Request{
				ID: id, Service: "v000", Text: "x", Caller: "c", Limit: 10, Deadline: now + 1000,
			}))
			e.Tick(now)
		})})
	}
	return fit(l)
}

// answerAll completes every call among the actions successfully. It ignores the
// actions that follow from the outcomes.
func answerAll(e *fanout.Engine, now clock.Milli, actions []fanout.Action) {
	rows := []query.Row{{Key: "k", Score: 1, Text: "a row of text"}}
	for _, a := range actions {
		b, ok := a.(fanout.SendBatch)
		if !ok {
			continue
		}
		for _, c := range b.Calls {
			e.CallDone(now, query.Outcome{Call: c.ID, Kind: query.OK, Rows: rows})
		}
	}
}

// CallDecisions measures the time of an aggregator's decisions for a leaf call,
// by the leaves that it owns.
func CallDecisions() Line {
	l := Line{Name: "aggregator: decisions per leaf call", Unit: "us", Per: "leaf owned"}
	for _, leaves := range []int{6, 24, 96} {
		e, names, now := newAggregator(leaves)
		id := uint64(0)
		l.Points = append(l.Points, Point{float64(leaves), microseconds(func() {
			id++
			*now++
			for _, a := range e.Submit(*now, sched.Call{
				Key: sched.Key{Link: 1, ID: id}, Leaf: names[id%uint64(len(names))], Caller: "c",
				Deadline: *now + 1000, Fingerprint: id,
			}) {
				if s, ok := a.(sched.Send); ok {
					e.CallDone(*now, sched.Result{Leaf: s.Leaf, Conn: s.Conn, Key: s.Call.Key, Outcome: query.Outcome{Kind: query.OK}})
				}
			}
		})})
	}
	return fit(l)
}

// LeafUpkeep measures the time that owned leaves without calls cost per second:
// ticks and health checks. There are no claims, since no other host is a candidate for the
// servers.
func LeafUpkeep() Line {
	l := Line{Name: "aggregator: upkeep per second", Unit: "us", Per: "leaf owned"}
	for _, leaves := range []int{6, 24, 96} {
		e, _, now := newAggregator(leaves)
		l.Points = append(l.Points, Point{float64(leaves), microseconds(func() {
			for range 200 { // ticks of 5 ms
				*now += 5
				out, _ := e.Tick(*now)
				answerProbes(e, *now, out)
			}
		})})
	}
	return fit(l)
}

// newAggregator builds the only aggregator of its failure domain. It returns the
// aggregator with the names of its leaves and its clock. The clock is at 12 s, past
// the warm-up of 10 s that services without warm-ms have.
func newAggregator(leaves int) (*sched.Engine, []string, *clock.Milli) {
	cfg, err := topo.Parse(1, inventory(leaves, 1))
	if err != nil {
		panic(err)
	}
	e := &sched.Engine{Self: "h0000", Domain: "d00"}
	e.Configure(0, cfg, hostList(1, 1))
	now := clock.Milli(0)
	for now < 12000 {
		now += 5
		out, _ := e.Tick(now)
		answerProbes(e, now, out)
	}
	var names []string
	for _, s := range cfg.Inventory.Servers {
		for _, f := range s.Leaves {
			names = append(names, f.Name)
		}
	}
	return e, names, &now
}

// answerProbes answers all health checks among the actions successfully.
func answerProbes(e *sched.Engine, now clock.Milli, actions []sched.Action) {
	for _, a := range actions {
		if p, ok := a.(sched.Probe); ok {
			e.ProbeDone(now, p.Leaf, p.Conn, sched.LeafStatus{Incarnation: 1, Holds: []topo.SnapshotID{{Layout: 1, Version: 1}}}, nil)
		}
	}
}

// leafCounts are the sizes of inventory at which costs are measured.
var leafCounts = []int{1050, 8400, 33000}

// ParseAll measures parsing the whole inventory, as a host does at its start.
func ParseAll() Line {
	l := Line{Name: "config: read whole, fresh host", Unit: "ms", Per: "leaf in the inventory"}
	for _, n := range leafCounts {
		parts := inventory(n, domains)
		l.Points = append(l.Points, Point{float64(n), millisecondsOnce(func() {
			var p topo.Parser
			if _, err := p.Parse(1, parts); err != nil {
				panic(err)
			}
		})})
	}
	return fit(l)
}

// ParseChange measures parsing a configuration in which one file has changed.
func ParseChange() Line {
	l := Line{Name: "config: read one change", Unit: "ms", Per: "leaf in the inventory"}
	for _, n := range leafCounts {
		parts := inventory(n, domains)
		var p topo.Parser
		if _, err := p.Parse(1, parts); err != nil {
			panic(err)
		}
		version := uint64(1)
		l.Points = append(l.Points, Point{float64(n), microseconds(func() {
			version++
			last := &parts[len(parts)-1]
			last.Body = append(append([]byte(nil), last.Body...), '\n')
			if _, err := p.Parse(version, parts); err != nil {
				panic(err)
			}
		}) / 1000})
	}
	return fit(l)
}

// EntryChange measures applying a configuration in an entry, with 5,600 hosts. All
// repetitions apply the same configuration.
func EntryChange() Line {
	l := Line{Name: "entry: put one change in force", Unit: "ms", Per: "leaf in the inventory"}
	hosts := hostList(5600, domains)
	for _, n := range leafCounts {
		cfg := mustParse(n)
		e := newEntry(cfg, hosts, fanout.Policy{})
		l.Points = append(l.Points, Point{float64(n), microseconds(func() { e.Configure(cfg, hosts) }) / 1000})
	}
	return fit(l)
}

// AggregatorChange measures applying a configuration in an aggregator, with 5,600
// hosts. All repetitions apply the same configuration.
func AggregatorChange() Line {
	l := Line{Name: "aggregator: put one change in force", Unit: "ms", Per: "leaf in the inventory"}
	hosts := hostList(5600, domains)
	for _, n := range leafCounts {
		cfg := mustParse(n)
		e := &sched.Engine{Self: "h0000", Domain: "d00"}
		l.Points = append(l.Points, Point{float64(n), microseconds(func() { e.Configure(1, cfg, hosts) }) / 1000})
	}
	return fit(l)
}

// EntryMemory measures the memory of an entry's state, with 5,600 hosts.
func EntryMemory() Line {
	l := Line{Name: "entry: state of leafs and hosts", Unit: "MB", Per: "leaf in the inventory"}
	for _, n := range leafCounts {
		cfg := mustParse(n)
		hosts := hostList(5600, domains)
		l.Points = append(l.Points, Point{float64(n), megabytes(func() any { return newEntry(cfg, hosts, fanout.Policy{}) })})
	}
	return fit(l)
}

// ConfigMemory measures the memory that any process uses for the configuration:
// the files and their parsed contents.
func ConfigMemory() Line {
	l := Line{Name: "config: files and contents kept", Unit: "MB", Per: "leaf in the inventory"}
	for _, n := range leafCounts {
		l.Points = append(l.Points, Point{float64(n), megabytes(func() any {
			parts := inventory(n, domains)
			p := &topo.Parser{}
			cfg, err := p.Parse(1, parts)
			if err != nil {
				panic(err)
			}
			return []any{parts, p, cfg}
		})})
	}
	return fit(l)
}

// testBatch returns a batch as a query sends it.
func testBatch(calls int) *wire.Batch {
	batch := &wire.Batch{
		Service: "v000", Layout: 1, Snapshot: 7, Text: "a query of some words", Limit: 10, BudgetMs: 51,
		Fingerprint: 1 << 60, Caller: "caller-17",
	}
	for i := range calls {
		batch.Calls = append(batch.Calls, &wire.Call{Id: uint64(1e6 + i), Leaf: fmt.Sprintf("s%05d-%d", i, 1), Shard: uint32(i)})
	}
	return batch
}

// testOutcomes returns outcomes as the calls of a query return them.
func testOutcomes(calls int) *wire.Outcomes {
	outcomes := &wire.Outcomes{}
	for i := range calls {
		o := query.Outcome{
			Call: uint64(1e6 + i), Kind: query.OK, Took: 9,
			Feedback: &query.Feedback{Leaf: "s00001-1", Busy: 1, Limit: 2, Holds: []topo.SnapshotID{{Layout: 1, Version: 7}}, CallTime: 9},
		}
		for range 3 {
			o.Rows = append(o.Rows, query.Row{Key: "garment-0001234", Score: 0.5, Text: "a row with some hundred bytes of text, as a search result has, more or less as long as this one here is"})
		}
		outcomes.Outcomes = append(outcomes.Outcomes, wire.EncodeOutcome(o))
	}
	return outcomes
}

// WireBytes measures the bytes of a query's calls between two hosts, both ways,
// by the calls in one batch.
func WireBytes() Line {
	l := Line{Name: "links: bytes per batch, both ways", Unit: "bytes", Per: "leaf call"}
	for _, calls := range []int{1, 12, 48} {
		size := proto.Size(testBatch(calls)) + proto.Size(testOutcomes(calls))
		l.Points = append(l.Points, Point{float64(calls), float64(size)})
	}
	return fit(l)
}

// Propagation is the cost of propagating changes to all hosts of a fleet.
type Propagation struct {
	Hosts int
	// ReadsPerSecond is the rate of platform reads.
	ReadsPerSecond float64
	// BytesPerSecond is what a host sends and receives, on average, and
	// MaxBytesPerSecond the highest of any host.
	BytesPerSecond, MaxBytesPerSecond float64
	// Latency is the longest time, of ten changes, until all hosts have the change.
	Latency clock.Milli
}

// MeasurePropagation measures propagation with changes at the rate to design
// for, 13,000 per day, or somewhat more often. Fleets with less than two hosts per
// failure domain have three domains.
func MeasurePropagation(hosts ...int) []Propagation {
	var out []Propagation
	for _, n := range hosts {
		f := &fleet.Fleet{Hosts: n, Domains: domains, Parts: 1000, PartBytes: 4000, Seed: 1}
		if n < 2*domains {
			f.Domains = 3
		}
		f.Start()
		f.RunUntil(60*clock.Second, func() bool { return f.AllHave(1) })
		f.Clock.Run(f.Clock.Now() + 5*clock.Second)
		before := map[string]int{}
		for _, h := range f.Nodes {
			before[h.Name] = h.Bytes
		}
		s := Propagation{Hosts: n}
		reads, begin := f.Reads, f.Clock.Now()
		for range 10 {
			v := f.Publish()
			s.Latency = max(s.Latency, f.RunUntil(20*clock.Second, func() bool { return f.AllHave(v) }))
			// The wait is the interval at 13,000 changes per day, 6.6 s, less 1 s. RunUntil
			// takes up to 10 ms of virtual time with 7 or 70 hosts, and 960 ms with 700.
			f.Clock.Run(f.Clock.Now() + 86400*clock.Second/13000 - 1000)
		}
		span := float64(f.Clock.Now()-begin) / 1000
		s.ReadsPerSecond = float64(f.Reads-reads) / span
		for _, h := range f.Nodes {
			b := float64(h.Bytes-before[h.Name]) / span
			s.BytesPerSecond += b / float64(n)
			s.MaxBytesPerSecond = max(s.MaxBytesPerSecond, b)
		}
		out = append(out, s)
	}
	return out
}

// millisecondsOnce returns the duration of one run of f in milliseconds.
func millisecondsOnce(f func()) float64 { return microsecondsOnce(f) / 1000 }
