// Package leaf implements fake backend servers and their leaves for tests and
// demos. It simulates slots, connection limits, connect cost, cold starts,
// drains, stragglers, crashes, snapshots and unresponsive connections, and counts
// the executions of each update. Tests control it through its methods or over
// HTTP.
package leaf

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dandelionstile/share/topo"
)

// Model configures how leaves behave.
type Model struct {
	// ServiceTime is the time that a leaf takes for a query, without jitter.
	ServiceTime time.Duration
	// Jitter is the maximum of the random time added to each query.
	Jitter time.Duration
	// ConnectTime delays the first reply on a new connection.
	ConnectTime time.Duration
	// WarmUp is the time from a cold start until a leaf has all of its slots.
	WarmUp time.Duration
	// RestartDelay is the time from a crash of a server to its restart.
	RestartDelay time.Duration
	// StateLag is the time until a change of draining shows in Leaf-State. A rejection
	// because of the drain shows it at once.
	StateLag time.Duration
	Seed     uint64
}

// Rows is the number of rows in each shard.
const Rows = 2

// CrashText crashes a server that runs a query or an update with this text.
const CrashText = "crash-backend"

// Fault is a kind of wrong reply.
type Fault string

// The kinds of wrong replies.
const (
	FaultNone          Fault = ""
	FaultWrongAttempt  Fault = "foreign"   // the id of another attempt
	FaultTruncated     Fault = "truncated" // half of the body
	FaultEmpty         Fault = "empty"     // no body
	FaultNoShards      Fault = "fewer"     // no shards and no rows
	FaultWrongSnapshot Fault = "snapshot"  // the id of another snapshot
	FaultError         Fault = "error"     // status 500
)

// Leaf is the state of one leaf.
type Leaf struct {
	spec      topo.Leaf
	active    int             // requests that are running
	conns     map[string]bool // remote addresses of the open connections with a request for the leaf
	coldSince time.Time       // start of the warm-up; zero when warm
	slowdown  float64         // factor on the service time
	fault     Fault           // of its replies to queries
	snapshots []topo.SnapshotID

	// Calls counts the requests that started, Excess and Shed those rejected
	// because the leaf had no free slot, and Refused the connections over the
	// limit. MaxBusy is the most requests that ran at once.
	Calls   int
	Excess  int
	Shed    int
	Refused int
	MaxBusy int
	lastUse time.Time
}

// Server is a backend server with its leaves.
type Server struct {
	mu           sync.Mutex
	spec         topo.Server
	model        Model
	random       *rand.Rand
	incarnation  uint64
	draining     bool
	drainSince   time.Time
	started      time.Time
	down         bool
	silent       map[string]bool // remote addresses of unresponsive connections
	leaves       map[string]*Leaf
	executed     map[string]int           // update id -> executions
	cancels      map[string]chan struct{} // by attempt; closed to cancel it
	listener     *listener
	restartTimer *time.Timer
	closed       bool // Close was called: no restart
	crashes      int
	cancelled    int
}

// New returns a server that isn't listening yet. Its leaves are warm and hold
// version 1 of each of their layouts.
func New(spec topo.Server, model Model) *Server {
	s := &Server{
		spec: spec, model: model, incarnation: 1,
		random: rand.New(rand.NewPCG(model.Seed, hash(spec.Name))),
		leaves: map[string]*Leaf{}, silent: map[string]bool{}, executed: map[string]int{},
		cancels: map[string]chan struct{}{}, started: time.Now(),
	}
	for _, l := range spec.Leaves {
		f := &Leaf{spec: l, conns: map[string]bool{}, slowdown: 1}
		for _, h := range l.Holds {
			f.snapshots = append(f.snapshots, topo.SnapshotID{Layout: h.Layout, Version: 1})
		}
		s.leaves[l.Name] = f
	}
	return s
}

// hash returns the 64-bit FNV-1a hash of s.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(s) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

// Key returns the key of a row of a shard in a snapshot.
func Key(service string, id topo.SnapshotID, shard, row int) string {
	return fmt.Sprintf("%s/%s/%d/%d", service, id, shard, row)
}

// capacity returns how many requests a leaf can run at once. It ends the warm-up
// when its time is over. mu must be held.
func (s *Server) capacity(f *Leaf) int {
	if f.coldSince.IsZero() {
		return f.spec.Slots
	}
	elapsed := time.Since(f.coldSince)
	if elapsed >= s.model.WarmUp {
		f.coldSince = time.Time{}
		return f.spec.Slots
	}
	return max(1, int(float64(f.spec.Slots)*float64(elapsed)/float64(s.model.WarmUp)))
}

// MakeCold restarts the warm-up of all leaves without a new incarnation.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.leaves {
		f.coldSince = time.Now()
	}
}

// SetSlowdown sets the factor by which the service time of a leaf is multiplied.
func (s *Server) SetSlowdown(leaf string, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.leaves[leaf]; f != nil {
		f.slowdown = factor
	}
}

// SetFault makes a leaf send wrong replies to queries, or right ones again with
// FaultNone.
func (s *Server) SetFault(leaf string, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.leaves[leaf]; f != nil {
		f.fault = fault
	}
}

// SetSnapshots replaces the snapshots that all leaves hold. Each leaf ignores
// those of layouts that it has no shard of.
func (s *Server) SetSnapshots(ids ...topo.SnapshotID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.leaves {
		f.snapshots = nil
		for _, id := range ids {
			if _, ok := f.spec.Shard(id.Layout); ok {
				f.snapshots = append(f.snapshots, id)
			}
		}
	}
}

// Drain starts or ends draining the server.
func (s *Server) Drain(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	s.drainSince = time.Now()
}

// Silence makes a random share of the open connections unresponsive for good.
// New connections work. It returns the number of connections chosen.
func (s *Server) Silence(share float64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.leaves {
		for c := range f.conns {
			if s.random.Float64() < share {
				s.silent[c] = true
				n++
			}
		}
	}
	return n
}

// Executed returns the number of executions of each update.
func (s *Server) Executed() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int, len(s.executed))
	for id, n := range s.executed {
		m[id] = n
	}
	return m
}

// Stats holds the counters of a server.
type Stats struct {
	Server  string `json:"server"`
	Calls   int    `json:"calls"`
	Excess  int    `json:"excess"`
	Shed    int    `json:"shed"`
	Refused int    `json:"refused-connections"`
	MaxBusy int    `json:"max-busy"`
	Crashes int    `json:"crashes"`
	// Cancelled counts attempts that were cancelled while they ran.
	Cancelled int `json:"cancelled"`
	// LastUse is the time since the last request started, in ms; -1 if there was none.
	LastUse  int64          `json:"last-use-ms-ago"`
	Executed map[string]int `json:"executed"`
}

// Stats returns the counters, summed over all leaves, the highest MaxBusy of a leaf, and
// the latest use of any leaf.
func (s *Server) Stats() Stats {
	executed := s.Executed()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Server: s.spec.Name, Crashes: s.crashes, Cancelled: s.cancelled, Executed: executed, LastUse: -1}
	for _, f := range s.leaves {
		st.Calls += f.Calls
		st.Excess += f.Excess
		st.Shed += f.Shed
		st.Refused += f.Refused
		st.MaxBusy = max(st.MaxBusy, f.MaxBusy)
		if !f.lastUse.IsZero() {
			ago := time.Since(f.lastUse).Milliseconds()
			if st.LastUse < 0 || ago < st.LastUse {
				st.LastUse = ago
			}
		}
	}
	return st
}

// Crash stops the server abruptly. It restarts cold after RestartDelay.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash stops the server abruptly, unless it is already down, and schedules its
// restart. mu must be held.
func (s *Server) crash() {
	if s.down || s.closed {
		return
	}
	s.down = true
	s.crashes++
	l := s.listener
	s.listener = nil
	go l.abort()
	s.restartTimer = time.AfterFunc(s.model.RestartDelay, s.restart)
}

// restart starts the server again, cold, not draining and under a new incarnation. It
// retries for about a second if it can't listen.
func (s *Server) restart() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.down = false
	s.draining = false
	s.started = time.Now()
	s.incarnation++
	for _, f := range s.leaves {
		f.coldSince = time.Now()
		f.active = 0
		f.conns = map[string]bool{}
	}
	s.silent = map[string]bool{}
	s.mu.Unlock()
	for range 100 {
		if _, err := s.Start(s.spec.Address); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// holdsSnapshot reports whether a leaf holds a snapshot.
func (s *Server) holdsSnapshot(f *Leaf, id topo.SnapshotID) bool {
	for _, held := range f.snapshots {
		if held == id {
			return true
		}
	}
	return false
}

// snapshotList returns the value of the header Leaf-Snapshots.
func (f *Leaf) snapshotList() string {
	text := make([]string, len(f.snapshots))
	for i, id := range f.snapshots {
		text[i] = id.String()
	}
	return strings.Join(text, ",")
}
