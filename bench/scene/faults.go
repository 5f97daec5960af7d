package scene

import (
	"dandelionstile/bench/deploy"
	"dandelionstile/bench/virt"
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
)

func init() {
	register(Scenario{
		Name: "crash-request",
		Goal: "a request that crashes each server that runs it, resent endlessly through all hosts: at most 2 servers crash, 99 % of the other queries are complete",
		run:  func(r *Run) { r.runCrashRequest() },
	})
	register(Scenario{
		Name: "silent",
		Goal: "10 % of the connections go silent at once: after 1 s, p99.9 is at most twice that under steady load, and no leaf is closed as silent or unreachable",
		run:  func(r *Run) { r.runSilent() },
	})
	register(Scenario{
		Name: "greedy",
		Goal: "one caller sends 10 times its share: p99 of the others at most 1.2 times that under steady load",
		run:  func(r *Run) { r.runGreedy() },
	})
	register(Scenario{
		Name: "pause",
		Goal: "a host pauses for 30 s and resumes: no stale work, no answer to the wrong caller",
		run:  func(r *Run) { r.runPause() },
	})
	register(Scenario{
		Name: "rolling",
		Goal: "all hosts are replaced one by one: no query lost, connections per leaf never above the limit",
		run:  func(r *Run) { r.runRolling() },
	})
}

// runCrashRequest sends a query that crashes servers, through all hosts in turn, and
// again 20 ms after each answer.
func (r *Run) runCrashRequest() {
	r.settle(0.3)
	service := r.Deployment.Services[0].Name
	n := 0
	var resend func()
	resend = func() {
		h := r.World.Hosts[n%len(r.World.Hosts)]
		n++
		r.World.SendQuery(h, service, virt.CrashText, "stubborn", deploy.Deadline, func(query.Answer) {
			r.World.Clock.After(20, resend)
		})
	}
	resend()
	r.advance(30 * clock.Second)
	servers := 0
	for _, times := range r.World.Stats.Crashes {
		servers += len(times) // one time per crash, in which all leaves of the server go down
	}
	r.record("servers-crashed", float64(servers))
	r.record("resends", float64(n))
	s := &r.World.Stats
	others := s.Queries - n // without the resent query
	r.record("others-complete-share", float64(s.Complete)/float64(others))
	r.recordCommon()
}

// runSilent makes a share of all connections silent. It compares the latency, from one
// second later on, with that before, and records how often schedulers closed a leaf as
// silent or unreachable.
func (r *Run) runSilent() {
	r.settle(steadyLoad * 2 / 3)
	r.advance(6 * clock.Second)
	steady := r.World.Stats.Percentile(99.9)
	r.World.Silence(0.1)
	r.advance(clock.Second)
	r.World.Stats.Reset()
	r.advance(6 * clock.Second)
	r.record("p999-over-steady", r.World.Stats.Percentile(99.9)/steady)
	r.record("ejected", float64(r.World.Stats.LeafEvents["closed: silent"]+r.World.Stats.LeafEvents["closed: unreachable"]))
	r.recordCommon()
}

// runGreedy adds a caller to the steady load and compares the latency of the others
// with that before.
func (r *Run) runGreedy() {
	r.settle(steadyLoad * 2 / 3)
	r.advance(6 * clock.Second)
	steady := float64(r.World.Stats.OthersLatency.ValueAtQuantile(99))
	r.World.Stats.Reset()
	for _, v := range r.Deployment.Services {
		// Four times ten callers' shares: as much as all callers send together, as
		// callerCount is 40.
		rate := 10 * steadyLoad * 2 / 3 * r.World.Capacity(v) / callerCount
		r.World.StartLoad(virt.Load{Service: v.Name, Rate: rate * 4, Texts: textCount, Caller: virt.GreedyCaller})
	}
	r.advance(8 * clock.Second)
	r.record("others-p99-over-steady", float64(r.World.Stats.OthersLatency.ValueAtQuantile(99))/steady)
	r.recordCommon()
}

// runPause suspends a host for 30 s and records the queries that then have no answer
// although their deadline has passed.
func (r *Run) runPause() {
	r.settle(0.4)
	r.World.Hosts[0].Pause()
	r.advance(30 * clock.Second)
	r.World.Hosts[0].Resume()
	r.advance(5 * clock.Second)
	r.record("unanswered", float64(r.World.Pending()-r.inFlight()))
	r.recordCommon()
}

// runRolling shuts down and restarts one host after the other, and records the
// queries that have no answer although their deadline has passed.
func (r *Run) runRolling() {
	r.settle(0.4)
	for _, h := range r.World.Hosts {
		h.Leave(func() {
			r.World.Clock.After(clock.Second, func() {
				h.Restart()
				r.World.PublishHosts(maxPublishDelay)
			})
		})
		r.World.PublishHosts(maxPublishDelay)
		r.advance(8 * clock.Second)
	}
	r.advance(2 * clock.Second)
	r.record("cut", float64(r.World.Pending()-r.inFlight()))
	r.record("connections-over-limit", r.World.MaxConns())
	r.record("worst-complete-share", r.worstCompleteShare())
	r.recordCommon()
}

// inFlight returns the number of unanswered queries whose deadline has not passed,
// given that each has the budget deploy.Deadline.
func (r *Run) inFlight() int { return r.World.PendingWithin(deploy.Deadline) }
