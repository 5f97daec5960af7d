package virt

import (
	"math/rand/v2"

	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/fanout"
	"dandelionstile/share/sched"
	"dandelionstile/share/topo"
)

// Host is one entry host: its entry's and its aggregator's decisions.
type Host struct {
	World  *World
	Index  int
	Name   string
	Domain string

	Fan  *fanout.Engine
	Gate *sched.Engine
	cfg  *topo.Config

	incarnation uint64
	down        bool
	leaving     bool
	paused      bool
	frozen      bool // paused for so long that its peers have noticed
	backlog     []func()
	linked      map[string]bool
}

// boot starts the host's programs, with nothing remembered.
func (h *Host) boot() {
	w := h.World
	h.incarnation++
	h.down, h.leaving, h.paused, h.frozen, h.backlog = false, false, false, false, nil
	h.linked = map[string]bool{}
	h.Fan = &fanout.Engine{
		Self: h.Name, Domain: h.Domain, Policy: w.Policies.Fanout,
		Random: rand.New(rand.NewPCG(w.Seed, uint64(h.Index)<<8|h.incarnation)),
	}
	h.Fan.SetIncarnation(h.incarnation)
	h.Gate = &sched.Engine{Self: h.Name, Domain: h.Domain, Policy: w.Policies.Gate}
	h.configure(w.Config)
	w.Clock.After(1, h.relinkAll)
}

// do runs f on the host, later when it is paused, or never when it is down.
func (h *Host) do(f func()) {
	switch {
	case h.down:
	case h.paused:
		h.backlog = append(h.backlog, f)
	default:
		f()
	}
}

// Pause stops the host without its notice.
func (h *Host) Pause() {
	h.paused = true
	h.World.Clock.After(noticeCut, func() {
		if h.paused {
			h.frozen = true
			h.relinkAll()
		}
	})
}

func (h *Host) relinkAll() {
	for _, other := range h.World.Hosts {
		other.do(other.relink)
	}
}

// Wake lets it go on with what has piled up.
func (h *Host) Wake() {
	h.paused, h.frozen = false, false
	backlog := h.backlog
	h.backlog = nil
	for _, f := range backlog {
		h.do(f)
	}
	h.World.Clock.After(1, h.relinkAll)
}

// Kill ends both programs at once; peers see the links close.
func (h *Host) Kill() {
	h.down = true
	for _, f := range h.World.order {
		f.hostGone(h)
	}
	h.relinkAll()
}

// Restart starts the programs of a host that is down.
func (h *Host) Restart() { h.boot() }

// Leave begins a graceful shutdown; the host is down when done is called.
func (h *Host) Leave(done func()) {
	h.leaving = true
	for _, other := range h.World.Hosts {
		other.do(func() {
			other.configure(other.cfg)
		})
	}
	h.World.Clock.After(500, func() { h.actGate(h.Gate.Leave(h.World.Now())) })
	var wait func()
	wait = func() {
		if !h.Gate.Idle() || !h.Fan.Idle() {
			h.World.Clock.After(10, wait)
			return
		}
		h.Kill()
		done()
	}
	h.World.Clock.After(2000, wait) // what the balancer may take to notice
}

// Serves tells whether the balancer sends callers here.
func (h *Host) Serves() bool { return !h.down && !h.leaving && !h.paused }

func (h *Host) configure(cfg *topo.Config) {
	h.cfg = cfg
	now := h.World.Now()
	hosts := h.World.live()
	h.Fan.Configure(cfg, hosts)
	for _, o := range hosts {
		h.Fan.HostLeaving(o.Name, o.Leaving)
	}
	h.actGate(h.Gate.Configure(now, cfg, hosts))
}

// relink compares the links with what the network lets through.
func (h *Host) relink() {
	now := h.World.Now()
	for _, other := range h.World.Hosts {
		up := !other.down && !other.frozen && !h.World.cut(h.Domain, other.Domain)
		if up == h.linked[other.Name] {
			continue
		}
		h.linked[other.Name] = up
		if !up {
			h.actFan(h.Fan.HostDown(now, other.Name))
			h.actGate(h.Gate.LinkClosed(now, uint64(other.Index)))
			h.Gate.HostDown(now, other.Name)
			continue
		}
		h.Fan.HostUp(other.Name)
		h.Gate.PeerUp()
		h.Fan.RecordRTT(other.Name, float64(2*h.World.delay(h.Domain, other.Domain)))
		for _, fb := range other.Gate.Feedback(now) {
			h.Fan.SetFeedback(fb)
		}
	}
}

func (h *Host) tickFan() {
	h.actFan(h.Fan.Tick(h.World.Now()))
}

func (h *Host) tickGate() {
	out, paused := h.Gate.Tick(h.World.Now())
	if paused {
		h.World.Clock.After(50, func() { h.do(func() { h.configure(h.World.Config); h.Gate.ResumeAdmission() }) })
	}
	h.actGate(out)
}

// host finds a peer by name.
func (w *World) host(name string) *Host {
	for _, h := range w.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// actFan carries out the entry's decisions.
func (h *Host) actFan(actions []fanout.Action) {
	w := h.World
	for _, a := range actions {
		switch a := a.(type) {
		case fanout.SendBatch:
			to := w.host(a.Host)
			budget := max(0, a.Deadline-w.Now())
			w.deliver(h.Domain, to, func() { to.batch(h, a, budget) })
		case fanout.CancelCalls:
			to := w.host(a.Host)
			w.deliver(h.Domain, to, func() {
				for _, id := range a.Calls {
					to.actGate(to.Gate.Cancel(w.Now(), sched.Key{Link: uint64(h.Index), ID: id}))
				}
			})
		case fanout.Answered:
			w.answered(h, a)
		case fanout.ShareStrike:
			h.share(a.Strike)
			if a.Query == 0 {
				break
			}
			w.Clock.After(2*w.Deployment.Region, func() {
				h.do(func() { h.actFan(h.Fan.StrikeShared(w.Now(), a.Query)) })
			})
		case fanout.SendUpdate:
			to := w.host(a.Host)
			budget := max(0, a.Update.Deadline-w.Now())
			w.deliver(h.Domain, to, func() { to.update(h, a, budget) })
		case fanout.Forward:
			h.forward(a)
		case fanout.UpdateAnswered:
			w.updated(h, a)
		}
	}
}

// share tells all reachable hosts of a strike.
func (h *Host) share(s deny.Strike) {
	for _, other := range h.World.Hosts {
		h.World.deliver(h.Domain, other, func() { other.strike(s) })
	}
}

func (h *Host) strike(s deny.Strike) {
	now := h.World.Now()
	h.Fan.MergeStrike(now, s)
	_, out := h.Gate.MergeStrike(now, s)
	h.actGate(out)
}

// job is what the virtual leaf needs of a call.
type job struct {
	entry  *Host
	query  uint64
	pin    topo.SnapshotID
	shard  int
	text   string
	update *fanout.SendUpdate
}

func (h *Host) batch(from *Host, a fanout.SendBatch, budget clock.Milli) {
	now := h.World.Now()
	for _, c := range a.Calls {
		h.actGate(h.Gate.Submit(now, sched.Call{
			Key: sched.Key{Link: uint64(from.Index), ID: c.ID}, Leaf: c.Leaf, Caller: a.Caller,
			Deadline: now + budget, Fingerprint: a.Fingerprint, Canary: c.Canary, SecondCanary: c.SecondCanary, Pin: a.Pin,
			Request: job{entry: from, query: a.Query, pin: a.Pin, shard: c.Shard, text: a.Text},
		}))
	}
}

func (h *Host) update(from *Host, a fanout.SendUpdate, budget clock.Milli) {
	now := h.World.Now()
	h.actGate(h.Gate.Submit(now, sched.Call{
		Key: sched.Key{Link: uint64(from.Index), ID: a.Call}, Leaf: a.Leaf,
		Deadline: now + budget, Fingerprint: a.Fingerprint, Canary: true, Update: true,
		Request: job{entry: from, update: &a, text: a.Update.Body},
	}))
}

// forward hands an update to the host that minted its id.
func (h *Host) forward(a fanout.Forward) {
	w := h.World
	owner := w.host(a.Host)
	if owner == nil || owner.down || w.cut(h.Domain, owner.Domain) {
		h.actFan(h.Fan.ForwardFailed(a.Update.RequestID))
		return
	}
	w.deliver(h.Domain, owner, func() {
		u := a.Update
		w.nextID++
		u.RequestID = w.nextID
		w.Stats.remote[u.RequestID] = func(r fanout.UpdateResult) {
			w.deliver(owner.Domain, h, func() { h.actFan(h.Fan.ForwardDone(a.Update.RequestID, r)) })
		}
		owner.actFan(owner.Fan.StartUpdate(w.Now(), u))
	})
}

// actGate carries out the aggregator's decisions.
func (h *Host) actGate(actions []sched.Action) {
	w := h.World
	for _, a := range actions {
		switch a := a.(type) {
		case sched.Send:
			w.Leafs[a.Leaf].send(h, a)
		case sched.Probe:
			w.Leafs[a.Leaf].probe(h, a.Conn, a.NewConn)
		case sched.Abort:
			w.Leafs[a.Leaf].abort(h, a)
		case sched.CloseConn:
			w.Leafs[a.Leaf].shut(connKey{h.Index, h.incarnation, a.Conn})
		case sched.Reply:
			h.reply(a)
		case sched.Publish:
			for _, e := range w.Hosts {
				w.deliver(h.Domain, e, func() { e.Fan.SetFeedback(a.Feedback) })
			}
		case sched.Claim:
			if to := w.host(a.Host); to != nil {
				w.deliver(h.Domain, to, func() {
					to.actGate(to.Gate.ClaimReceived(w.Now(), h.Name, a.ID, a.Servers))
				})
			}
		case sched.Grant:
			if to := w.host(a.Host); to != nil {
				w.deliver(h.Domain, to, func() {
					to.actGate(to.Gate.GrantReceived(w.Now(), h.Name, a.ID, a.Servers, a.Duration))
				})
			}
		case sched.Release:
			if to := w.host(a.Host); to != nil {
				w.deliver(h.Domain, to, func() { to.Gate.ReleaseReceived(w.Now(), h.Name, a.Servers) })
			}
		case sched.ShareStrike:
			h.share(a.Strike)
		case sched.LeafEvent:
			w.Stats.Notes[a.Event+": "+a.Cause]++
		}
	}
}

func (h *Host) reply(a sched.Reply) {
	w := h.World
	entry := w.Hosts[a.Key.Link]
	born := entry.incarnation
	w.deliver(h.Domain, entry, func() {
		if entry.incarnation != born {
			return
		}
		// Query and update calls share one sequence; the engine knows which.
		entry.actFan(entry.Fan.CallDone(w.Now(), a.Outcome))
		entry.actFan(entry.Fan.UpdateDone(w.Now(), a.Key.ID, fanout.UpdateResult{
			Kind: a.Outcome.Kind, Reason: a.Outcome.Reason, RetryAfter: a.Outcome.RetryAfter,
			Body: a.Outcome.Body, Strikes: a.Outcome.Strikes,
		}))
	})
}
