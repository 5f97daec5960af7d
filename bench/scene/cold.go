package scene

import (
	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
)

func init() {
	register(Scenario{
		Name: "cold-server",
		Goal: "one backend server restarts cold: no requests beyond its capacity, full service within 1.5 times its ramp",
		run:  func(r *Run) { r.runColdStart(r.World.Config.Inventory.Servers[0].Name) },
	})
	register(Scenario{
		Name: "cold-domain",
		Goal: "a failure domain's backend servers restart cold at once: no requests beyond their capacity, full service within 1.5 times the ramp",
		run: func(r *Run) {
			var names []string
			for _, s := range r.World.Config.Inventory.Servers {
				if s.Domain == r.Deployment.Domains[0].Name {
					names = append(names, s.Name)
				}
			}
			r.runColdStart(names...)
		},
	})
	register(Scenario{
		Name: "cold-unseen",
		Goal: "backend servers turn cold without a visible restart: no requests beyond their capacity once a first reply shows it",
		run: func(r *Run) {
			r.settle(steadyLoad * 2 / 3)
			for i, s := range r.World.Config.Inventory.Servers {
				if i%10 == 0 {
					r.World.DropCaches(s.Name)
				}
			}
			r.advance(2 * deploy.WarmUp)
			r.recordCommon()
		},
	})
}

// runColdStart crashes servers and records how long after their restart the answers
// are complete again, as a multiple of the ramp; see recoverySeconds.
func (r *Run) runColdStart(names ...string) {
	r.settle(steadyLoad * 2 / 3)
	r.advance(3 * clock.Second)
	before := r.callsPerSecond(r.World.Now()-3*clock.Second, 3)
	for _, n := range names {
		r.World.Crash(n)
	}
	restartedAt := r.World.Now() + 2*clock.Second // a crashed server restarts after 2 s
	r.advance(2*clock.Second + 2*deploy.WarmUp)
	r.record("steady-calls-per-s", before)
	r.record("full-after-over-ramp", r.recoveryOverRamp(restartedAt, before))
	r.record("worst-complete-share", r.worstCompleteShare())
	r.recordCommon()
}

// callsPerSecond returns the mean number of leaf calls per second, over n whole
// seconds, of which the first contains the time since.
func (r *Run) callsPerSecond(since clock.Milli, n int) float64 {
	sum := 0
	for i := range n {
		sum += r.World.Stats.Seconds[int(since/clock.Second)+i].Calls
	}
	return float64(sum) / float64(n)
}

// recoveryOverRamp returns the duration of the recovery that began at since, as a multiple
// of the ramp.
func (r *Run) recoveryOverRamp(since clock.Milli, _ float64) float64 {
	return r.recoverySeconds(since) * float64(clock.Second) / float64(deploy.WarmUp)
}

// worstCompleteShare returns the lowest share of complete answers in any second since the
// last reset of the measurements. The last two seconds don't count, since their queries
// may still be in flight: a query has up to deploy.Deadline, 1 s, and its answer counts in
// the second in which it was sent.
func (r *Run) worstCompleteShare() float64 {
	worst := 1.0
	for i, s := range r.World.Stats.Seconds {
		if s.Queries > 0 && i < len(r.World.Stats.Seconds)-2 {
			worst = min(worst, float64(s.Complete)/float64(s.Queries))
		}
	}
	return worst
}
