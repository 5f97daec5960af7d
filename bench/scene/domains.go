package scene

import (
	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
	"dandelionstile/share/topo"
)

// spreadTime is the most that a rule takes to reach a host here; the real
// spread is measured with real processes.
const spreadTime = clock.Second

func init() {
	register(Scenario{
		Name: "domain-out",
		Goal: "a failure domain is taken out and put back: no new work 3 s after the rule, service by what remains, peak load at most 1.2 of steady on its return",
		run:  func(r *Run) { r.domainOut() },
	})
	register(Scenario{
		Name: "domain-cut",
		Goal: "a failure domain is cut off and healed: each side serves what it can, with true coverage and no stampede at the heal",
		run:  func(r *Run) { r.domainCut() },
	})
}

func (r *Run) domainOut() {
	const load = 0.4
	r.settled(load)
	r.run(4 * clock.Second)
	steady := r.calls(r.W.Now()-4*clock.Second, 4)
	domain := r.D.Domains[0].Name
	out := r.W.Now()
	r.W.Publish(topo.Rules{DomainsOut: []string{domain}}, spreadTime)
	r.run(10 * clock.Second)
	r.set("last-work-s", float64(r.W.Stats.LastWork(domain)-out)/1000)
	r.set("worst-complete-share-out", r.worstSecond())
	r.W.Publish(topo.Rules{}, spreadTime)
	back := r.W.Now()
	r.run(2*deploy.WarmUp + 2*clock.Second)
	r.set("peak-over-steady", r.peak(back)/steady)
	r.set("worst-complete-share", r.worstSecond())
	r.set("connections-over-limit", r.W.MaxConns())
	r.common()
}

// peak is the most leaf calls of any second since a time.
func (r *Run) peak(since clock.Milli) float64 {
	most := 0
	for i, s := range r.W.Stats.Seconds {
		if clock.Milli(i)*clock.Second >= since {
			most = max(most, s.Calls)
		}
	}
	return float64(most)
}

func (r *Run) domainCut() {
	const load = 0.3
	r.settled(load)
	r.run(4 * clock.Second)
	steady := r.calls(r.W.Now()-4*clock.Second, 4)
	r.W.SetPartitioned(r.D.Domains[0].Name, true)
	r.run(12 * clock.Second)
	s := &r.W.Stats
	answered := 0
	asked := 0
	for _, sec := range s.Seconds[int((r.W.Now()-8*clock.Second)/clock.Second):int(r.W.Now()/clock.Second)] {
		answered += sec.Complete + sec.Partial
		asked += sec.Queries
	}
	r.set("answered-share-in-cut", float64(answered)/float64(asked))
	r.W.SetPartitioned(r.D.Domains[0].Name, false)
	heal := r.W.Now()
	r.run(8 * clock.Second)
	r.set("peak-over-steady-at-heal", r.peak(heal)/steady)
	r.set("recovery-s", r.recovery(heal))
	r.common()
}
