package slope

import (
	"fmt"
	"strings"

	"dandelionstile/share/fanout"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// Sizes of the generated inventories.
const (
	leavesPerServer = 2
	serversPerPart  = 16
	replicas        = 3
	shardsPerLayout = 210
)

// inventory generates the operators' files for a number of leaves in a number of
// failure domains. The servers of a service are in the failure domains in turn, and
// their leaves hold its shards in turn.
func inventory(leaves, domains int) []topo.Part {
	servers := leaves / leavesPerServer
	services := max(1, leaves/(shardsPerLayout*replicas))
	var base strings.Builder
	base.WriteString("failure-domains:\n")
	for d := range domains {
		fmt.Fprintf(&base, "  - {name: d%02d, region: r%d}\n", d, d%5)
	}
	base.WriteString("services:\n")
	for v := range services {
		fmt.Fprintf(&base, "  - {name: v%03d, layouts: [{id: 1, shards: %d}]}\n", v, shardsPerLayout)
	}
	parts := []topo.Part{{Name: "base.yaml", Body: []byte(base.String())}}
	var b strings.Builder
	for s := range servers {
		if s%serversPerPart == 0 {
			b.WriteString("servers:\n")
		}
		fmt.Fprintf(&b, "  - name: s%05d\n    service: v%03d\n    failure-domain: d%02d\n    address: 127.0.0.1:%d\n    leafs:\n",
			s, s%services, s/services%domains, 1024+s%60000)
		for l := range leavesPerServer {
			shard := (s/services*leavesPerServer + l) % shardsPerLayout
			fmt.Fprintf(&b, "      - {name: s%05d-%d, slots: 2, connections: 25, holds: [{layout: 1, shard: %d}]}\n", s, l, shard)
		}
		if s%serversPerPart == serversPerPart-1 || s == servers-1 {
			parts = append(parts, topo.Part{Name: fmt.Sprintf("p%04d.yaml", len(parts)), Body: []byte(b.String())})
			b.Reset()
		}
	}
	return parts
}

// hostList returns n hosts, distributed over failure domains.
func hostList(n, domains int) []topo.Host {
	hosts := make([]topo.Host, n)
	for i := range hosts {
		hosts[i] = topo.Host{
			Name: fmt.Sprintf("h%04d", i), Domain: fmt.Sprintf("d%02d", i%domains),
			Entry: "127.0.0.1:7001", Aggregator: "127.0.0.1:7002",
		}
	}
	return hosts
}

// newEntry builds an entry with feedback for all leaves and links to all hosts.
func newEntry(cfg *topo.Config, hosts []topo.Host, policy fanout.Policy) *fanout.Engine {
	e := &fanout.Engine{Self: hosts[0].Name, Domain: hosts[0].Domain, Policy: policy}
	e.Configure(cfg, hosts)
	for _, h := range hosts {
		e.HostUp(h.Name)
		e.RecordRTT(h.Name, 1) // ms
	}
	pin := topo.SnapshotID{Layout: 1, Version: 1}
	for _, s := range cfg.Inventory.Servers {
		for _, l := range s.Leaves {
			e.SetFeedback(query.Feedback{Leaf: l.Name, Limit: 2, Holds: []topo.SnapshotID{pin}, CallTime: 10})
		}
	}
	return e
}
