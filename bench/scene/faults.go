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
		Goal: "a request that crashes each server that runs it, resent without end through all hosts: at most 2 servers, others complete to 99 %",
		run:  func(r *Run) { r.crashRequest() },
	})
	register(Scenario{
		Name: "silent",
		Goal: "10 % of the connections go silent at once: p99.9 at most 2 of steady after 1 s, no healthy server ejected",
		run:  func(r *Run) { r.silent() },
	})
	register(Scenario{
		Name: "greedy",
		Goal: "one caller asks 10 times its share: the others' p99 at most 1.2 of steady",
		run:  func(r *Run) { r.greedy() },
	})
	register(Scenario{
		Name: "pause",
		Goal: "a host pauses for 30 s and wakes: no stale work, no answer to the wrong caller",
		run:  func(r *Run) { r.pause() },
	})
	register(Scenario{
		Name: "rolling",
		Goal: "all hosts are replaced one by one: nothing cut, connections per leaf never above the limit",
		run:  func(r *Run) { r.rolling() },
	})
}

func (r *Run) crashRequest() {
	r.settled(0.3)
	service := r.D.Services[0].Name
	n := 0
	var resend func()
	resend = func() {
		h := r.W.Hosts[n%len(r.W.Hosts)]
		n++
		r.W.SendQuery(h, service, virt.CrashText, "stubborn", deploy.Deadline, func(query.Answer) {
			r.W.Clock.After(20, resend)
		})
	}
	resend()
	r.run(30 * clock.Second)
	servers := 0
	for _, times := range r.W.Stats.Crashes {
		servers += len(times) // leafs of one server go down with it, once each
	}
	r.set("servers-crashed", float64(servers))
	r.set("resends", float64(n))
	s := &r.W.Stats
	others := s.Queries - n
	r.set("others-complete-share", float64(s.Complete)/float64(others))
	r.common()
}

func (r *Run) silent() {
	r.settled(steadyLoad * 2 / 3)
	r.run(6 * clock.Second)
	steady := r.W.Stats.Quantile(99.9)
	r.W.Silence(0.1)
	r.run(clock.Second)
	r.W.Stats.Reset()
	r.run(6 * clock.Second)
	r.set("p999-over-steady", r.W.Stats.Quantile(99.9)/steady)
	r.set("ejected", float64(r.W.Stats.LeafEvents["closed: silent"]+r.W.Stats.LeafEvents["closed: unreachable"]))
	r.common()
}

func (r *Run) greedy() {
	r.settled(steadyLoad * 2 / 3)
	r.run(6 * clock.Second)
	steady := float64(r.W.Stats.OthersLatency.ValueAtQuantile(99))
	r.W.Stats.Reset()
	for _, v := range r.D.Services {
		rate := 10 * steadyLoad * 2 / 3 * r.W.Capacity(v) / people
		r.W.StartLoad(virt.Load{Service: v.Name, Rate: rate * 4, Texts: texts, Caller: virt.GreedyCaller})
	}
	r.run(8 * clock.Second)
	r.set("others-p99-over-steady", float64(r.W.Stats.OthersLatency.ValueAtQuantile(99))/steady)
	r.common()
}

func (r *Run) pause() {
	r.settled(0.4)
	r.W.Hosts[0].Pause()
	r.run(30 * clock.Second)
	r.W.Hosts[0].Resume()
	r.run(5 * clock.Second)
	r.set("unanswered", float64(r.W.Pending()-r.inFlight()))
	r.common()
}

func (r *Run) rolling() {
	r.settled(0.4)
	for _, h := range r.W.Hosts {
		h.Leave(func() {
			r.W.Clock.After(clock.Second, func() {
				h.Restart()
				r.W.PublishHosts(spreadTime)
			})
		})
		r.W.PublishHosts(spreadTime)
		r.run(8 * clock.Second)
	}
	r.run(2 * clock.Second)
	r.set("cut", float64(r.W.Pending()-r.inFlight()))
	r.set("connections-over-limit", r.W.MaxConns())
	r.set("worst-complete-share", r.worstSecond())
	r.common()
}

// inFlight is how many queries are younger than their deadline.
func (r *Run) inFlight() int { return r.W.PendingWithin(deploy.Deadline) }
