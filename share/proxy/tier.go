// Package tier runs the routes of one host: it takes callers' requests, lets
// the router decide on them in one control loop, and carries them to leafs and
// answers back. What the wire calls things is told to it by a dialect.
package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"dandelionstile/share/clock"
	"dandelionstile/share/httpc"
	"dandelionstile/share/httpd"
	"dandelionstile/share/meter"
	"dandelionstile/share/mirror"
	"dandelionstile/share/router"
)

// Settings of a tier.
type Settings struct {
	// CallerAddress is the address that callers connect to.
	CallerAddress string
	// GossipAddress and Relay are where other hosts reach this one, by UDP and TCP;
	// empty for a host that works alone.
	GossipAddress, ForwardAddress string
	// Seeds are gossip addresses of hosts to start from.
	Seeds []string
	// SourceIP is the IP that connections to leafs are opened from.
	SourceIP string
	Self     router.HostInfo
	// Regions maps failure domains to regions.
	Regions map[string]string
	Policy  router.Policy
	Dialect httpc.Dialect
}

// Server is a running host. The exported fields are set before Start.
type Server struct {
	Settings Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Clock    clock.Clock
	// Mirror is what other hosts may read here; nil for nothing.
	Mirror *mirror.Mirror
	// Middleware wraps the handling of requests, from callers and from other hosts;
	// it may be nil.
	Middleware func(http.Handler) http.Handler
	// OnPeers is told of the other hosts that are there; it may be nil.
	OnPeers func([]router.Peer)

	engine   router.Engine
	pool     httpc.Pool
	server   httpd.Server
	forwards httpd.Server
	peers    peers
	events   chan router.Event
	stop     chan struct{}
	stopped  chan struct{}
	once     sync.Once
	queries  atomic.Uint64
	ready    atomic.Bool
	leaving  atomic.Bool
	busy     atomic.Int64
	callers  callers
}

// queueLength is how many events may wait for the control loop. Senders wait
// when it is full, which slows callers down and not the loop.
const queueLength = 4096

// Start serves.
func (t *Server) Start() error {
	t.engine.Self = t.Settings.Self
	t.engine.Regions = t.Settings.Regions
	t.engine.Policy = t.Settings.Policy
	t.events = make(chan router.Event, queueLength)
	t.stop = make(chan struct{})
	t.stopped = make(chan struct{})
	t.pool = httpc.Pool{Dialect: t.Settings.Dialect, Source: t.Settings.SourceIP, Clock: t.Clock, OnDone: t.report, OnProbed: t.probed, OnConnRefused: t.absent}
	t.server = httpd.Server{
		Address: t.Settings.CallerAddress, Handler: t.around(t.serve),
		OnRejected: t.refusedUnread,
	}
	go t.loop()
	if err := t.server.Start(); err != nil {
		return err
	}
	if t.Settings.GossipAddress == "" {
		return nil
	}
	t.forwards = httpd.Server{Address: t.Settings.ForwardAddress, Handler: t.around(t.serveForwarded)}
	if err := t.forwards.Start(); err != nil {
		return errors.CombineErrors(err, t.server.Close())
	}
	t.peers.tell = t.tellPeers
	return t.peers.start(t)
}

func (t *Server) around(h http.HandlerFunc) http.Handler {
	if t.Middleware == nil {
		return h
	}
	return t.Middleware(h)
}

// Addr is the address that callers connect to.
func (t *Server) Addr() string { return t.server.Addr() }

// Ready tells whether new callers should come here.
func (t *Server) Ready() bool { return t.ready.Load() && !t.leaving.Load() }

// SetFacts puts new facts in force.
func (t *Server) SetFacts(f router.Facts) {
	if f.Table != nil {
		l := f.Table.Limits
		t.server.SetLimits(httpd.Limits{
			MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes,
			StallTimeout: l.HeaderTimeout.Duration(), IdleTimeout: l.IdleTimeout.Duration(),
		})
	}
	t.post(f)
}

func (t *Server) tellPeers(list []router.Peer) {
	t.post(router.Peers{List: list})
	if t.OnPeers != nil {
		t.OnPeers(list)
	}
}

// SetSeeds replaces the hosts to start from.
func (t *Server) SetSeeds(list []string) { t.peers.seeds(list) }

func (t *Server) report(d router.Done) { t.post(d) }

func (t *Server) probed(p router.ProbeResult) { t.post(p) }

func (t *Server) absent(a router.ConnRefused) { t.post(a) }

func (t *Server) post(e router.Event) {
	select {
	case t.events <- e:
	case <-t.stop:
	}
}

// loop is the one place where decisions are made.
func (t *Server) loop() {
	defer close(t.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		t.setTimer(timer)
		select {
		case <-t.stop:
			return
		case e := <-t.events:
			t.handle(e)
			t.drain()
		case <-timer.C:
			t.handle(router.Tick{})
		}
	}
}

// drain handles what has queued up before the timer is set again.
func (t *Server) drain() {
	for {
		select {
		case e := <-t.events:
			t.handle(e)
		default:
			return
		}
	}
}

func (t *Server) setTimer(timer *time.Timer) {
	next := t.engine.Next()
	if next == 0 {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(0, (next - t.Clock.Now()).Duration()))
}

func (t *Server) handle(e router.Event) {
	for _, a := range t.engine.Handle(t.Clock.Now(), e) {
		switch a := a.(type) {
		case router.Send:
			t.pool.Send(a)
		case router.Cancel:
			t.pool.Cancel(a.Call)
		case router.Forward:
			t.pool.Forward(a)
		case router.Preconnect:
			t.pool.Preconnect(a.Address)
		case router.Probe:
			t.pool.Probe(a)
		case router.CheckConn:
			t.pool.CheckConn(a)
		case router.Answer:
			t.callers.answer(a)
		case router.SendCrashReports:
			t.peers.tellCrashes(a.List)
		case router.SendLeafReports:
			t.peers.tellLeafs(a.List)
		case router.CallEnded:
			t.ended(a)
		case router.Note:
			t.note(a)
		}
	}
	t.ready.Store(t.engine.Ready())
}

const (
	// rotationTime is how long callers may still be sent here after a host has
	// said that it leaves: the balancer asks once a second and believes the
	// second refusal.
	rotationTime = 2500 * time.Millisecond
	// leaveMost is when requests under way are given their last answer: the
	// platform kills a second later.
	leaveMost = 5 * time.Second
	leaveStep = 50 * time.Millisecond
)

// Leave ends the work in order: no new callers, answers that say the
// connection closes, idle connections closed once the balancer sends nobody
// any more, and the end when nothing is under way.
func (t *Server) Leave() {
	t.leaving.Store(true)
	t.peers.leave()
	t.Log.Info().Int64("under-way", t.busy.Load()).Msg("leaving")
	time.Sleep(rotationTime)
	for waited := rotationTime; waited < leaveMost; waited += leaveStep {
		t.server.CloseIdle()
		if t.busy.Load() == 0 && waited > rotationTime+4*leaveStep {
			break
		}
		time.Sleep(leaveStep)
	}
	t.Log.Info().Int64("under-way", t.busy.Load()).Msg("left")
}

// Close ends everything and waits. Requests still under way get their last
// answer.
func (t *Server) Close() error {
	t.once.Do(func() { close(t.stop) })
	<-t.stopped
	t.callers.abandon()
	err := t.peers.close()
	err = errors.CombineErrors(err, t.server.Close())
	err = errors.CombineErrors(err, t.forwards.Close())
	return errors.CombineErrors(err, t.pool.Close())
}
