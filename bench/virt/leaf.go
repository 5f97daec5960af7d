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

// Model describes the behavior of the virtual leaves.
type Model struct {
	// ServiceTime is the mean service time of a query at a leaf, in ms. Service
	// times have a log-normal distribution.
	ServiceTime float64
	// LogStdDev is the standard deviation of the logarithm of service times.
	LogStdDev float64
	// WarmUp is how long a cold leaf takes to reach the capacity of all its slots.
	WarmUp clock.Milli
	// ColdFactor multiplies the service time of a leaf that has just become cold.
	ColdFactor float64
}

// DefaultModel has queries of 10 ms with a moderate variance.
func DefaultModel() Model {
	return Model{ServiceTime: 10, LogStdDev: 0.4, WarmUp: deploy.WarmUp, ColdFactor: 4}
}

// CrashText is the text of queries that crash every server that runs them.
const CrashText = "crash"

// restartDelay is how long a crashed server stays down.
const restartDelay = 2 * clock.Second

// attemptKey identifies a call at a leaf.
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

// Leaf is a virtual leaf. It counts the requests that exceed its capacity.
type Leaf struct {
	w           *World
	spec        topo.Leaf
	server      string
	service     string
	domain      string
	connectTime clock.Milli

	incarnation     uint64
	down            bool
	draining        bool
	active          int         // calls that run now
	coldSince       clock.Milli // start of the warm-up
	warming         bool
	unseen          bool // cold, and no health check or rejection has shown it yet
	stragglerFactor float64
	holds           []topo.SnapshotID
	conns           map[connKey]bool      // open connections; false for a silent one
	running         map[attemptKey]func() // running calls; the function stops one with an error
	maxConns        int

	calls        int         // calls begun so far
	excessCold   int         // requests beyond its capacity while cold, when unseen is not set
	excessUnseen int         // requests beyond its capacity while cold, when unseen is set
	excessWarm   int         // requests beyond its slots while warm
	lastUse      clock.Milli // when its last call began
}

// newLeaf returns a warm leaf that holds version 1 of layout 1.
func newLeaf(w *World, s topo.Server, l topo.Leaf, v deploy.Service) *Leaf {
	f := &Leaf{
		w: w, spec: l, server: s.Name, service: s.Service, domain: s.Domain, connectTime: v.ConnectTime,
		incarnation: 1, stragglerFactor: 1, conns: map[connKey]bool{}, running: map[attemptKey]func(){},
	}
	f.holds = []topo.SnapshotID{{Layout: 1, Version: 1}}
	return f
}

// SetSnapshots replaces the snapshots that a leaf holds.
func (f *Leaf) SetSnapshots(pins ...topo.SnapshotID) { f.holds = pins }

// capacity returns how many requests the leaf can run at once now. It ends the
// warm-up when its time is over.
func (f *Leaf) capacity() int {
	if !f.warming {
		return f.spec.Slots
	}
	elapsed := f.w.Now() - f.coldSince
	if elapsed >= f.w.Model.WarmUp {
		f.warming, f.unseen = false, false
		return f.spec.Slots
	}
	return max(1, int(clock.Milli(f.spec.Slots)*elapsed/f.w.Model.WarmUp))
}

// serviceFactor returns the factor on service times. During the warm-up it falls
// linearly from ColdFactor to 1; a straggler's own factor applies on top.
func (f *Leaf) serviceFactor() float64 {
	if !f.warming {
		return f.stragglerFactor
	}
	share := float64(f.w.Now()-f.coldSince) / float64(f.w.Model.WarmUp)
	return f.stragglerFactor * (1 + (f.w.Model.ColdFactor-1)*max(0, 1-share))
}

// status returns what each reply of the leaf reports.
func (f *Leaf) status() sched.LeafStatus {
	return sched.LeafStatus{Incarnation: f.incarnation, Draining: f.draining, Holds: f.holds}
}

// callAtLeaf calls run at the leaf after the network latency. A new connection takes the
// connect time and is refused if the leaf is down or has no connection left. run gets
// false if the connection was refused or has closed. It is not called if the domains
// are partitioned or the connection is silent.
func (f *Leaf) callAtLeaf(h *Host, id sched.ConnID, newConn bool, run func(opened bool)) {
	w := f.w
	key := connKey{h.Index, h.incarnation, id}
	wait := w.delay(h.Domain, f.domain)
	if newConn {
		wait += f.connectTime
	}
	w.Clock.After(wait, func() {
		if w.partitioned(h.Domain, f.domain) {
			return
		}
		if newConn {
			if f.down || len(f.conns) >= f.spec.Connections {
				run(false)
				return
			}
			f.conns[key] = true
			f.maxConns = max(f.maxConns, len(f.conns))
		}
		alive, ok := f.conns[key]
		if !ok {
			run(false)
			return
		}
		if alive {
			run(true)
		}
	})
}

// callAtHost calls run at the host after the network latency. The call is lost if by then
// the failure domains are partitioned, the host is down or has restarted, or the connection
// is closed or silent. A paused host makes it when it resumes.
func (f *Leaf) callAtHost(h *Host, id sched.ConnID, run func()) {
	incarnation := h.incarnation
	f.w.Clock.After(f.w.delay(h.Domain, f.domain), func() {
		if f.w.partitioned(h.Domain, f.domain) || h.incarnation != incarnation || !f.conns[connKey{h.Index, incarnation, id}] {
			return
		}
		h.do(run)
	})
}

// closeConn closes a connection.
func (f *Leaf) closeConn(k connKey) { delete(f.conns, k) }

// hostDown closes the connections of a host whose programs have ended, and ends the
// host's calls.
func (f *Leaf) hostDown(h *Host) {
	for k := range f.conns {
		if k.host == h.Index && k.incarnation == h.incarnation {
			delete(f.conns, k)
		}
	}
	// The leaf sees the connections close and aborts the calls on them.
	for k := range f.running {
		if k.host == h.Index && k.incarnation == h.incarnation {
			delete(f.running, k)
			f.active--
		}
	}
}

// abort stops a running query, which replies with an error; an update runs to its end.
// The result of the abort itself is reported like that of a health check.
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

// probe runs a health check of the leaf and reports the result to the scheduler. A
// reply that reaches the host clears unseen.
func (f *Leaf) probe(h *Host, id sched.ConnID, newConn bool) {
	incarnation := h.incarnation
	f.callAtLeaf(h, id, newConn, func(opened bool) {
		if !opened {
			h.do(func() {
				if h.incarnation == incarnation {
					h.applySched(h.Sched.ProbeDone(f.w.Now(), f.spec.Name, id, sched.LeafStatus{}, errRefused))
				}
			})
			return
		}
		f.callAtHost(h, id, func() {
			f.unseen = false
			h.applySched(h.Sched.ProbeDone(f.w.Now(), f.spec.Name, id, f.status(), nil))
		})
	})
}

// send sends a call to the leaf and runs it there.
func (f *Leaf) send(h *Host, s sched.Send) {
	incarnation := h.incarnation
	result := sched.Result{Leaf: f.spec.Name, Conn: s.Conn, Key: s.Call.Key}
	f.callAtLeaf(h, s.Conn, s.NewConn, func(opened bool) {
		if !opened {
			h.do(func() {
				if h.incarnation == incarnation {
					result.DialFailed, result.ConnLost = s.NewConn, true
					result.Outcome = query.Outcome{Kind: query.NotRun, Reason: query.ReasonUnreachable}
					h.applySched(h.Sched.CallDone(f.w.Now(), result))
				}
			})
			return
		}
		f.run(h, s, result)
	})
}

// sendOutcome sends the outcome of a call to the host.
func (f *Leaf) sendOutcome(h *Host, s sched.Send, r sched.Result, o query.Outcome) {
	f.callAtHost(h, s.Conn, func() {
		r.Outcome, r.Status = o, f.status()
		h.applySched(h.Sched.CallDone(f.w.Now(), r))
	})
}

// run runs a call, unless the leaf is draining, does not hold a query's shard in the
// pinned snapshot or is at its capacity; the outcome then says so. A call
// with CrashText crashes the server. A request that is not a leafRequest is ignored.
func (f *Leaf) run(h *Host, s sched.Send, r sched.Result) {
	request, ok := s.Call.Request.(leafRequest)
	if !ok {
		return
	}
	w := f.w
	switch {
	case f.draining:
		f.sendOutcome(h, s, r, query.Outcome{Kind: query.NotRun, Reason: query.ReasonDraining})
		return
	case request.update == nil && !f.holdsShard(request.pin, request.shard):
		f.sendOutcome(h, s, r, query.Outcome{Kind: query.NotRun, Reason: query.ReasonSnapshot})
		return
	case f.active >= f.capacity():
		switch {
		case !f.warming:
			f.excessWarm++
		case f.unseen:
			f.excessUnseen++
			w.Clock.After(3, func() { f.unseen = false }) // a reply counts as received after 3 ms
		default:
			f.excessCold++
		}
		f.sendOutcome(h, s, r, query.Outcome{Kind: query.Shed, Reason: query.ReasonShed})
		return
	}
	f.active++
	f.calls++
	f.lastUse = w.Now()
	w.Stats.recordCall(f)
	if request.update != nil {
		w.Executed[request.update.Update.ID.String()]++
	}
	if request.text == CrashText {
		w.Stats.Crashes[f.server] = append(w.Stats.Crashes[f.server], w.Now())
		f.w.Crash(f.server)
		return
	}
	incarnation := f.incarnation
	attempt := attemptKey{h.Index, h.incarnation, s.Call.Key}
	f.running[attempt] = func() {
		f.active--
		f.sendOutcome(h, s, r, query.Outcome{Kind: query.Unknown, Reason: query.ReasonLeafError})
	}
	duration := f.serviceTime(request)
	if request.update == nil {
		duration = min(duration, max(1, s.Call.Deadline-w.Now())) // a leaf stops at the deadline
	}
	w.Clock.After(duration, func() {
		if _, still := f.running[attempt]; !still || incarnation != f.incarnation || f.down {
			return
		}
		delete(f.running, attempt)
		f.active--
		if request.update != nil {
			f.sendOutcome(h, s, r, query.Outcome{Kind: query.OK, Body: "done"})
			return
		}
		f.sendOutcome(h, s, r, query.Outcome{Kind: query.OK, Rows: []query.Row{{
			Key: rowKey(f.service, request.pin, request.shard), Score: 1, Text: request.text,
		}}})
	})
}

// holdsShard reports whether the leaf holds a shard in a snapshot.
func (f *Leaf) holdsShard(pin topo.SnapshotID, shard int) bool {
	if held, ok := f.spec.Shard(pin.Layout); !ok || held != shard {
		return false
	}
	for _, p := range f.holds {
		if p == pin {
			return true
		}
	}
	return false
}

// serviceTime returns the service time of a call. A query's time on a shard does
// not depend on the replica, so that all policies run the same work.
func (f *Leaf) serviceTime(request leafRequest) clock.Milli {
	base := ServiceTime(f.w.Model, f.w.Seed, uint64(request.entry.Index)<<40|request.query, request.shard)
	return max(1, clock.Milli(math.Round(base*f.serviceFactor())))
}

// ServiceTime returns how long a query takes on a shard at a warm leaf, in ms.
func ServiceTime(m Model, seed, query uint64, shard int) float64 {
	u1 := uniform(seed, query, uint64(shard)*2+1)
	u2 := uniform(seed, query, uint64(shard)*2+2)
	// Box-Muller transform. The last term below makes ServiceTime the mean.
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	return m.ServiceTime * math.Exp(m.LogStdDev*normal-m.LogStdDev*m.LogStdDev/2)
}

// uniform returns a pseudo-random number in (0, 1] that depends on its arguments alone.
func uniform(a, b, c uint64) float64 {
	x := a*0x9e3779b97f4a7c15 ^ b*0xbf58476d1ce4e5b9 ^ c*0x94d049bb133111eb
	x ^= x >> 31
	x *= 0x7fb5d329728ea185
	x ^= x >> 27
	x *= 0x81dadef4bc2dd44d
	x ^= x >> 33
	return (float64(x>>11) + 1) / (1 << 53)
}

// Crash stops a backend server, which restarts cold after restartDelay.
func (w *World) Crash(server string) {
	for _, f := range w.leafOrder {
		if f.server == server {
			f.crash()
		}
	}
	w.Clock.After(restartDelay, func() { w.Restart(server) })
}

// Restart starts a server that is down; it is cold.
func (w *World) Restart(server string) {
	for _, f := range w.leafOrder {
		if f.server == server {
			f.down = false
			f.restartCold()
		}
	}
}

// restartCold starts the warm-up under a new incarnation, with no calls running.
func (f *Leaf) restartCold() {
	f.incarnation++
	f.active = 0
	f.running = map[attemptKey]func(){}
	f.coldSince, f.warming, f.unseen = f.w.Now(), true, true
}

// DropCaches makes a server cold without a restart: only its slower replies
// show it.
func (w *World) DropCaches(server string) {
	for _, f := range w.leafOrder {
		if f.server == server {
			f.coldSince, f.warming, f.unseen = w.Now(), true, true
		}
	}
}

// crash closes all connections of the leaf, of which the hosts are informed; the calls on
// them are lost.
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

// connsOf lists a host's connections in order, so that runs are reproducible.
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

// connLost reports a broken connection to the scheduler: a call on it is lost,
// an idle connection is just closed.
func (h *Host) connLost(f *Leaf, id sched.ConnID) {
	now := h.World.Now()
	if key, busy := h.Sched.CallOnConn(f.spec.Name, id); busy {
		h.applySched(h.Sched.CallDone(now, sched.Result{
			Leaf: f.spec.Name, Conn: id, Key: key, ConnLost: true,
			Outcome: query.Outcome{Kind: query.Died, Reason: query.ReasonReset},
		}))
		return
	}
	h.applySched(h.Sched.ConnClosed(now, f.spec.Name, id))
}

// Silence makes a share of all open connections silent permanently.
func (w *World) Silence(share float64) {
	for _, f := range w.leafOrder {
		for _, h := range w.Hosts {
			for _, k := range connsOf(f.conns, h) {
				if w.Random.Float64() < share {
					f.conns[k] = false
				}
			}
		}
	}
}

// SetStragglers makes a random share of the leaves slower by a factor and the
// others normal again.
func (w *World) SetStragglers(share, factor float64) {
	for _, f := range w.leafOrder {
		f.stragglerFactor = 1
		if w.Random.Float64() < share {
			f.stragglerFactor = factor
		}
	}
}

// SetDraining makes a backend server drain, or ends its draining.
func (w *World) SetDraining(server string, draining bool) {
	for _, f := range w.leafOrder {
		if f.server == server {
			f.draining = draining
		}
	}
}
