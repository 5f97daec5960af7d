package scene

import "dandelionstile/share/clock"

func init() {
	register(Scenario{
		Name: "stragglers",
		Goal: "5 % of the leaves 20 times slower, a new selection every 3 s: p99 at most 0.35 times the baseline's, extra load at most 5 %",
		run: func(r *Run) {
			r.settle(steadyLoad * 2 / 3)
			for range 6 {
				r.World.SetStragglers(0.05, 20)
				r.advance(3 * clock.Second)
			}
			r.recordCommon()
		},
	})
}
