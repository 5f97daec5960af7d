// Package core is the aggregator's control loop: it joins the gate's decisions
// with the links to entries and the connections to leafs.
package core

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"

	"dandelionstile/aggregator/leaves"
	"dandelionstile/share/admin"
	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/fetch"
	"dandelionstile/share/mesh"
	"dandelionstile/share/meter"
	"dandelionstile/share/node"
	"dandelionstile/share/query"
	"dandelionstile/share/sched"
	"dandelionstile/share/spans"
	"dandelionstile/share/topo"
	"dandelionstile/share/wire"
)

// Timing of the loop and of leaving.
const (
	tickEvery = 5 * time.Millisecond
	// leaveNotice is how long the peers get to hear that this process leaves,
	// while it still takes calls.
	leaveNotice = 500 * time.Millisecond
	// leaveMost bounds the wait for calls under way.
	leaveMost = 10 * time.Second
)

// Core is a running aggregator. Fields are set before Start.
type Core struct {
	Settings node.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Tracer   *spans.Tracer

	loop  node.Loop[any]
	node  node.Node
	gate  sched.Engine
	pool  leaves.Pool
	http  fetch.Engine
	links map[uint64]*mesh.Link
	peers map[string]*mesh.Link // aggregators by host
	addrs map[string]string     // leaf -> address
	jobs  map[sched.Key]*open
}

// open is a call that an entry waits for.
type open struct {
	update  bool
	service string
	span    spans.Span
}

// Messages of the control loop besides the node's and the pool's.
type (
	begin  struct{ done chan error }
	tick   struct{}
	leave  struct{ done chan struct{} }
	refuse struct{}
	status struct{ reply chan admin.Status }
)

// Start links up and begins to serve.
func (c *Core) Start() error {
	c.links = map[uint64]*mesh.Link{}
	c.peers = map[string]*mesh.Link{}
	c.addrs = map[string]string{}
	c.jobs = map[sched.Key]*open{}
	c.loop.Clock = clock.Wall{}
	c.http.Source = c.Settings.Listen.IP()
	if err := c.http.Start(); err != nil {
		return err
	}
	c.pool = leaves.Pool{
		HTTP: &c.http, Clock: clock.Wall{}, Tracer: c.Tracer,
		Report: func(m any) { c.loop.Post(m) },
	}
	c.gate = sched.Engine{Self: c.Settings.Host.Name, Domain: c.Settings.Host.Domain}
	c.node = node.Node{
		Settings: c.Settings, Program: node.Aggregator, Incarnation: node.NewIncarnation(), Log: c.Log, Meter: c.Meter,
		Delegate: owner{c}, HTTP: &c.http, Post: func(m node.Message) bool { return c.loop.Post(m) },
	}
	c.loop.Start(c.handle)
	// In the loop, since links may come up while the node still starts.
	first := begin{done: make(chan error, 1)}
	c.loop.Post(first)
	if err := <-first.done; err != nil {
		return err
	}
	c.loop.Every(tickEvery, tick{})
	return nil
}

func (c *Core) handle(now clock.Milli, m any) {
	switch m := m.(type) {
	case node.Message:
		c.node.Handle(now, m)
	case leaves.Finished:
		if m.Result.ConnLost || m.Result.DialFailed {
			c.pool.Shut(m.Result.Conn)
		}
		c.act(now, c.gate.CallDone(now, m.Result))
	case leaves.Probed:
		c.act(now, c.gate.ProbeDone(now, m.Leaf, m.Conn, m.Status, m.Err))
	case leaves.Closed:
		c.pool.Shut(m.Conn)
		c.act(now, c.gate.ConnClosed(now, m.Leaf, m.Conn))
	case begin:
		m.done <- c.node.Start()
	case tick:
		c.tick(now)
	case leave:
		c.node.AnnounceLeaving(now)
		close(m.done)
	case refuse:
		c.act(now, c.gate.Leave(now))
	case status:
		m.reply <- c.shown(now)
	}
}

func (c *Core) tick(now clock.Milli) {
	c.node.Handle(now, node.Tick{})
	out, paused := c.gate.Tick(now)
	if paused {
		c.Log.Warn().Msg("process was paused; new work waits until the configuration is confirmed")
		c.node.ConfirmVersions(now)
	}
	c.act(now, out)
}

// act carries out the gate's decisions.
func (c *Core) act(now clock.Milli, actions []sched.Action) {
	replies := map[uint64]*wire.Outcomes{}
	for _, a := range actions {
		switch a := a.(type) {
		case sched.Send:
			c.pool.Send(c.addrs[a.Leaf], a)
		case sched.Probe:
			c.pool.Probe(c.addrs[a.Leaf], a)
		case sched.Abort:
			c.pool.Abort(c.addrs[a.Leaf], a)
		case sched.CloseConn:
			c.pool.Shut(a.Conn)
		case sched.Reply:
			c.reply(a, replies)
		case sched.Publish:
			c.publish(a.Feedback)
		case sched.Claim:
			c.sendTo(a.Host, claimTo(a))
		case sched.Grant:
			c.sendTo(a.Host, grantTo(a))
		case sched.Release:
			c.sendTo(a.Host, releaseTo(a))
		case sched.ShareStrike:
			c.Log.Warn().Uint64("fingerprint", a.Strike.Fingerprint).Int("count", a.Strike.Count).
				Msg("request crashed a backend server")
			c.node.ShareStrike(now, a.Strike, nil)
		case sched.LeafEvent:
			c.Log.Info().Str("leaf", a.Leaf).Str("cause", a.Cause).Msg(a.Event)
			c.Meter.Count("leaf_events", 1, meter.Label{Name: "event", Value: a.Event}, meter.Label{Name: "cause", Value: a.Cause})
		}
	}
	for id, out := range replies {
		if l := c.links[id]; l != nil {
			c.send(l, &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: out}})
		}
	}
}

// reply gathers outcomes by link; updates are answered one by one.
func (c *Core) reply(a sched.Reply, replies map[uint64]*wire.Outcomes) {
	j := c.jobs[a.Key]
	delete(c.jobs, a.Key)
	if j == nil {
		j = &open{}
	}
	c.Meter.Count("leaf_calls", 1,
		meter.Label{Name: "service", Value: j.service},
		meter.Label{Name: "outcome", Value: a.Outcome.Kind.String()},
		meter.Label{Name: "reason", Value: string(a.Outcome.Reason)})
	j.span.Set(attribute.String("outcome", a.Outcome.Kind.String()), attribute.String("reason", string(a.Outcome.Reason)))
	j.span.End()
	if j.update {
		if l := c.links[a.Key.Link]; l != nil {
			c.send(l, updateReplyTo(a.Key.ID, a.Outcome))
		}
		return
	}
	out := replies[a.Key.Link]
	if out == nil {
		out = &wire.Outcomes{}
		replies[a.Key.Link] = out
	}
	out.Outcomes = append(out.Outcomes, wire.OutcomeTo(a.Outcome))
}

func (c *Core) publish(fb query.Feedback) {
	m := &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: &wire.Outcomes{
		Feedback: []*wire.Feedback{wire.FeedbackTo(fb)},
	}}}
	for _, l := range c.links {
		if l.Peer.GetProgram() == node.Entry {
			c.send(l, m)
		}
	}
}

// send queues a message. A peer that takes messages too slowly loses its link:
// it would otherwise wait for outcomes that it never gets.
func (c *Core) send(l *mesh.Link, m *wire.Envelope) {
	if !c.node.Send(l, m) {
		l.Fail(mesh.ErrBusy)
	}
}

func (c *Core) sendTo(host string, m *wire.Envelope) {
	if l := c.peers[host]; l != nil {
		c.node.Send(l, m)
	}
}

func (c *Core) shown(now clock.Milli) admin.Status {
	s := admin.Status{Node: c.node.Status(now), Strikes: admin.StrikesFrom(c.gate.Strikes(now))}
	for _, l := range c.gate.State(now) {
		s.Leaves = append(s.Leaves, admin.Leaf{
			Leaf: l.Leaf, Server: l.Server, Service: l.Service, Primary: l.Primary, Exclusive: l.Exclusive,
			Busy: l.Busy, Queued: l.Queued, Limit: l.Limit, Slots: l.Slots, Conns: l.Conns,
			RampLeft: int64(l.RampLeft), Closed: string(l.ClosedReason),
		})
	}
	return s
}

// Show returns the state, or false when the loop has ended.
func (c *Core) Show() (admin.Status, bool) {
	ask := status{reply: make(chan admin.Status, 1)}
	if !c.loop.Post(ask) {
		return admin.Status{}, false
	}
	select {
	case s := <-ask.reply:
		return s, true
	case <-time.After(time.Second):
		return admin.Status{}, false
	}
}

// Leave hands the leafs over: it tells the peers, keeps serving until they have
// heard, then takes nothing new and waits for what is under way.
func (c *Core) Leave() {
	m := leave{done: make(chan struct{})}
	if c.loop.Post(m) {
		<-m.done
	}
	time.Sleep(leaveNotice)
	c.loop.Post(refuse{})
	end := time.Now().Add(leaveMost)
	for time.Now().Before(end) {
		s, ok := c.Show()
		if !ok || idle(s) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func idle(s admin.Status) bool {
	for _, l := range s.Leaves {
		if l.Busy > 0 || l.Queued > 0 {
			return false
		}
	}
	return true
}

// Close ends everything that Start began, and waits.
func (c *Core) Close() error {
	err := errors.CombineErrors(c.pool.Close(), c.http.Close())
	err = errors.CombineErrors(err, c.node.Close())
	return errors.CombineErrors(err, c.loop.Close())
}

// owner is what the node tells its program; see node.Program.
type owner struct{ c *Core }

func (o owner) Configure(now clock.Milli, cfg *topo.Config, hosts []topo.Host) {
	c := o.c
	clear(c.addrs)
	for _, s := range cfg.Inventory.Servers {
		for _, l := range s.Leaves {
			c.addrs[l.Name] = s.Address
		}
	}
	c.act(now, c.gate.Configure(now, cfg, hosts))
}

func (o owner) LinkUp(now clock.Milli, l *mesh.Link) {
	c := o.c
	c.links[l.ID] = l
	switch l.Peer.GetProgram() {
	case node.Aggregator:
		c.peers[l.Peer.GetHost()] = l
		c.gate.PeerUp()
	case node.Entry:
		out := &wire.Outcomes{}
		for _, fb := range c.gate.Feedback(now) {
			out.Feedback = append(out.Feedback, wire.FeedbackTo(fb))
		}
		c.send(l, &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: out}})
	}
}

func (o owner) LinkDown(now clock.Milli, l *mesh.Link, _ error) {
	c := o.c
	delete(c.links, l.ID)
	if c.peers[l.Peer.GetHost()] == l {
		delete(c.peers, l.Peer.GetHost())
		c.gate.HostDown(now, l.Peer.GetHost())
		for _, other := range c.links {
			if other.Peer.GetProgram() == node.Aggregator && other.Peer.GetHost() == l.Peer.GetHost() {
				c.peers[l.Peer.GetHost()] = other
			}
		}
	}
	c.act(now, c.gate.LinkClosed(now, l.ID))
}

func (o owner) RTT(clock.Milli, *mesh.Link, time.Duration) {}

func (o owner) PeerLeaving(clock.Milli, *mesh.Link, bool) {}

func (o owner) MergeStrike(now clock.Milli, s deny.Strike) bool {
	news, out := o.c.gate.MergeStrike(now, s)
	o.c.act(now, out)
	return news
}

func (o owner) VersionsConfirmed(clock.Milli) { o.c.gate.ResumeAdmission() }

// Bounds of Dials.
const (
	// smallFleet is how many hosts all link to all others.
	smallFleet = 16
	// neighbours is how many aggregators of the own failure domain are linked
	// in a larger fleet, and farNeighbours how many of others.
	neighbours    = 3
	farNeighbours = 2
)

// LinkAddrs lists the aggregators to link to: all in a small fleet; in a large one
// a few, and the other candidates of this host's servers.
func (o owner) LinkAddrs(cfg *topo.Config, hosts []topo.Host) []string {
	self := o.c.Settings.Host
	return assign.Neighbours(assign.Network{
		Self: self.Name, Domain: self.Domain, FullMeshMax: smallFleet, LocalLinks: neighbours, RemoteLinks: farNeighbours,
	}, cfg, hosts)
}

func (o owner) Frame(now clock.Milli, l *mesh.Link, m *wire.Envelope) {
	c := o.c
	switch b := m.Body.(type) {
	case *wire.Envelope_Batch:
		c.batch(now, l, b.Batch)
	case *wire.Envelope_Update:
		c.update(now, l, b.Update)
	case *wire.Envelope_Cancel:
		for _, id := range b.Cancel.GetCalls() {
			c.act(now, c.gate.Cancel(now, sched.Key{Link: l.ID, ID: id}))
		}
	case *wire.Envelope_Claim:
		if b.Claim.GetRelease() {
			c.gate.ReleaseReceived(now, l.Peer.GetHost(), agesFrom(b.Claim.GetServers()))
			return
		}
		id, servers := claimFrom(b.Claim)
		c.act(now, c.gate.ClaimReceived(now, l.Peer.GetHost(), id, servers))
	case *wire.Envelope_Grant:
		id, servers, span := grantFrom(b.Grant)
		c.act(now, c.gate.GrantReceived(now, l.Peer.GetHost(), id, servers, span))
	default:
		c.Meter.Count("bad_frames", 1)
		c.Log.Warn().Str("peer", l.Peer.GetHost()).Msg("unexpected message from peer")
	}
}

func (c *Core) batch(now clock.Milli, l *mesh.Link, b *wire.Batch) {
	for _, w := range b.GetCalls() {
		key := sched.Key{Link: l.ID, ID: w.GetId()}
		span := c.Tracer.Start(b.GetTrace(), "aggregate", attribute.String("leaf", w.GetLeaf()))
		c.jobs[key] = &open{service: b.GetService(), span: span}
		job := &leaves.Job{
			Attempt: c.attempt(key), Service: b.GetService(),
			Pin:   topo.SnapshotID{Layout: b.GetLayout(), Version: b.GetSnapshot()},
			Shard: int(w.GetShard()), Text: b.GetText(), Limit: int(b.GetLimit()), Parent: span.Parent(),
		}
		c.act(now, c.gate.Submit(now, sched.Call{
			Key: key, Leaf: w.GetLeaf(), Caller: b.GetCaller(), Deadline: now + clock.Milli(b.GetBudgetMs()),
			Fingerprint: b.GetFingerprint(), Canary: w.GetCanary(), SecondCanary: w.GetAgain(), Pin: job.Pin, Request: job,
		}))
	}
}

func (c *Core) update(now clock.Milli, l *mesh.Link, u *wire.Update) {
	key := sched.Key{Link: l.ID, ID: u.GetId()}
	c.jobs[key] = &open{update: true, service: u.GetService()}
	job := &leaves.Job{
		Attempt: c.attempt(key), Service: u.GetService(), Parent: u.GetTrace(),
		Update: &leaves.UpdateJob{ID: u.GetTicket(), Operation: u.GetOperation(), Key: u.GetKey(), Body: u.GetBody()},
	}
	c.act(now, c.gate.Submit(now, sched.Call{
		Key: key, Leaf: u.GetLeaf(), Deadline: now + clock.Milli(u.GetBudgetMs()),
		Fingerprint: u.GetFingerprint(), Canary: true, Update: true, Request: job,
	}))
}

// attempt names a call so that no other call of any host has the same name.
func (c *Core) attempt(k sched.Key) string {
	return fmt.Sprintf("%s.%x.%x.%x", c.Settings.Host.Name, c.node.Incarnation, k.Link, k.ID)
}
