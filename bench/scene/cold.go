package scene

import (
	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
)

func init() {
	register(Scenario{
		Name: "cold-server",
		Goal: "one backend server restarts cold: nothing beyond what it bears, full service within 1.5 of its ramp",
		run:  func(r *Run) { r.coldStart(r.W.Config.Inventory.Servers[0].Name) },
	})
	register(Scenario{
		Name: "cold-domain",
		Goal: "a failure domain's backend servers restart cold at once: nothing beyond what they bear, full service within 1.5 of the ramp",
		run: func(r *Run) {
			var names []string
			for _, s := range r.W.Config.Inventory.Servers {
				if s.Domain == r.D.Domains[0].Name {
					names = append(names, s.Name)
				}
			}
			r.coldStart(names...)
		},
	})
	register(Scenario{
		Name: "cold-unseen",
		Goal: "backend servers turn cold with no sign of a restart: nothing beyond what they bear once a first reply shows it",
		run: func(r *Run) {
			r.settled(steadyLoad * 2 / 3)
			for i, s := range r.W.Config.Inventory.Servers {
				if i%10 == 0 {
					r.W.DropCaches(s.Name)
				}
			}
			r.run(2 * deploy.WarmUp)
			r.common()
		},
	})
}

// coldStart crashes servers and measures until they carry full load again.
func (r *Run) coldStart(names ...string) {
	r.settled(steadyLoad * 2 / 3)
	r.run(3 * clock.Second)
	before := r.calls(r.W.Now()-3*clock.Second, 3)
	for _, n := range names {
		r.W.Crash(n)
	}
	back := r.W.Now() + 2*clock.Second // when they restart
	r.run(2*clock.Second + 2*deploy.WarmUp)
	r.set("steady-calls-per-s", before)
	r.set("full-after-over-ramp", r.full(back, before))
	r.set("worst-complete-share", r.worstSecond())
	r.common()
}

// calls is the mean of leaf calls per second over some seconds.
func (r *Run) calls(since clock.Milli, n int) float64 {
	sum := 0
	for i := range n {
		sum += r.W.Stats.Seconds[int(since/clock.Second)+i].Calls
	}
	return float64(sum) / float64(n)
}

// full is how long after a time all queries were answered completely again, as
// a multiple of the ramp.
func (r *Run) full(since clock.Milli, _ float64) float64 {
	return r.recovery(since) * float64(clock.Second) / float64(deploy.WarmUp)
}

// worstSecond is the lowest share of complete answers in any second.
func (r *Run) worstSecond() float64 {
	worst := 1.0
	for i, s := range r.W.Stats.Seconds {
		if s.Queries > 0 && i < len(r.W.Stats.Seconds)-2 {
			worst = min(worst, float64(s.Complete)/float64(s.Queries))
		}
	}
	return worst
}
