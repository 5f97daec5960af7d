package virt

import (
	"math"
	"sort"

	"dandelionstile/bench/deploy"
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
	"dandelionstile/share/sched"
	"dandelionstile/share/topo"
)

// Model is how the virtual leafs behave.
type Model struct {
	// Service is the mean time of a query at a leaf, in ms; times are drawn
	// from a log-normal distribution.
	Service float64
	// Spread is the standard deviation of the logarithm of the times.
	Spread float64
	// Warm is how long a cold leaf takes until it bears all of its slots.
	Warm clock.Milli
	// ColdFactor is how much slower a leaf is at the very start.
	ColdFactor float64
}

// DefaultModel has queries of 10 ms with a moderate spread.
func DefaultModel() Model {
	return Model{Service: 10, Spread: 0.4, Warm: deploy.Warm, ColdFactor: 4}
}

// CrashText is the text of queries that bring down every server they run on.
const CrashText = "crash"

// restartAfter is how long a crashed server stays away.
const restartAfter = 2 * clock.Second

// attemptKey names a call at a leaf.
type attemptKey struct {
	host        int
	incarnation uint64
	key         sched.Key
}

type connKey struct {
	host        int
	incarnation uint64
	conn        sched.ConnID
}

// Leaf is a virtual leaf. It counts what is sent to it beyond what it bears.
type Leaf struct {
	w       *World
	spec    topo.Leaf
	server  string
	service string
	domain  string
	connect clock.Milli

	incarnation uint64
	down        bool
	draining    bool
	active      int
	cold        clock.Milli // start of the warm-up
	warming     bool
	unseen      bool // cold with no sign of it yet
	straggle    float64
	holds       []topo.SnapshotID
	conns       map[connKey]bool // false: silent
	running     map[attemptKey]func()
	mostConns   int

	calls   int
	excess  int // beyond what it bore while cold, after a sign of that was out
	hidden  int // the same before any sign was out
	over    int // beyond its slots while warm
	lastUse clock.Milli
}

func newLeaf(w *World, s topo.Server, l topo.Leaf, v deploy.Service) *Leaf {
	f := &Leaf{
		w: w, spec: l, server: s.Name, service: s.Service, domain: s.Domain, connect: v.Connect,
		incarnation: 1, straggle: 1, conns: map[connKey]bool{}, running: map[attemptKey]func(){},
	}
	f.holds = []topo.SnapshotID{{Layout: 1, Version: 1}}
	return f
}

// SetSnapshots changes what a leaf holds.
func (f *Leaf) SetSnapshots(pins ...topo.SnapshotID) { f.holds = pins }

// bears is how many requests the leaf can have at once now.
func (f *Leaf) bears() int {
	if !f.warming {
		return f.spec.Slots
	}
	age := f.w.Now() - f.cold
	if age >= f.w.Model.Warm {
		f.warming, f.unseen = false, false
		return f.spec.Slots
	}
	return max(1, int(clock.Milli(f.spec.Slots)*age/f.w.Model.Warm))
}

// slowness is the factor on service times while the leaf warms up.
func (f *Leaf) slowness() float64 {
	if !f.warming {
		return f.straggle
	}
	share := float64(f.w.Now()-f.cold) / float64(f.w.Model.Warm)
	return f.straggle * (1 + (f.w.Model.ColdFactor-1)*max(0, 1-share))
}

func (f *Leaf) sign() sched.LeafStatus {
	return sched.LeafStatus{Incarnation: f.incarnation, Draining: f.draining, Holds: f.holds}
}

// reach opens the connection if it is fresh, and passes the way there. It tells
// through then what became of it.
func (f *Leaf) reach(h *Host, id sched.ConnID, fresh bool, then func(opened bool)) {
	w := f.w
	key := connKey{h.Index, h.incarnation, id}
	wait := w.delay(h.Domain, f.domain)
	if fresh {
		wait += f.connect
	}
	w.Clock.After(wait, func() {
		if w.cut(h.Domain, f.domain) {
			return
		}
		if fresh {
			if f.down || len(f.conns) >= f.spec.Connections {
				then(false)
				return
			}
			f.conns[key] = true
			f.mostConns = max(f.mostConns, len(f.conns))
		}
		alive, ok := f.conns[key]
		if !ok {
			then(false)
			return
		}
		if alive {
			then(true)
		}
	})
}

// back runs f at the host after the way back, unless the connection is gone or
// silent by then.
func (f *Leaf) back(h *Host, id sched.ConnID, run func()) {
	born := h.incarnation
	f.w.Clock.After(f.w.delay(h.Domain, f.domain), func() {
		if f.w.cut(h.Domain, f.domain) || h.incarnation != born || !f.conns[connKey{h.Index, born, id}] {
			return
		}
		h.do(run)
	})
}

func (f *Leaf) shut(k connKey) { delete(f.conns, k) }

func (f *Leaf) hostGone(h *Host) {
	for k := range f.conns {
		if k.host == h.Index && k.incarnation == h.incarnation {
			delete(f.conns, k)
		}
	}
	// The leaf sees the connections close and stops what was on them.
	for k := range f.running {
		if k.host == h.Index && k.incarnation == h.incarnation {
			delete(f.running, k)
			f.active--
		}
	}
}

// abort stops a query under way; an update runs to its end.
func (f *Leaf) abort(h *Host, a sched.Abort) {
	attempt := attemptKey{h.Index, h.incarnation, a.Call.Key}
	f.w.Clock.After(f.w.delay(h.Domain, f.domain), func() {
		if stop, ok := f.running[attempt]; ok && !a.Call.Update {
			delete(f.running, attempt)
			stop()
		}
	})
	f.probe(h, a.Conn, a.NewConn)
}

func (f *Leaf) probe(h *Host, id sched.ConnID, fresh bool) {
	born := h.incarnation
	f.reach(h, id, fresh, func(opened bool) {
		if !opened {
			h.do(func() {
				if h.incarnation == born {
					h.actGate(h.Gate.ProbeDone(f.w.Now(), f.spec.Name, id, sched.LeafStatus{}, errRefused))
				}
			})
			return
		}
		f.back(h, id, func() {
			f.unseen = false
			h.actGate(h.Gate.ProbeDone(f.w.Now(), f.spec.Name, id, f.sign(), nil))
		})
	})
}

// send runs a call.
func (f *Leaf) send(h *Host, s sched.Send) {
	born := h.incarnation
	result := sched.Result{Leaf: f.spec.Name, Conn: s.Conn, Key: s.Call.Key}
	f.reach(h, s.Conn, s.NewConn, func(opened bool) {
		if !opened {
			h.do(func() {
				if h.incarnation == born {
					result.DialFailed, result.ConnLost = s.NewConn, true
					result.Outcome = query.Outcome{Kind: query.NotRun, Reason: query.ReasonUnreachable}
					h.actGate(h.Gate.CallDone(f.w.Now(), result))
				}
			})
			return
		}
		f.run(h, s, result)
	})
}

func (f *Leaf) finish(h *Host, s sched.Send, r sched.Result, o query.Outcome) {
	f.back(h, s.Conn, func() {
		r.Outcome, r.Status = o, f.sign()
		h.actGate(h.Gate.CallDone(f.w.Now(), r))
	})
}

func (f *Leaf) run(h *Host, s sched.Send, r sched.Result) {
	j, ok := s.Call.Request.(job)
	if !ok {
		return
	}
	w := f.w
	switch {
	case f.draining:
		f.finish(h, s, r, query.Outcome{Kind: query.NotRun, Reason: query.ReasonDraining})
		return
	case j.update == nil && !f.has(j.pin, j.shard):
		f.finish(h, s, r, query.Outcome{Kind: query.NotRun, Reason: query.ReasonSnapshot})
		return
	case f.active >= f.bears():
		switch {
		case !f.warming:
			f.over++
		case f.unseen:
			f.hidden++
			w.Clock.After(3, func() { f.unseen = false }) // when the reply is back
		default:
			f.excess++
		}
		f.finish(h, s, r, query.Outcome{Kind: query.Shed, Reason: query.ReasonShed})
		return
	}
	f.active++
	f.calls++
	f.lastUse = w.Now()
	w.Stats.use(f)
	if j.update != nil {
		w.Executed[j.update.Update.ID.String()]++
	}
	if j.text == CrashText {
		w.Stats.Crashes[f.server] = append(w.Stats.Crashes[f.server], w.Now())
		f.w.Crash(f.server)
		return
	}
	incarnation := f.incarnation
	attempt := attemptKey{h.Index, h.incarnation, s.Call.Key}
	f.running[attempt] = func() {
		f.active--
		f.finish(h, s, r, query.Outcome{Kind: query.Unknown, Reason: query.ReasonLeafError})
	}
	span := f.draw(j)
	if j.update == nil {
		span = min(span, max(1, s.Call.Deadline-w.Now())) // a leaf stops at the deadline
	}
	w.Clock.After(span, func() {
		if _, still := f.running[attempt]; !still || incarnation != f.incarnation || f.down {
			return
		}
		delete(f.running, attempt)
		f.active--
		if j.update != nil {
			f.finish(h, s, r, query.Outcome{Kind: query.OK, Body: "done"})
			return
		}
		f.finish(h, s, r, query.Outcome{Kind: query.OK, Rows: []query.Row{{
			Key: rowKey(f.service, j.pin, j.shard), Score: 1, Text: j.text,
		}}})
	})
}

func (f *Leaf) has(pin topo.SnapshotID, shard int) bool {
	if mine, ok := f.spec.Shard(pin.Layout); !ok || mine != shard {
		return false
	}
	for _, p := range f.holds {
		if p == pin {
			return true
		}
	}
	return false
}

// draw is the time of a call. A query's time on a shard does not depend on the
// replica, so that policies are compared on the same work.
func (f *Leaf) draw(j job) clock.Milli {
	base := ServiceTime(f.w.Model, f.w.Seed, uint64(j.entry.Index)<<40|j.query, j.shard)
	return max(1, clock.Milli(math.Round(base*f.slowness())))
}

// ServiceTime is how long a query takes on a shard, at a warm leaf, in ms.
func ServiceTime(m Model, seed, query uint64, shard int) float64 {
	u1 := unit(seed, query, uint64(shard)*2+1)
	u2 := unit(seed, query, uint64(shard)*2+2)
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	return m.Service * math.Exp(m.Spread*normal-m.Spread*m.Spread/2)
}

// unit is a number in (0, 1] that depends on its arguments alone.
func unit(a, b, c uint64) float64 {
	x := a*0x9e3779b97f4a7c15 ^ b*0xbf58476d1ce4e5b9 ^ c*0x94d049bb133111eb
	x ^= x >> 31
	x *= 0x7fb5d329728ea185
	x ^= x >> 27
	x *= 0x81dadef4bc2dd44d
	x ^= x >> 33
	return (float64(x>>11) + 1) / (1 << 53)
}

// Crash takes a backend server down; it comes back cold.
func (w *World) Crash(server string) {
	for _, f := range w.order {
		if f.server == server {
			f.crash()
		}
	}
	w.Clock.After(restartAfter, func() { w.Restart(server) })
}

// Restart brings a server back, cold.
func (w *World) Restart(server string) {
	for _, f := range w.order {
		if f.server == server {
			f.down = false
			f.chill()
		}
	}
}

// chill starts the warm-up with a visible restart.
func (f *Leaf) chill() {
	f.incarnation++
	f.active = 0
	f.running = map[attemptKey]func(){}
	f.cold, f.warming, f.unseen = f.w.Now(), true, true
}

// ChillUnseen makes a server cold with no sign of it but its slowness.
func (w *World) ChillUnseen(server string) {
	for _, f := range w.order {
		if f.server == server {
			f.cold, f.warming, f.unseen = w.Now(), true, true
		}
	}
}

// crash closes all connections of the leaf; what was on them is lost.
func (f *Leaf) crash() {
	f.down = true
	f.incarnation++
	f.active = 0
	f.running = map[attemptKey]func(){}
	conns := f.conns
	f.conns = map[connKey]bool{}
	for _, h := range f.w.Hosts {
		for _, k := range connsOf(conns, h) {
			f.w.deliver(f.domain, h, func() { h.connLost(f, k.conn) })
		}
	}
}

// connsOf lists a host's connections in order, so that runs repeat.
func connsOf(conns map[connKey]bool, h *Host) []connKey {
	var list []connKey
	for k := range conns {
		if k.host == h.Index && k.incarnation == h.incarnation {
			list = append(list, k)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].conn < list[j].conn })
	return list
}

// connLost tells the gate that a connection broke: a call on it is lost, an
// idle one is just closed.
func (h *Host) connLost(f *Leaf, id sched.ConnID) {
	now := h.World.Now()
	if key, busy := h.Gate.CallOnConn(f.spec.Name, id); busy {
		h.actGate(h.Gate.CallDone(now, sched.Result{
			Leaf: f.spec.Name, Conn: id, Key: key, ConnLost: true,
			Outcome: query.Outcome{Kind: query.Died, Reason: query.ReasonReset},
		}))
		return
	}
	h.actGate(h.Gate.ConnClosed(now, f.spec.Name, id))
}

// Silence makes a share of all open connections silent for good.
func (w *World) Silence(share float64) {
	for _, f := range w.order {
		for _, h := range w.Hosts {
			for _, k := range connsOf(f.conns, h) {
				if w.Random.Float64() < share {
					f.conns[k] = false
				}
			}
		}
	}
}

// Straggle makes a random share of the leafs slower, others back to normal.
func (w *World) Straggle(share, factor float64) {
	for _, f := range w.order {
		f.straggle = 1
		if w.Random.Float64() < share {
			f.straggle = factor
		}
	}
}

// Drain makes a backend server leave, or come back.
func (w *World) Drain(server string, on bool) {
	for _, f := range w.order {
		if f.server == server {
			f.draining = on
		}
	}
}
