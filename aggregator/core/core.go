// Package core is the aggregator's control loop: it connects the scheduler with
// the links to entries and other aggregators, and the connections to leaves.
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

// Timing of the loop and of the shutdown.
const (
	// tickInterval is the interval between the scheduler's ticks.
	tickInterval = 5 * time.Millisecond
	// leaveNotice is the time for peers to learn that this process leaves. It
	// still accepts calls during that time.
	leaveNotice = 500 * time.Millisecond
	// leaveTimeout bounds the wait for running calls.
	leaveTimeout = 10 * time.Second
)

// Core is a running aggregator. Fields are set before Start.
type Core struct {
	Settings node.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Tracer   *spans.Tracer

	loop        node.Loop[any]
	node        node.Node
	sched       sched.Engine
	pool        leaves.Pool
	http        fetch.Engine
	links       map[uint64]*mesh.Link
	aggregators map[string]*mesh.Link // by host
	addrs       map[string]string     // by leaf
	calls       map[sched.Key]*openCall
}

// openCall is a call whose outcome is not sent to its entry yet.
type openCall struct {
	update  bool
	service string
	span    spans.Span // of a query's call; zero for an update
}

// Messages to the control loop, in addition to those of the node and the pool.
type (
	startNode       struct{ done chan error }
	tick            struct{}
	announceLeaving struct{ done chan struct{} }
	stopAdmission   struct{}
	statusRequest   struct{ reply chan admin.Status }
)

// Start starts the control loop, the node and its links.
func (c *Core) Start() error {
	c.links = map[uint64]*mesh.Link{}
	c.aggregators = map[string]*mesh.Link{}
	c.addrs = map[string]string{}
	c.calls = map[sched.Key]*openCall{}
	c.loop.Clock = clock.Wall{}
	c.http.Source = c.Settings.Listen.IP()
	if err := c.http.Start(); err != nil {
		return err
	}
	c.pool = leaves.Pool{
		HTTP: &c.http, Clock: clock.Wall{}, Tracer: c.Tracer,
		Report: func(m any) { c.loop.Post(m) },
	}
	c.sched = sched.Engine{Self: c.Settings.Host.Name, Domain: c.Settings.Host.Domain}
	c.node = node.Node{
		Settings: c.Settings, Program: node.Aggregator, Incarnation: node.NewIncarnation(), Log: c.Log, Meter: c.Meter,
		Delegate: delegate{c}, HTTP: &c.http, Post: func(m node.Message) bool { return c.loop.Post(m) },
	}
	c.loop.Start(c.handle)
	// Runs in the loop because links may come up while the node is still starting.
	start := startNode{done: make(chan error, 1)}
	c.loop.Post(start)
	if err := <-start.done; err != nil {
		return err
	}
	c.loop.Every(tickInterval, tick{})
	return nil
}

// handle processes a message in the control loop.
func (c *Core) handle(now clock.Milli, m any) {
	switch m := m.(type) {
	case node.Message:
		c.node.Handle(now, m)
	case leaves.CallDone:
		if m.Result.ConnLost || m.Result.DialFailed {
			c.pool.CloseConn(m.Result.Conn)
		}
		c.execute(now, c.sched.CallDone(now, m.Result))
	case leaves.ProbeDone:
		c.execute(now, c.sched.ProbeDone(now, m.Leaf, m.Conn, m.Status, m.Err))
	case leaves.ConnClosed:
		c.pool.CloseConn(m.Conn)
		c.execute(now, c.sched.ConnClosed(now, m.Leaf, m.Conn))
	case startNode:
		m.done <- c.node.Start()
	case tick:
		c.tick(now)
	case announceLeaving:
		c.node.AnnounceLeaving(now)
		close(m.done)
	case stopAdmission:
		c.execute(now, c.sched.Leave(now))
	case statusRequest:
		m.reply <- c.status(now)
	}
}

// tick runs the timed work of the node and the scheduler. After a pause of the process it
// asks the peers whether this host's configuration is current; the scheduler suspends
// admission meanwhile.
func (c *Core) tick(now clock.Milli) {
	c.node.Handle(now, node.Tick{})
	out, paused := c.sched.Tick(now)
	if paused {
		c.Log.Warn().Msg("process was paused; new work waits until the configuration is confirmed")
		c.node.ConfirmVersions(now)
	}
	c.execute(now, out)
}

// execute carries out the scheduler's actions. It sends the outcomes of queries in one
// message per link.
func (c *Core) execute(now clock.Milli, actions []sched.Action) {
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
			c.pool.CloseConn(a.Conn)
		case sched.Reply:
			c.reply(a, replies)
		case sched.Publish:
			c.publish(a.Feedback)
		case sched.Claim:
			c.sendTo(a.Host, encodeClaim(a))
		case sched.Grant:
			c.sendTo(a.Host, encodeGrant(a))
		case sched.Release:
			c.sendTo(a.Host, encodeRelease(a))
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

// reply records the outcome of a call in metrics and its span. It adds the outcome of a
// query's call to replies, by link, and sends that of an update to the entry.
func (c *Core) reply(a sched.Reply, replies map[uint64]*wire.Outcomes) {
	call := c.calls[a.Key]
	delete(c.calls, a.Key)
	if call == nil {
		call = &openCall{}
	}
	c.Meter.Count("leaf_calls", 1,
		meter.Label{Name: "service", Value: call.service},
		meter.Label{Name: "outcome", Value: a.Outcome.Kind.String()},
		meter.Label{Name: "reason", Value: string(a.Outcome.Reason)})
	call.span.Set(attribute.String("outcome", a.Outcome.Kind.String()), attribute.String("reason", string(a.Outcome.Reason)))
	call.span.End()
	if call.update {
		if l := c.links[a.Key.Link]; l != nil {
			c.send(l, encodeUpdateReply(a.Key.ID, a.Outcome))
		}
		return
	}
	out := replies[a.Key.Link]
	if out == nil {
		out = &wire.Outcomes{}
		replies[a.Key.Link] = out
	}
	out.Outcomes = append(out.Outcomes, wire.EncodeOutcome(a.Outcome))
}

// publish sends the state of a leaf to all entries.
func (c *Core) publish(fb query.Feedback) {
	m := &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: &wire.Outcomes{
		Feedback: []*wire.Feedback{wire.EncodeFeedback(fb)},
	}}}
	for _, l := range c.links {
		if l.Peer.GetProgram() == node.Entry {
			c.send(l, m)
		}
	}
}

// send queues a message. It closes the link of a peer that reads too slowly, because
// the peer would otherwise wait for outcomes that it never receives.
func (c *Core) send(l *mesh.Link, m *wire.Envelope) {
	if !c.node.Send(l, m) {
		l.Fail(mesh.ErrBusy)
	}
}

// sendTo sends a message to the aggregator on a host. Without a link to it, or if the
// link's queue is full, the message is dropped.
func (c *Core) sendTo(host string, m *wire.Envelope) {
	if l := c.aggregators[host]; l != nil {
		c.node.Send(l, m)
	}
}

// status returns the state of the node and of each leaf. It runs in the control loop.
func (c *Core) status(now clock.Milli) admin.Status {
	s := admin.Status{Node: c.node.Status(now), Strikes: admin.StrikesFrom(c.sched.Strikes(now))}
	for _, l := range c.sched.State(now) {
		s.Leaves = append(s.Leaves, admin.Leaf{
			Leaf: l.Leaf, Server: l.Server, Service: l.Service, Primary: l.Primary, Exclusive: l.Exclusive,
			Busy: l.Busy, Queued: l.Queued, Limit: l.Limit, Slots: l.Slots, Conns: l.Conns,
			RampLeft: int64(l.RampLeft), Closed: string(l.ClosedReason),
		})
	}
	return s
}

// Status returns the state. It reports false if the loop has ended or doesn't reply
// within a second.
func (c *Core) Status() (admin.Status, bool) {
	request := statusRequest{reply: make(chan admin.Status, 1)}
	if !c.loop.Post(request) {
		return admin.Status{}, false
	}
	select {
	case s := <-request.reply:
		return s, true
	case <-time.After(time.Second):
		return admin.Status{}, false
	}
}

// Leave hands the leaves over to other aggregators: it announces the shutdown, keeps
// serving until the peers have received the notice, then rejects new calls and waits
// for the running ones, at most leaveTimeout.
func (c *Core) Leave() {
	m := announceLeaving{done: make(chan struct{})}
	if c.loop.Post(m) {
		<-m.done
	}
	time.Sleep(leaveNotice)
	c.loop.Post(stopAdmission{})
	deadline := time.Now().Add(leaveTimeout)
	for time.Now().Before(deadline) {
		s, ok := c.Status()
		if !ok || idle(s) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// idle reports whether no leaf has running or queued calls.
func idle(s admin.Status) bool {
	for _, l := range s.Leaves {
		if l.Busy > 0 || l.Queued > 0 {
			return false
		}
	}
	return true
}

// Close stops everything that Start started, and waits.
func (c *Core) Close() error {
	err := errors.CombineErrors(c.pool.Close(), c.http.Close())
	err = errors.CombineErrors(err, c.node.Close())
	return errors.CombineErrors(err, c.loop.Close())
}

// delegate implements node.Delegate.
type delegate struct{ c *Core }

// Configure applies a configuration and a host list.
func (d delegate) Configure(now clock.Milli, cfg *topo.Config, hosts []topo.Host) {
	c := d.c
	clear(c.addrs)
	for _, s := range cfg.Inventory.Servers {
		for _, l := range s.Leaves {
			c.addrs[l.Name] = s.Address
		}
	}
	c.execute(now, c.sched.Configure(now, cfg, hosts))
}

// LinkUp registers a link. It sends the state of all leaves to a new entry; after a link to
// an aggregator, the scheduler claims servers at its next tick.
func (d delegate) LinkUp(now clock.Milli, l *mesh.Link) {
	c := d.c
	c.links[l.ID] = l
	switch l.Peer.GetProgram() {
	case node.Aggregator:
		c.aggregators[l.Peer.GetHost()] = l
		c.sched.PeerUp()
	case node.Entry:
		out := &wire.Outcomes{}
		for _, fb := range c.sched.Feedback(now) {
			out.Feedback = append(out.Feedback, wire.EncodeFeedback(fb))
		}
		c.send(l, &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: out}})
	}
}

// LinkDown removes a link and cancels the calls that arrived on it. If it is the one in
// use for an aggregator, leases granted to that host end (sched.Engine.HostDown), and
// another open link to it is used from then on.
func (d delegate) LinkDown(now clock.Milli, l *mesh.Link, _ error) {
	c := d.c
	delete(c.links, l.ID)
	if c.aggregators[l.Peer.GetHost()] == l {
		delete(c.aggregators, l.Peer.GetHost())
		c.sched.HostDown(now, l.Peer.GetHost())
		for _, other := range c.links {
			if other.Peer.GetProgram() == node.Aggregator && other.Peer.GetHost() == l.Peer.GetHost() {
				c.aggregators[l.Peer.GetHost()] = other
			}
		}
	}
	c.execute(now, c.sched.LinkClosed(now, l.ID))
}

// RTT does nothing: the scheduler does not use round-trip times.
func (d delegate) RTT(clock.Milli, *mesh.Link, time.Duration) {}

// PeerLeaving does nothing: only entries choose between aggregators.
func (d delegate) PeerLeaving(clock.Milli, *mesh.Link, bool) {}

// Strikes lists the strikes of requests that are rejected now.
func (d delegate) Strikes(now clock.Milli) []deny.Strike { return d.c.sched.Strikes(now) }

// MergeStrike merges a strike from a peer and reports whether it was new. If the strike
// blocks a request, the queued calls of that request are rejected.
func (d delegate) MergeStrike(now clock.Milli, s deny.Strike) bool {
	added, out := d.c.sched.MergeStrike(now, s)
	d.c.execute(now, out)
	return added
}

// VersionsConfirmed resumes admission, which is suspended after a pause of the process.
func (d delegate) VersionsConfirmed(clock.Milli) { d.c.sched.ResumeAdmission() }

// Limits of LinkAddrs.
const (
	// fullMeshMaxHosts is the largest fleet in which every host links to all others.
	fullMeshMaxHosts = 16
	// localLinks is the number of linked aggregators in this host's failure domain
	// in a larger fleet, remoteLinks the number in other failure domains.
	localLinks  = 3
	remoteLinks = 2
)

// LinkAddrs lists the aggregators to link to: all in a small fleet; in a large one
// a few, and the other candidates for this host's servers.
func (d delegate) LinkAddrs(cfg *topo.Config, hosts []topo.Host) []string {
	self := d.c.Settings.Host
	return assign.Neighbors(assign.Network{
		Self: self.Name, Domain: self.Domain, FullMeshMaxHosts: fullMeshMaxHosts, LocalLinks: localLinks, RemoteLinks: remoteLinks,
	}, cfg, hosts)
}

// Frame handles calls, updates and cancellations from entries, and claims, releases and
// grants from other aggregators.
func (d delegate) Frame(now clock.Milli, l *mesh.Link, m *wire.Envelope) {
	c := d.c
	switch b := m.Body.(type) {
	case *wire.Envelope_Batch:
		c.handleBatch(now, l, b.Batch)
	case *wire.Envelope_Update:
		c.handleUpdate(now, l, b.Update)
	case *wire.Envelope_Cancel:
		for _, id := range b.Cancel.GetCalls() {
			c.execute(now, c.sched.Cancel(now, sched.Key{Link: l.ID, ID: id}))
		}
	case *wire.Envelope_Claim:
		if b.Claim.GetRelease() {
			c.sched.ReleaseReceived(now, l.Peer.GetHost(), decodeAges(b.Claim.GetServers()))
			return
		}
		id, servers := decodeClaim(b.Claim)
		c.execute(now, c.sched.ClaimReceived(now, l.Peer.GetHost(), id, servers))
	case *wire.Envelope_Grant:
		id, servers, duration := decodeGrant(b.Grant)
		c.execute(now, c.sched.GrantReceived(now, l.Peer.GetHost(), id, servers, duration))
	default:
		c.Meter.Count("bad_frames", 1)
		c.Log.Warn().Str("peer", l.Peer.GetHost()).Msg("unexpected message from peer")
	}
}

// handleBatch submits the calls of a query to the scheduler.
func (c *Core) handleBatch(now clock.Milli, l *mesh.Link, b *wire.Batch) {
	for _, w := range b.GetCalls() {
		key := sched.Key{Link: l.ID, ID: w.GetId()}
		span := c.Tracer.Start(b.GetTrace(), "aggregate", attribute.String("leaf", w.GetLeaf()))
		c.calls[key] = &openCall{service: b.GetService(), span: span}
		job := &leaves.Job{
			Attempt: c.attemptID(key), Service: b.GetService(),
			Snapshot: topo.SnapshotID{Layout: b.GetLayout(), Version: b.GetSnapshot()},
			Shard:    int(w.GetShard()), Text: b.GetText(), Limit: int(b.GetLimit()), TraceParent: span.Traceparent(),
		}
		c.execute(now, c.sched.Submit(now, sched.Call{
			Key: key, Leaf: w.GetLeaf(), Caller: b.GetCaller(), Deadline: now + clock.Milli(b.GetBudgetMs()),
			Fingerprint: b.GetFingerprint(), Canary: w.GetCanary(), SecondCanary: w.GetAgain(), Pin: job.Snapshot, Request: job,
		}))
	}
}

// handleUpdate submits an update to the scheduler, always as a canary, so that a crash
// of its server counts as a strike and identical updates run one at a time.
func (c *Core) handleUpdate(now clock.Milli, l *mesh.Link, u *wire.Update) {
	key := sched.Key{Link: l.ID, ID: u.GetId()}
	c.calls[key] = &openCall{update: true, service: u.GetService()}
	job := &leaves.Job{
		Attempt: c.attemptID(key), Service: u.GetService(), TraceParent: u.GetTrace(),
		Update: &leaves.UpdateJob{ID: u.GetTicket(), Operation: u.GetOperation(), Key: u.GetKey(), Body: u.GetBody()},
	}
	c.execute(now, c.sched.Submit(now, sched.Call{
		Key: key, Leaf: u.GetLeaf(), Deadline: now + clock.Milli(u.GetBudgetMs()),
		Fingerprint: u.GetFingerprint(), Canary: true, Update: true, Request: job,
	}))
}

// attemptID returns an ID for a call that is unique over all hosts.
func (c *Core) attemptID(k sched.Key) string {
	return fmt.Sprintf("%s.%x.%x.%x", c.Settings.Host.Name, c.node.Incarnation, k.Link, k.ID)
}
