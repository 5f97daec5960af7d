// Package proxy runs the query tier of one host: it accepts callers' requests, has the
// router decide on them in a single control loop, sends them to leaves and returns the
// answers. A dialect sets the names of headers on the wire.
package proxy

import (
	"cmp"
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
	"dandelionstile/share/quota"
	"dandelionstile/share/router"
)

// Settings configures a Server.
type Settings struct {
	// CallerAddress is the address that callers connect to.
	CallerAddress string
	// GossipAddress and ForwardAddress are the UDP and TCP addresses for other
	// hosts; empty for a host that works alone.
	GossipAddress, ForwardAddress string
	// Seeds are the gossip addresses of the hosts to contact first.
	Seeds []string
	// SourceIP is the local IP of connections to leaves.
	SourceIP string
	// Memory is the memory of the process, in bytes, of which replies of leaves and requests
	// get a part each; 0 if it is unknown.
	Memory int64
	// Grace is how long after the signal to stop the platform kills the process; 0 means
	// defaultGrace.
	Grace clock.Milli
	Self  router.HostInfo // this host
	// Regions maps failure domains to regions.
	Regions map[string]string
	Policy  router.Policy
	Dialect httpc.Dialect
}

// Server runs on one host. The exported fields are set before Start.
type Server struct {
	Settings Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Clock    clock.Clock
	// Mirror serves this host's copy of the store to other hosts; nil disables it.
	Mirror *mirror.Mirror
	// Middleware wraps the handlers for requests of callers and other hosts; it may
	// be nil.
	Middleware func(http.Handler) http.Handler
	// OnPeers is called with the other hosts that are alive; it may be nil.
	OnPeers func([]router.Peer)

	engine    router.Engine
	pool      httpc.Pool
	server    httpd.Server // for callers
	forwards  httpd.Server // for other hosts
	peers     peers
	events    chan router.Event
	stop      chan struct{} // closed by Close
	stopped   chan struct{} // closed when the control loop has ended
	closeOnce sync.Once     // closes stop
	queries   atomic.Uint64 // the number of the last query
	ready     atomic.Bool   // the engine's Ready after the last event
	leaving   atomic.Bool
	inFlight  atomic.Int64 // requests of callers and other hosts
	callers   callers
}

// maxQueuedEvents is the number of events that may wait for the control loop. Senders block
// when it is full, which slows callers down and not the loop.
const maxQueuedEvents = 4096

// Start opens the listeners and starts the control loop.
func (s *Server) Start() error {
	s.engine.Self = s.Settings.Self
	s.engine.Regions = s.Settings.Regions
	s.engine.Policy = s.Settings.Policy
	s.events = make(chan router.Event, maxQueuedEvents)
	s.stop = make(chan struct{})
	s.stopped = make(chan struct{})
	s.pool = httpc.Pool{Dialect: s.Settings.Dialect, Source: s.Settings.SourceIP, Clock: s.Clock, OnDone: s.callDone, OnProbed: s.probeDone, OnConnRefused: s.connRefused}
	s.pool.Memory.Limit = quota.ForHost(s.Settings.Memory)
	requests := &quota.Bytes{Limit: quota.ForHost(s.Settings.Memory)}
	s.server = httpd.Server{
		Address: s.Settings.CallerAddress, Handler: s.wrap(s.serve),
		OnRejected: s.requestRejected, Log: s.Log, Memory: requests,
	}
	go s.loop()
	if err := s.server.Start(); err != nil {
		return err
	}
	if s.Settings.GossipAddress == "" {
		return nil
	}
	s.forwards = httpd.Server{Address: s.Settings.ForwardAddress, Handler: s.wrap(s.serveForwarded), Log: s.Log, Memory: requests}
	if err := s.forwards.Start(); err != nil {
		return errors.CombineErrors(err, s.server.Close())
	}
	s.peers.onChange = s.peersChanged
	return s.peers.start(s)
}

// wrap adds the middleware, if any, to a handler.
func (s *Server) wrap(h http.HandlerFunc) http.Handler {
	if s.Middleware == nil {
		return h
	}
	return s.Middleware(h)
}

// Addr returns the address that callers connect to.
func (s *Server) Addr() string { return s.server.Addr() }

// Ready reports whether new callers should connect to this host.
func (s *Server) Ready() bool { return s.ready.Load() && !s.leaving.Load() }

// SetTopology applies a new configuration and inventory: the limits of callers' requests at
// once, and the rest in the control loop.
func (s *Server) SetTopology(topology router.Topology) {
	if topology.Table != nil {
		limits := topology.Table.Limits
		s.server.SetLimits(httpd.Limits{
			MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
			StallTimeout: limits.HeaderTimeout.Duration(), IdleTimeout: limits.IdleTimeout.Duration(),
			// A caller that may wait that long for an answer may also pause that long in it.
			ReadPause: topology.Table.LongestTimeout().Duration(),
		})
	}
	s.post(topology)
}

// peersChanged passes the list of other hosts to the control loop and to OnPeers.
func (s *Server) peersChanged(list []router.Peer) {
	s.post(router.Peers{List: list})
	if s.OnPeers != nil {
		s.OnPeers(list)
	}
}

// SetSeeds replaces the addresses of the hosts to contact first.
func (s *Server) SetSeeds(list []string) { s.peers.setSeeds(list) }

func (s *Server) callDone(done router.CallDone) { s.post(done) }

func (s *Server) probeDone(probed router.ProbeResult) { s.post(probed) }

func (s *Server) connRefused(refused router.ConnRefused) { s.post(refused) }

// post queues an event for the control loop. It blocks while the queue is full, and drops
// the event once Close has been called.
func (s *Server) post(e router.Event) {
	select {
	case s.events <- e:
	case <-s.stop:
	}
}

// loop handles all events; decisions are made nowhere else.
func (s *Server) loop() {
	defer close(s.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.setTimer(timer)
		select {
		case <-s.stop:
			return
		case e := <-s.events:
			s.handle(e)
			s.drain()
		case <-timer.C:
			s.handle(router.Tick{})
		}
	}
}

// drain handles the queued events before the timer is set again.
func (s *Server) drain() {
	for {
		select {
		case e := <-s.events:
			s.handle(e)
		default:
			return
		}
	}
}

// setTimer sets the timer to the engine's next tick, or far ahead if there is none.
func (s *Server) setTimer(timer *time.Timer) {
	next := s.engine.NextTick()
	if next == 0 {
		timer.Reset(time.Hour) // an event sets the timer again
		return
	}
	timer.Reset(max(0, (next - s.Clock.Now()).Duration()))
}

// handle passes an event to the engine and carries out the actions that it returns.
func (s *Server) handle(e router.Event) {
	if arrival, ok := e.(router.Arrival); ok {
		s.callers.begin(arrival.Query)
	}
	for _, a := range s.engine.Handle(s.Clock.Now(), e) {
		switch a := a.(type) {
		case router.Send:
			s.pool.Send(a)
		case router.Cancel:
			s.pool.Cancel(a.Call)
		case router.Forget:
			s.pool.Forget(a.Leaf)
		case router.Forward:
			s.pool.Forward(a)
		case router.Preconnect:
			s.pool.Preconnect(a.Address)
		case router.Probe:
			s.pool.Probe(a)
		case router.CheckConn:
			s.pool.CheckConn(a)
		case router.Answer:
			s.callers.deliver(a)
		case router.SendCrashReports:
			s.peers.queueCrashReports(a)
		case router.AnswerCrashSync:
			s.peers.answerCrashSync(a)
		case router.SetCrashDigest:
			s.peers.setCrashDigest(a.Digest)
		case router.SendLeafReports:
			s.peers.queueLeafReports(a.List)
		case router.CountCall:
			s.countCall(a)
		case router.LogRecord:
			s.logRecord(a)
		}
	}
	s.ready.Store(s.engine.Ready())
}

const (
	// balancerDelay is how long callers may still connect after a host has announced
	// that it leaves: the load balancer polls once a second and removes the host after
	// the second refusal.
	balancerDelay = 2500 * time.Millisecond
	// defaultGrace is the platform's usual grace.
	defaultGrace = 6 * clock.Second
	// closeTime is what Leave leaves of the grace, for Close to give the requests that are
	// still in flight a final answer.
	closeTime = clock.Second
)

// leaveTime returns how long Leave waits for requests in flight, including balancerDelay.
func (s *Server) leaveTime() time.Duration {
	grace := cmp.Or(s.Settings.Grace, defaultGrace)
	return max(balancerDelay, (grace - closeTime).Duration())
}

// underWay returns the number of requests in flight and of connections whose callers, or other
// hosts, are still reading an answer.
func (s *Server) underWay() int64 {
	return s.inFlight.Load() + int64(s.server.Unsent()+s.forwards.Unsent())
}

// Leave shuts down gracefully: it reports not ready and announces on each answer that the
// connection closes. Once the load balancer has had its time, it closes connections that are
// idle, and refuses new ones when no more come. It returns when no request is in flight and
// callers have no connection any more, or after leaveTime.
func (s *Server) Leave() {
	start := time.Now()
	s.leaving.Store(true)
	s.peers.leave()
	s.logStop().Msg("leaving")
	time.Sleep(time.Until(start.Add(balancerDelay)))
	s.server.Drain(start.Add(s.leaveTime()), func() bool { return s.underWay() > 0 })
	s.logStop().Int64("took-ms", time.Since(start).Milliseconds()).Msg("left")
}

// logStop returns a log line with what the host still has to do before it ends.
func (s *Server) logStop() *zerolog.Event {
	return s.Log.Info().Int64("under-way", s.underWay()).Int("connections", s.server.Conns()).Int("from-hosts", s.forwards.Conns())
}

// Close stops everything and waits. Requests in flight get a final answer.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.stop) })
	<-s.stopped
	s.callers.closeAll()
	err := s.peers.close()
	forwards := make(chan error, 1)
	go func() { forwards <- s.forwards.Close() }()
	err = errors.CombineErrors(err, s.server.Close())
	err = errors.CombineErrors(err, <-forwards)
	return errors.CombineErrors(err, s.pool.Close())
}
