package leaf

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionstile/share/topo"
)

type connKey struct{}

// listener is one incarnation's listening socket with its connections.
type listener struct {
	ln     net.Listener
	server *http.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	wait   sync.WaitGroup
}

// kill closes everything at once, with a reset, as a crash does.
func (l *listener) kill() {
	_ = l.ln.Close()
	l.mu.Lock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	l.mu.Unlock()
	_ = l.server.Close()
	l.wait.Wait()
}

// Start listens on an address and serves; port 0 picks one.
func (s *Server) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/leafs/{leaf}/query", s.query)
	mux.HandleFunc("POST /v1/leafs/{leaf}/update", s.update)
	mux.HandleFunc("GET /v1/leafs/{leaf}/state", s.state)
	mux.HandleFunc("DELETE /v1/leafs/{leaf}/attempts/{attempt}", s.cancel)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("/", s.opaque)
	l := &listener{ln: ln, conns: map[net.Conn]struct{}{}}
	l.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c.RemoteAddr().String())
		},
		ConnState: func(c net.Conn, state http.ConnState) { s.track(l, c, state) },
	}
	l.wait.Go(func() { _ = l.server.Serve(ln) }) // ends with kill
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.spec.Address = ln.Addr().String()
	return s.spec.Address, nil
}

// Close stops serving and waits.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	if s.restartAt != nil {
		s.restartAt.Stop()
	}
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.kill()
	}
	return nil
}

func (s *Server) track(l *listener, c net.Conn, state http.ConnState) {
	l.mu.Lock()
	switch state {
	case http.StateNew:
		l.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	default:
	}
	l.mu.Unlock()
	if state == http.StateClosed {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, f := range s.leafs {
			delete(f.conns, c.RemoteAddr().String())
		}
	}
}

// enter finds the leaf, counts the connection and lets silent ones hang.
func (s *Server) enter(w http.ResponseWriter, r *http.Request) *Leaf {
	id, _ := r.Context().Value(connKey{}).(string)
	s.mu.Lock()
	f := s.leafs[r.PathValue("leaf")]
	if f == nil {
		s.mu.Unlock()
		http.Error(w, "no such leaf", http.StatusNotFound)
		return nil
	}
	if s.silent[id] {
		s.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	fresh := !f.conns[id]
	if fresh && len(f.conns) >= f.spec.Connections {
		f.Refused++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	f.conns[id] = true
	s.sign(w, f)
	s.mu.Unlock()
	if fresh {
		time.Sleep(s.model.Connect)
	}
	return f
}

// sign sets the headers that every reply has. The state lags.
func (s *Server) sign(w http.ResponseWriter, f *Leaf) {
	h := w.Header()
	h.Set("Leaf-Incarnation", strconv.FormatUint(s.incarnation, 10))
	h.Set("Leaf-Snapshots", f.snapshotText())
	state := "ready"
	if s.draining == (time.Since(s.drainSince) >= s.model.StateLag) {
		state = "draining"
	}
	h.Set("Leaf-State", state)
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	if s.enter(w, r) != nil {
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	if s.enter(w, r) == nil {
		return
	}
	s.mu.Lock()
	if stop, ok := s.attempts[r.PathValue("attempt")]; ok {
		delete(s.attempts, r.PathValue("attempt"))
		close(stop)
		s.cancelled++
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

type wireRow struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type wireReply struct {
	Attempt  string    `json:"attempt"`
	Snapshot string    `json:"snapshot"`
	Shards   []int     `json:"shards"`
	Rows     []wireRow `json:"rows"`
	Body     string    `json:"body"`
}

type wireRequest struct {
	Attempt   string `json:"attempt"`
	Service   string `json:"service"`
	Snapshot  string `json:"snapshot"`
	Shard     int    `json:"shard"`
	Text      string `json:"text"`
	Limit     int    `json:"limit"`
	Deadline  int64  `json:"deadline-ms"`
	ID        string `json:"id"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Body      string `json:"body"`
}

// begin takes a slot, or answers why not. A leaf that is given more than it
// bears counts the excess and sheds.
func (s *Server) begin(w http.ResponseWriter, f *Leaf, attempt string) (chan struct{}, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.Header().Set("Leaf-State", "draining")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, 0, false
	}
	if f.active >= s.bears(f) {
		f.Excess++
		f.Shed++
		w.WriteHeader(http.StatusTooManyRequests)
		return nil, 0, false
	}
	f.active++
	f.MaxBusy = max(f.MaxBusy, f.active)
	f.Calls++
	f.lastUse = time.Now()
	stop := make(chan struct{})
	s.attempts[attempt] = stop
	span := float64(s.model.Service) * f.straggle
	if s.model.Jitter > 0 {
		span += float64(s.random.Int64N(int64(s.model.Jitter)))
	}
	return stop, time.Duration(span), true
}

func (s *Server) end(f *Leaf, attempt string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, attempt)
	if incarnation == s.incarnation {
		f.active--
	}
}

func (s *Server) born() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	f := s.enter(w, r)
	if f == nil {
		return
	}
	var q wireRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	pin, _ := topo.ParseSnapshotID(q.Snapshot)
	s.mu.Lock()
	held := s.holds(f, pin)
	shard, _ := f.spec.Shard(pin.Layout)
	s.mu.Unlock()
	if !held || shard != q.Shard {
		w.WriteHeader(http.StatusConflict)
		return
	}
	incarnation := s.born()
	stop, span, ok := s.begin(w, f, q.Attempt)
	if !ok {
		return
	}
	defer s.end(f, q.Attempt, incarnation)
	if q.Text == CrashText {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if q.Deadline > 0 {
		span = min(span, time.Duration(q.Deadline)*time.Millisecond)
	}
	if !s.work(r, stop, span) {
		w.WriteHeader(499)
		return
	}
	s.reply(w, f, q, pin)
}

// work passes the time that a request takes. It tells whether it was finished.
func (s *Server) work(r *http.Request, stop chan struct{}, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) reply(w http.ResponseWriter, f *Leaf, q wireRequest, pin topo.SnapshotID) {
	s.mu.Lock()
	fault := f.fault
	s.mu.Unlock()
	out := wireReply{Attempt: q.Attempt, Snapshot: q.Snapshot, Shards: []int{q.Shard}}
	for row := range min(Rows, q.Limit) {
		out.Rows = append(out.Rows, wireRow{
			Key: Key(q.Service, pin, q.Shard, row), Score: 1 / float64(1+row), Text: q.Text,
		})
	}
	switch fault {
	case FaultForeign:
		out.Attempt = "another"
	case FaultFewer:
		out.Shards, out.Rows = nil, nil
	case FaultSnapshot:
		out.Snapshot = topo.SnapshotID{Layout: pin.Layout, Version: pin.Version + 1}.String()
	case FaultEmpty:
		w.WriteHeader(http.StatusOK)
		return
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case FaultNone, FaultTruncated:
	}
	body, err := json.Marshal(out)
	if err != nil {
		return
	}
	if fault == FaultTruncated {
		body = body[:len(body)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	f := s.enter(w, r)
	if f == nil {
		return
	}
	var u wireRequest
	if err := json.NewDecoder(r.Body).Decode(&u); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	incarnation := s.born()
	stop, span, ok := s.begin(w, f, u.Attempt)
	if !ok {
		return
	}
	defer s.end(f, u.Attempt, incarnation)
	s.mu.Lock()
	s.executed[u.ID]++
	s.mu.Unlock()
	if u.Body == CrashText {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.work(r, stop, span) // an update runs to its end, cancelled or not
	body, err := json.Marshal(wireReply{Attempt: u.Attempt, Body: "done " + u.Key})
	if err != nil {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
