package scene

import (
	"dandelionstile/bench/virt"
	"dandelionstile/share/clock"
)

func init() {
	for _, o := range []struct {
		name   string
		factor float64
	}{{"overload-2x", 2}, {"overload-5x", 5}} {
		register(Scenario{
			Name: o.name,
			Goal: "answered work at least 90 % of capacity, extra load at most 1 %, normal again within 2 s of its end",
			run:  func(r *Run) { r.runOverload(o.factor) },
		})
	}
}

// runOverload sends factor times the capacity for 8 s, including a light load that
// continues after it.
func (r *Run) runOverload(factor float64) {
	const light, span = 0.5, 8 * clock.Second
	r.settle(light)
	begin := r.World.Now()
	capacity := 0.0
	for _, v := range r.Deployment.Services {
		capacity += r.World.Capacity(v)
		r.World.StartLoad(virt.Load{
			Service: v.Name, Rate: (factor - light) * r.World.Capacity(v), Texts: textCount, Callers: callerCount, Until: begin + span,
		})
	}
	r.advance(span)
	s := &r.World.Stats
	// Answered work counts shards, so that a partial answer counts partially.
	r.record("answered-over-capacity", float64(s.Complete+s.Partial())*s.CoveredShare()*1000/float64(span)/capacity)
	r.record("complete-over-capacity", float64(s.Complete)*1000/float64(span)/capacity)
	r.record("extra-share-in-overload", s.ExtraShare())
	r.record("refused-share-in-overload", s.RefusedShare())
	r.record("p99-in-overload-ms", s.Percentile(99))
	end := r.World.Now()
	r.advance(10 * clock.Second)
	r.record("recovery-s", r.recoverySeconds(end))
	r.recordCommon()
}

// recoverySeconds returns the number of seconds from the one that contains a time to the
// last one in which fewer than 97 % of the queries were answered completely, both
// included, or 0 if there is no such second. The last two seconds of the run don't count,
// as in worstCompleteShare.
func (r *Run) recoverySeconds(since clock.Milli) float64 {
	seconds := r.World.Stats.Seconds
	first := int(since / clock.Second)
	last := first
	for i := first; i < len(seconds)-2; i++ {
		if s := seconds[i]; s.Queries > 0 && float64(s.Complete) < 0.97*float64(s.Queries) {
			last = i + 1
		}
	}
	return float64(last - first)
}
