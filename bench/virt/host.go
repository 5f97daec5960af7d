package virt

import (
	"math/rand/v2"

	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/fanout"
	"dandelionstile/share/sched"
	"dandelionstile/share/topo"
)

// Host is a machine with one entry and one aggregator; it holds the decision
// engines of both.
type Host struct {
	World  *World
	Index  int
	Name   string
	Domain string

	Fanout *fanout.Engine
	Sched  *sched.Engine
	cfg    *topo.Config

	incarnation   uint64
	down          bool
	leaving       bool
	paused        bool
	pauseDetected bool            // paused longer than detectionTime: the peers closed their links
	backlog       []func()        // what the host runs when it resumes
	linked        map[string]bool // hosts with an open link, itself included
}

// boot starts the host's programs with empty state.
func (h *Host) boot() {
	w := h.World
	h.incarnation++
	h.down, h.leaving, h.paused, h.pauseDetected, h.backlog = false, false, false, false, nil
	h.linked = map[string]bool{}
	h.Fanout = &fanout.Engine{
		Self: h.Name, Domain: h.Domain, Policy: w.Policies.Fanout,
		Random: rand.New(rand.NewPCG(w.Seed, uint64(h.Index)<<8|h.incarnation)),
	}
	h.Fanout.SetIncarnation(h.incarnation)
	h.Sched = &sched.Engine{Self: h.Name, Domain: h.Domain, Policy: w.Policies.Sched}
	h.configure(w.Config)
	w.Clock.After(1, h.relinkAll) // when Start has booted the other hosts too
}

// do runs f on the host: now, after the resume if the host is paused, or never
// if it is down.
func (h *Host) do(f func()) {
	switch {
	case h.down: // f is lost
	case h.paused:
		h.backlog = append(h.backlog, f)
	default:
		f()
	}
}

// Pause suspends the host, whose engines don't notice it. The peers close their
// links after detectionTime.
func (h *Host) Pause() {
	h.paused = true
	h.World.Clock.After(detectionTime, func() {
		if h.paused {
			h.pauseDetected = true
			h.relinkAll()
		}
	})
}

// relinkAll makes all hosts, this one included, open and close their links according to
// the current states.
func (h *Host) relinkAll() {
	for _, other := range h.World.Hosts {
		other.do(other.relink)
	}
}

// Resume continues a paused host and runs its backlog.
func (h *Host) Resume() {
	h.paused, h.pauseDetected = false, false
	backlog := h.backlog
	h.backlog = nil
	for _, f := range backlog {
		h.do(f)
	}
	h.World.Clock.After(1, h.relinkAll)
}

// Kill ends both programs at once; peers and leaves see their connections close.
func (h *Host) Kill() {
	h.down = true
	for _, f := range h.World.leafOrder {
		f.hostDown(h)
	}
	h.relinkAll()
}

// Restart starts the programs of a host that is down.
func (h *Host) Restart() { h.boot() }

// Leave begins a graceful shutdown: all hosts learn of it at once, the scheduler stops
// admission after 500 ms, and the programs end once they are idle, but not before 2 s. It
// calls done when the host is down.
func (h *Host) Leave(done func()) {
	h.leaving = true
	for _, other := range h.World.Hosts {
		other.do(func() {
			other.configure(other.cfg)
		})
	}
	h.World.Clock.After(500, func() { h.applySched(h.Sched.Leave(h.World.Now())) })
	var wait func()
	wait = func() {
		if !h.Sched.Idle() || !h.Fanout.Idle() {
			h.World.Clock.After(10, wait)
			return
		}
		h.Kill()
		done()
	}
	h.World.Clock.After(2000, wait) // the balancer may take 2 s to notice
}

// Ready reports whether the balancer sends callers to this host.
func (h *Host) Ready() bool { return !h.down && !h.leaving && !h.paused }

// configure applies a configuration and the current host list to both engines.
func (h *Host) configure(cfg *topo.Config) {
	h.cfg = cfg
	now := h.World.Now()
	hosts := h.World.liveHosts()
	h.Fanout.Configure(cfg, hosts)
	for _, o := range hosts {
		h.Fanout.HostLeaving(o.Name, o.Leaving)
	}
	h.applySched(h.Sched.Configure(now, cfg, hosts))
}

// relink opens and closes the host's links according to the partitions and the
// peers' states, and informs both engines. On a new link the entry gets the round-trip time
// and the peer's feedback at once.
func (h *Host) relink() {
	now := h.World.Now()
	for _, other := range h.World.Hosts {
		up := !other.down && !other.pauseDetected && !h.World.partitioned(h.Domain, other.Domain)
		if up == h.linked[other.Name] {
			continue
		}
		h.linked[other.Name] = up
		if !up {
			h.applyFanout(h.Fanout.HostDown(now, other.Name))
			h.applySched(h.Sched.LinkClosed(now, uint64(other.Index)))
			h.Sched.HostDown(now, other.Name)
			continue
		}
		h.Fanout.HostUp(other.Name)
		h.Sched.PeerUp()
		h.Fanout.RecordRTT(other.Name, float64(2*h.World.delay(h.Domain, other.Domain)))
		for _, fb := range other.Sched.Feedback(now) {
			h.Fanout.SetFeedback(fb)
		}
	}
}

func (h *Host) tickFanout() {
	h.applyFanout(h.Fanout.Tick(h.World.Now()))
}

func (h *Host) tickSched() {
	out, paused := h.Sched.Tick(h.World.Now())
	if paused {
		// The process was paused. The scheduler suspends admission until a peer has
		// confirmed the configuration; here, that takes 50 ms.
		h.World.Clock.After(50, func() { h.do(func() { h.configure(h.World.Config); h.Sched.ResumeAdmission() }) })
	}
	h.applySched(out)
}

// host returns the host with a name, or nil.
func (w *World) host(name string) *Host {
	for _, h := range w.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// applyFanout executes the actions of the fanout engine.
func (h *Host) applyFanout(actions []fanout.Action) {
	w := h.World
	for _, a := range actions {
		switch a := a.(type) {
		case fanout.SendBatch:
			to := w.host(a.Host)
			budget := max(0, a.Deadline-w.Now())
			w.deliver(h.Domain, to, func() { to.receiveBatch(h, a, budget) })
		case fanout.CancelCalls:
			to := w.host(a.Host)
			w.deliver(h.Domain, to, func() {
				for _, id := range a.Calls {
					to.applySched(to.Sched.Cancel(w.Now(), sched.Key{Link: uint64(h.Index), ID: id}))
				}
			})
		case fanout.Answered:
			w.recordAnswer(h, a)
		case fanout.ShareStrike:
			h.shareStrike(a.Strike)
			// A query that waits for the peers to know of the strike then continues; Query is
			// 0 if there is none.
			if a.Query == 0 {
				break
			}
			w.Clock.After(2*w.Deployment.RegionLatency, func() {
				h.do(func() { h.applyFanout(h.Fanout.StrikeShared(w.Now(), a.Query)) })
			})
		case fanout.SendUpdate:
			to := w.host(a.Host)
			budget := max(0, a.Update.Deadline-w.Now())
			w.deliver(h.Domain, to, func() { to.receiveUpdate(h, a, budget) })
		case fanout.Forward:
			h.forward(a)
		case fanout.UpdateAnswered:
			w.handleUpdateResult(h, a)
		}
	}
}

// shareStrike sends a strike to all reachable hosts.
func (h *Host) shareStrike(s deny.Strike) {
	for _, other := range h.World.Hosts {
		h.World.deliver(h.Domain, other, func() { other.mergeStrike(s) })
	}
}

// mergeStrike merges a strike of another host into both engines.
func (h *Host) mergeStrike(s deny.Strike) {
	now := h.World.Now()
	h.Fanout.MergeStrike(now, s)
	_, out := h.Sched.MergeStrike(now, s)
	h.applySched(out)
}

// leafRequest is the part of a call that the virtual leaf needs. For an update, update is
// set, text is its body, and query, pin and shard are zero.
type leafRequest struct {
	entry  *Host
	query  uint64
	pin    topo.SnapshotID
	shard  int
	text   string
	update *fanout.SendUpdate
}

// receiveBatch submits the calls of a batch to the scheduler.
func (h *Host) receiveBatch(from *Host, a fanout.SendBatch, budget clock.Milli) {
	now := h.World.Now()
	for _, c := range a.Calls {
		h.applySched(h.Sched.Submit(now, sched.Call{
			Key: sched.Key{Link: uint64(from.Index), ID: c.ID}, Leaf: c.Leaf, Caller: a.Caller,
			Deadline: now + budget, Fingerprint: a.Fingerprint, Canary: c.Canary, SecondCanary: c.SecondCanary, Pin: a.Pin,
			Request: leafRequest{entry: from, query: a.Query, pin: a.Pin, shard: c.Shard, text: a.Text},
		}))
	}
}

// receiveUpdate submits an update call to the scheduler, always as a canary, so that a
// crash of its server counts as a strike.
func (h *Host) receiveUpdate(from *Host, a fanout.SendUpdate, budget clock.Milli) {
	now := h.World.Now()
	h.applySched(h.Sched.Submit(now, sched.Call{
		Key: sched.Key{Link: uint64(from.Index), ID: a.Call}, Leaf: a.Leaf,
		Deadline: now + budget, Fingerprint: a.Fingerprint, Canary: true, Update: true,
		Request: leafRequest{entry: from, update: &a, text: a.Update.Body},
	}))
}

// forward sends an update to the host that minted its ID, where it runs under another
// request ID, and returns the result to this host. It fails at once if the other host
// is unknown, down or partitioned.
func (h *Host) forward(a fanout.Forward) {
	w := h.World
	owner := w.host(a.Host)
	if owner == nil || owner.down || w.partitioned(h.Domain, owner.Domain) {
		h.applyFanout(h.Fanout.ForwardFailed(a.Update.RequestID))
		return
	}
	w.deliver(h.Domain, owner, func() {
		u := a.Update
		w.nextID++
		u.RequestID = w.nextID
		w.Stats.onForwarded[u.RequestID] = func(r fanout.UpdateResult) {
			w.deliver(owner.Domain, h, func() { h.applyFanout(h.Fanout.ForwardDone(a.Update.RequestID, r)) })
		}
		owner.applyFanout(owner.Fanout.StartUpdate(w.Now(), u))
	})
}

// applySched executes the actions of the scheduler.
func (h *Host) applySched(actions []sched.Action) {
	w := h.World
	for _, a := range actions {
		switch a := a.(type) {
		case sched.Send:
			w.Leaves[a.Leaf].send(h, a)
		case sched.Probe:
			w.Leaves[a.Leaf].probe(h, a.Conn, a.NewConn)
		case sched.Abort:
			w.Leaves[a.Leaf].abort(h, a)
		case sched.CloseConn:
			w.Leaves[a.Leaf].closeConn(connKey{h.Index, h.incarnation, a.Conn})
		case sched.Reply:
			h.reply(a)
		case sched.Publish:
			for _, e := range w.Hosts {
				w.deliver(h.Domain, e, func() { e.Fanout.SetFeedback(a.Feedback) })
			}
		case sched.Claim:
			if to := w.host(a.Host); to != nil {
				w.deliver(h.Domain, to, func() {
					to.applySched(to.Sched.ClaimReceived(w.Now(), h.Name, a.ID, a.Servers))
				})
			}
		case sched.Grant:
			if to := w.host(a.Host); to != nil {
				w.deliver(h.Domain, to, func() {
					to.applySched(to.Sched.GrantReceived(w.Now(), h.Name, a.ID, a.Servers, a.Duration))
				})
			}
		case sched.Release:
			if to := w.host(a.Host); to != nil {
				w.deliver(h.Domain, to, func() { to.Sched.ReleaseReceived(w.Now(), h.Name, a.Servers) })
			}
		case sched.ShareStrike:
			h.shareStrike(a.Strike)
		case sched.LeafEvent:
			w.Stats.LeafEvents[a.Event+": "+a.Cause]++
		}
	}
}

// reply sends the outcome of a call to the entry that sent the call, unless the
// entry has restarted by then.
func (h *Host) reply(a sched.Reply) {
	w := h.World
	entry := w.Hosts[a.Key.Link]
	incarnation := entry.incarnation
	w.deliver(h.Domain, entry, func() {
		if entry.incarnation != incarnation {
			return
		}
		// Query and update calls share one sequence of IDs. CallDone ignores the IDs of
		// updates, and UpdateDone those of queries.
		entry.applyFanout(entry.Fanout.CallDone(w.Now(), a.Outcome))
		entry.applyFanout(entry.Fanout.UpdateDone(w.Now(), a.Key.ID, fanout.UpdateResult{
			Kind: a.Outcome.Kind, Reason: a.Outcome.Reason, RetryAfter: a.Outcome.RetryAfter,
			Body: a.Outcome.Body, Strikes: a.Outcome.Strikes,
		}))
	})
}
