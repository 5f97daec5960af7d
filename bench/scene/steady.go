package scene

import "dandelionstile/share/clock"

func init() {
	register(Scenario{
		Name: "steady",
		Goal: "load of 60 % of the slots: extra load at most 2 %, p99 at most 1.15 times that of a clairvoyant scheduler",
		run: func(r *Run) {
			r.settle(steadyLoad)
			const span = 15 * clock.Second
			r.advance(span)
			r.recordCommon()
			bound := clairvoyantP99(r.World, r.Deployment, steadyLoad, span)
			r.record("clairvoyant-p99-ms", bound)
			r.record("p99-over-clairvoyant", r.World.Stats.Percentile(99)/bound)
			far := clairvoyantFarP99(r.World, r.Deployment, steadyLoad, span)
			r.record("clairvoyant-far-p99-ms", far)
			r.record("p99-over-clairvoyant-far", r.World.Stats.Percentile(99)/far)
		},
	})
}
