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
	// Rate is the number of queries per second.
	Rate float64
	// Texts is the number of different queries; a few of them are far more frequent
	// than the others. With 0 every query is new.
	Texts int
	// Callers is the number of callers; each query comes from a random one.
	Callers int
	// Caller, if set, sends all queries.
	Caller string
	// Budget is the time budget of a query; 0 stands for deploy.Deadline.
	Budget clock.Milli
	// From and Until bound the time in which queries are sent. Without Until the
	// stream does not end.
	From  clock.Milli
	Until clock.Milli
}

// Capacity returns how many queries per second a service can answer, from the
// slots of all replicas of a shard and the mean service time.
func (w *World) Capacity(v deploy.Service) float64 {
	perShard := float64(v.Instances*v.Leaves*v.Slots) / float64(v.Shards())
	return perShard * 1000 / w.Model.ServiceTime
}

// StartLoad starts a stream of queries.
func (w *World) StartLoad(l Load) {
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
		w.sendOne(l, n)
		w.afterInterval(l.Rate, next)
	}
	w.Clock.At(l.From, func() { w.afterInterval(l.Rate, next) })
}

// afterInterval runs f after a random interval, drawn from an exponential
// distribution with a mean of 1/rate seconds. Rounding to whole milliseconds keeps
// the mean: several arrivals may share one millisecond.
func (w *World) afterInterval(rate float64, f func()) {
	w.Clock.After(clock.Milli(math.Floor(w.Random.ExpFloat64()*1000/rate+w.Random.Float64())), f)
}

// sendOne sends the n-th query of a stream to a random ready host. It sends none if
// no host is ready.
func (w *World) sendOne(l Load, n int) {
	h := w.chooseHost()
	if h == nil {
		return
	}
	text := fmt.Sprintf("new %d", n)
	if l.Texts > 0 {
		// The cube makes a few texts far more frequent than the others.
		u := w.Random.Float64()
		text = fmt.Sprintf("text %d", int(u*u*u*float64(l.Texts)))
	}
	caller := l.Caller
	if caller == "" {
		caller = fmt.Sprintf("caller-%d", w.Random.IntN(max(1, l.Callers)))
	}
	w.SendQuery(h, l.Service, text, caller, l.Budget, nil)
}

// chooseHost returns a random ready host, as the balancer does, or nil if there is
// none.
func (w *World) chooseHost() *Host {
	start := w.Random.IntN(len(w.Hosts))
	for i := range w.Hosts {
		h := w.Hosts[(start+i)%len(w.Hosts)]
		if h.Ready() {
			return h
		}
	}
	return nil
}
