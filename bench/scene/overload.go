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
			Goal: "answered work at least 90 % of capacity, extra load at most 1 %, normal again within 2 s of the end",
			run:  func(r *Run) { r.overload(o.factor) },
		})
	}
}

// overload asks for more than there is, for a while, on top of light load that
// goes on after it.
func (r *Run) overload(factor float64) {
	const light, span = 0.5, 8 * clock.Second
	r.settled(light)
	begin := r.W.Now()
	capacity := 0.0
	for _, v := range r.D.Services {
		capacity += r.W.Capacity(v)
		r.W.StartLoad(virt.Load{
			Service: v.Name, Rate: (factor - light) * r.W.Capacity(v), Texts: texts, Callers: people, Until: begin + span,
		})
	}
	r.run(span)
	s := &r.W.Stats
	// Answered work counts shards, so that a partial answer counts in part.
	r.set("answered-over-capacity", float64(s.Complete+s.Partial())*s.CoveredShare()*1000/float64(span)/capacity)
	r.set("complete-over-capacity", float64(s.Complete)*1000/float64(span)/capacity)
	r.set("extra-share-in-overload", s.ExtraShare())
	r.set("refused-share-in-overload", s.RefusedShare())
	r.set("p99-in-overload-ms", s.Quantile(99))
	end := r.W.Now()
	r.run(10 * clock.Second)
	r.set("recovery-s", r.recovery(end))
	r.common()
}

// recovery is how many seconds after a time it took until every later second
// answered nearly all queries completely.
func (r *Run) recovery(since clock.Milli) float64 {
	seconds := r.W.Stats.Seconds
	first := int(since / clock.Second)
	last := first
	for i := first; i < len(seconds)-2; i++ {
		if s := seconds[i]; s.Queries > 0 && float64(s.Complete) < 0.97*float64(s.Queries) {
			last = i + 1
		}
	}
	return float64(last - first)
}
