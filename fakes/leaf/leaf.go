// Package leaf stands in for backend servers and their leafs: slots, connection
// limits, connect cost, cold starts, drains, stragglers, crashes, snapshots,
// silent connections and a log of executed updates. Tests drive it by its
// methods or over HTTP.
package leaf

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dandelionstile/share/topo"
)

// Model is how leafs behave.
type Model struct {
	// Service is the usual time a query takes at a leaf.
	Service time.Duration
	// Jitter is added at random, up to this.
	Jitter time.Duration
	// Connect is what a new connection costs before its first reply.
	Connect time.Duration
	// Warm is how long a cold leaf takes until it bears all of its slots.
	Warm time.Duration
	// Restart is how long a crashed server stays away.
	Restart time.Duration
	// StateLag is how far the state endpoint lags behind.
	StateLag time.Duration
	Seed     uint64
}

// Rows is how many rows each shard has.
const Rows = 2

// CrashText makes a server that runs a query with it go down.
const CrashText = "crash-backend"

// Fault is a wrong way to answer.
type Fault string

// The faults.
const (
	FaultNone      Fault = ""
	FaultForeign   Fault = "foreign"   // another attempt's reply
	FaultTruncated Fault = "truncated" // half of the body
	FaultEmpty     Fault = "empty"     // no body
	FaultFewer     Fault = "fewer"     // no shard in the reply
	FaultSnapshot  Fault = "snapshot"  // rows of another snapshot
	FaultError     Fault = "error"     // status 500
)

// Leaf is one leaf's state.
type Leaf struct {
	spec      topo.Leaf
	active    int
	conns     map[string]bool
	cold      time.Time // start of the warm-up; zero when warm
	straggle  float64
	fault     Fault
	snapshots []topo.SnapshotID

	// Calls counts the queries that started; Excess those beyond what the leaf
	// could bear; Refused the connections over the limit.
	Calls   int
	Excess  int
	Shed    int
	Refused int
	MaxBusy int
	lastUse time.Time
}

// Server is a backend server with its leafs.
type Server struct {
	mu          sync.Mutex
	spec        topo.Server
	model       Model
	random      *rand.Rand
	incarnation uint64
	draining    bool
	drainSince  time.Time
	started     time.Time
	down        bool
	silent      map[string]bool // connections that went silent
	leafs       map[string]*Leaf
	executed    map[string]int // update id -> executions
	attempts    map[string]chan struct{}
	listener    *listener
	restartAt   *time.Timer
	closed      bool
	crashes     int
	cancelled   int
}

// New returns a server that is not listening yet. Its leafs hold the snapshot
// with version 1 of their newest layout, and are warm.
func New(spec topo.Server, model Model) *Server {
	s := &Server{
		spec: spec, model: model, incarnation: 1,
		random: rand.New(rand.NewPCG(model.Seed, hash(spec.Name))),
		leafs:  map[string]*Leaf{}, silent: map[string]bool{}, executed: map[string]int{},
		attempts: map[string]chan struct{}{}, started: time.Now(),
	}
	for _, l := range spec.Leaves {
		f := &Leaf{spec: l, conns: map[string]bool{}, straggle: 1}
		for _, h := range l.Holds {
			f.snapshots = append(f.snapshots, topo.SnapshotID{Layout: h.Layout, Version: 1})
		}
		s.leafs[l.Name] = f
	}
	return s
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(s) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

// Key is the row key that a shard of a service has under a snapshot.
func Key(service string, pin topo.SnapshotID, shard, row int) string {
	return fmt.Sprintf("%s/%s/%d/%d", service, pin, shard, row)
}

// bears is how many requests a leaf can have at once.
func (s *Server) bears(f *Leaf) int {
	if f.cold.IsZero() {
		return f.spec.Slots
	}
	age := time.Since(f.cold)
	if age >= s.model.Warm {
		f.cold = time.Time{}
		return f.spec.Slots
	}
	return max(1, int(float64(f.spec.Slots)*float64(age)/float64(s.model.Warm)))
}

// Chill makes all leafs cold, with no visible restart.
func (s *Server) Chill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.leafs {
		f.cold = time.Now()
	}
}

// Straggle makes a leaf slower by a factor.
func (s *Server) Straggle(leaf string, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.leafs[leaf]; f != nil {
		f.straggle = factor
	}
}

// SetFault makes a leaf answer wrongly.
func (s *Server) SetFault(leaf string, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.leafs[leaf]; f != nil {
		f.fault = fault
	}
}

// SetSnapshots changes what all leafs hold.
func (s *Server) SetSnapshots(pins ...topo.SnapshotID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.leafs {
		f.snapshots = nil
		for _, p := range pins {
			if _, ok := f.spec.Shard(p.Layout); ok {
				f.snapshots = append(f.snapshots, p)
			}
		}
	}
}

// Drain makes the server leave, or come back.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
	s.drainSince = time.Now()
}

// Silence makes a share of the open connections silent for good; new ones work.
func (s *Server) Silence(share float64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.leafs {
		for c := range f.conns {
			if s.random.Float64() < share {
				s.silent[c] = true
				n++
			}
		}
	}
	return n
}

// Executed returns how often each update ran.
func (s *Server) Executed() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int, len(s.executed))
	for id, n := range s.executed {
		m[id] = n
	}
	return m
}

// Stats are a server's counts.
type Stats struct {
	Server  string `json:"server"`
	Calls   int    `json:"calls"`
	Excess  int    `json:"excess"`
	Shed    int    `json:"shed"`
	Refused int    `json:"refused-connections"`
	MaxBusy int    `json:"max-busy"`
	Crashes int    `json:"crashes"`
	// Cancelled counts attempts that were called off while they ran.
	Cancelled int            `json:"cancelled"`
	LastUse   int64          `json:"last-use-ms-ago"`
	Executed  map[string]int `json:"executed"`
}

// Stats returns the counts of all leafs together.
func (s *Server) Stats() Stats {
	executed := s.Executed()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Server: s.spec.Name, Crashes: s.crashes, Cancelled: s.cancelled, Executed: executed, LastUse: -1}
	for _, f := range s.leafs {
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

// Crash takes the server down at once; it comes back cold.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Server) crash() {
	if s.down || s.closed {
		return
	}
	s.down = true
	s.crashes++
	l := s.listener
	s.listener = nil
	go l.kill()
	s.restartAt = time.AfterFunc(s.model.Restart, s.restart)
}

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
	for _, f := range s.leafs {
		f.cold = time.Now()
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

func (s *Server) holds(f *Leaf, pin topo.SnapshotID) bool {
	for _, p := range f.snapshots {
		if p == pin {
			return true
		}
	}
	return false
}

func (f *Leaf) snapshotText() string {
	text := make([]string, len(f.snapshots))
	for i, p := range f.snapshots {
		text[i] = p.String()
	}
	return strings.Join(text, ",")
}
