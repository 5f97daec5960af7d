package scene

import "dandelionstile/share/clock"

func init() {
	register(Scenario{
		Name: "stragglers",
		Goal: "5 % of the leafs 20 times slower, wandering: p99 at most 0.35 of the baseline, extra load at most 5 %",
		run: func(r *Run) {
			r.settled(steadyLoad * 2 / 3)
			for range 6 {
				r.W.SetStragglers(0.05, 20)
				r.run(3 * clock.Second)
			}
			r.common()
		},
	})
}
