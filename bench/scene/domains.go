package scene

import (
	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
	"dandelionstile/share/topo"
)

// maxPublishDelay is the largest delay until a rule reaches a host in these
// scenarios; the real delay is measured with real processes.
const maxPublishDelay = clock.Second

func init() {
	register(Scenario{
		Name: "domain-out",
		Goal: "a failure domain is taken out and put back: no new work 3 s after the rule, the remaining domains serve the queries, peak load on its return at most 1.2 times the steady load",
		run:  func(r *Run) { r.runDomainOut() },
	})
	register(Scenario{
		Name: "domain-cut",
		Goal: "a failure domain is partitioned and healed: each side serves what it can, with correct coverage and no load peak at the heal",
		run:  func(r *Run) { r.runDomainCut() },
	})
}

// runDomainOut takes a failure domain out of service and back. It records when the domain
// got its last work after the rule, and the load during its return relative to the steady
// load.
func (r *Run) runDomainOut() {
	const load = 0.4
	r.settle(load)
	r.advance(4 * clock.Second)
	steady := r.callsPerSecond(r.World.Now()-4*clock.Second, 4)
	domain := r.Deployment.Domains[0].Name
	outAt := r.World.Now()
	r.World.Publish(topo.Rules{DomainsOut: []string{domain}}, maxPublishDelay)
	r.advance(10 * clock.Second)
	r.record("last-work-s", float64(r.World.Stats.LastWork(domain)-outAt)/1000)
	r.record("worst-complete-share-out", r.worstCompleteShare())
	r.World.Publish(topo.Rules{}, maxPublishDelay)
	backAt := r.World.Now()
	r.advance(2*deploy.WarmUp + 2*clock.Second)
	r.record("peak-over-steady", r.peakCalls(backAt)/steady)
	r.record("worst-complete-share", r.worstCompleteShare())
	r.record("connections-over-limit", r.World.MaxConns())
	r.recordCommon()
}

// peakCalls returns the largest number of leaf calls in one of the whole seconds that
// begin at a time or later.
func (r *Run) peakCalls(since clock.Milli) float64 {
	highest := 0
	for i, s := range r.World.Stats.Seconds {
		if clock.Milli(i)*clock.Second >= since {
			highest = max(highest, s.Calls)
		}
	}
	return float64(highest)
}

// runDomainCut partitions a failure domain from the others and heals the partition. It
// records the share of queries with an answer, complete or not, during the partition, and
// the load peak and the recovery after it.
func (r *Run) runDomainCut() {
	const load = 0.3
	r.settle(load)
	r.advance(4 * clock.Second)
	steady := r.callsPerSecond(r.World.Now()-4*clock.Second, 4)
	r.World.SetPartitioned(r.Deployment.Domains[0].Name, true)
	r.advance(12 * clock.Second)
	s := &r.World.Stats
	answered := 0
	queries := 0
	// The last 8 of the 12 s of the partition count; the hosts detect it 2 s after its
	// start.
	for _, sec := range s.Seconds[int((r.World.Now()-8*clock.Second)/clock.Second):int(r.World.Now()/clock.Second)] {
		answered += sec.Complete + sec.Partial
		queries += sec.Queries
	}
	r.record("answered-share-in-cut", float64(answered)/float64(queries))
	r.World.SetPartitioned(r.Deployment.Domains[0].Name, false)
	healedAt := r.World.Now()
	r.advance(8 * clock.Second)
	r.record("peak-over-steady-at-heal", r.peakCalls(healedAt)/steady)
	r.record("recovery-s", r.recoverySeconds(healedAt))
	r.recordCommon()
}
