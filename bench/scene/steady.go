package scene

import "dandelionstile/share/clock"

func init() {
	register(Scenario{
		Name: "steady",
		Goal: "60 % of the slots: extra load at most 2 %, p99 within 1.15 of a clairvoyant scheduler",
		run: func(r *Run) {
			r.settled(steadyLoad)
			const span = 15 * clock.Second
			r.run(span)
			r.common()
			bound := clairvoyant(r.W, r.D, steadyLoad, span)
			r.set("clairvoyant-p99-ms", bound)
			r.set("p99-over-clairvoyant", r.W.Stats.Quantile(99)/bound)
			far := clairvoyantFar(r.W, r.D, steadyLoad, span)
			r.set("clairvoyant-far-p99-ms", far)
			r.set("p99-over-clairvoyant-far", r.W.Stats.Quantile(99)/far)
		},
	})
}
