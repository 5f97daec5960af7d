package virt

import (
	"fmt"
	"math"

	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
)

// Load is a stream of queries to one service.
type Load struct {
	Service string
	// Rate is in queries a second.
	Rate float64
	// Texts is how many different queries there are; some are asked far more
	// often than others. 0 makes each one new.
	Texts   int
	Callers int
	// Caller, when set, asks them all.
	Caller string
	Budget clock.Milli
	From   clock.Milli
	Until  clock.Milli
}

// Capacity is how many queries a second a service can answer, by the slots of
// all replicas of a shard and the mean service time.
func (w *World) Capacity(v deploy.Service) float64 {
	perShard := float64(v.Instances*v.Leafs*v.Slots) / float64(v.Shards())
	return perShard * 1000 / w.Model.Service
}

// Run starts a stream.
func (w *World) Run(l Load) {
	if l.Budget == 0 {
		l.Budget = deploy.Deadline
	}
	var next func()
	n := 0
	next = func() {
		if l.Until > 0 && w.Now() >= l.Until {
			return
		}
		n++
		w.askOne(l, n)
		w.later(l.Rate, next)
	}
	w.Clock.At(l.From, func() { w.later(l.Rate, next) })
}

// later runs f after a time drawn from an exponential distribution. What
// rounding to whole milliseconds takes away comes back by running several
// arrivals in one millisecond.
func (w *World) later(rate float64, f func()) {
	w.Clock.After(clock.Milli(math.Floor(w.Random.ExpFloat64()*1000/rate+w.Random.Float64())), f)
}

func (w *World) askOne(l Load, n int) {
	h := w.balance()
	if h == nil {
		return
	}
	text := fmt.Sprintf("new %d", n)
	if l.Texts > 0 {
		// A few texts are asked for most of the time.
		u := w.Random.Float64()
		text = fmt.Sprintf("text %d", int(u*u*u*float64(l.Texts)))
	}
	caller := l.Caller
	if caller == "" {
		caller = fmt.Sprintf("caller-%d", w.Random.IntN(max(1, l.Callers)))
	}
	w.Ask(h, l.Service, text, caller, l.Budget, nil)
}

// balance picks a host as the balancer does: any that is ready.
func (w *World) balance() *Host {
	start := w.Random.IntN(len(w.Hosts))
	for i := range w.Hosts {
		h := w.Hosts[(start+i)%len(w.Hosts)]
		if h.Serves() {
			return h
		}
	}
	return nil
}
