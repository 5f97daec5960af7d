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

// connKey is the context key of the remote address of a request's connection.
type connKey struct{}

// listener is the listening socket of one incarnation, with its connections.
type listener struct {
	ln     net.Listener
	server *http.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	wg     sync.WaitGroup
}

// abort closes the listener and resets its connections, as a crash does.
func (l *listener) abort() {
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
	l.wg.Wait()
}

// Start listens on an address and serves in the background. It returns the
// address, with the port that the kernel chose if addr has port 0.
func (s *Server) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/leafs/{leaf}/query", s.handleQuery)
	mux.HandleFunc("POST /v1/leafs/{leaf}/update", s.handleUpdate)
	mux.HandleFunc("GET /v1/leafs/{leaf}/state", s.handleState)
	mux.HandleFunc("DELETE /v1/leafs/{leaf}/attempts/{attempt}", s.handleCancel)
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.HandleFunc("/", s.handleOpaque)
	l := &listener{ln: ln, conns: map[net.Conn]struct{}{}}
	l.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c.RemoteAddr().String())
		},
		ConnState: func(c net.Conn, state http.ConnState) { s.trackConn(l, c, state) },
	}
	l.wg.Go(func() { _ = l.server.Serve(ln) }) // returns after abort
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.spec.Address = ln.Addr().String()
	return s.spec.Address, nil
}

// Close stops the server and waits until its connections are closed.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.abort()
	}
	return nil
}

// trackConn records which connections of a listener are open. A closed connection no
// longer counts against the limits of the leaves.
func (s *Server) trackConn(l *listener, c net.Conn, state http.ConnState) {
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
		for _, f := range s.leaves {
			delete(f.conns, c.RemoteAddr().String())
		}
	}
}

// acceptRequest returns the leaf that a request is for. It registers the
// connection and delays the first request on it. A request on an unresponsive
// connection blocks until the client disconnects, and a new connection over the limit
// is closed. If there is no such leaf, it replies itself and returns nil.
func (s *Server) acceptRequest(w http.ResponseWriter, r *http.Request) *Leaf {
	conn, _ := r.Context().Value(connKey{}).(string)
	s.mu.Lock()
	f := s.leaves[r.PathValue("leaf")]
	if f == nil {
		s.mu.Unlock()
		http.Error(w, "no such leaf", http.StatusNotFound)
		return nil
	}
	if s.silent[conn] {
		s.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	newConn := !f.conns[conn]
	if newConn && len(f.conns) >= f.spec.Connections {
		f.Refused++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	f.conns[conn] = true
	s.setLeafHeaders(w, f)
	s.mu.Unlock()
	if newConn {
		time.Sleep(s.model.ConnectTime)
	}
	return f
}

// setLeafHeaders sets the headers of every reply. Leaf-State follows a change of
// draining after StateLag. mu must be held.
func (s *Server) setLeafHeaders(w http.ResponseWriter, f *Leaf) {
	h := w.Header()
	h.Set("Leaf-Incarnation", strconv.FormatUint(s.incarnation, 10))
	h.Set("Leaf-Snapshots", f.snapshotList())
	state := "ready"
	// Until StateLag has passed, the state is the one before the last change.
	if s.draining == (time.Since(s.drainSince) >= s.model.StateLag) {
		state = "draining"
	}
	h.Set("Leaf-State", state)
}

// handleState answers a health check: the state is in the headers.
func (s *Server) handleState(w http.ResponseWriter, r *http.Request) {
	if s.acceptRequest(w, r) != nil {
		w.WriteHeader(http.StatusOK)
	}
}

// handleCancel cancels an attempt if it is still running.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	if s.acceptRequest(w, r) == nil {
		return
	}
	s.mu.Lock()
	if stop, ok := s.cancels[r.PathValue("attempt")]; ok {
		delete(s.cancels, r.PathValue("attempt"))
		close(stop)
		s.cancelled++
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// wireRow is a row in a reply.
type wireRow struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

// wireReply is the body of a reply to a query or, with Attempt and Body, to an
// update.
type wireReply struct {
	Attempt  string    `json:"attempt"`
	Snapshot string    `json:"snapshot"`
	Shards   []int     `json:"shards"`
	Rows     []wireRow `json:"rows"`
	Body     string    `json:"body"`
}

// wireRequest is the body of a query or of an update.
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

// acquireSlot takes a slot and returns a channel that is closed to cancel the
// attempt, and its service time. If the server is draining or the leaf has no
// free slot, it replies with the reason and returns false.
func (s *Server) acquireSlot(w http.ResponseWriter, f *Leaf, attempt string) (chan struct{}, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.Header().Set("Leaf-State", "draining")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, 0, false
	}
	if f.active >= s.capacity(f) {
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
	s.cancels[attempt] = stop
	duration := float64(s.model.ServiceTime) * f.slowdown
	if s.model.Jitter > 0 {
		duration += float64(s.random.Int64N(int64(s.model.Jitter)))
	}
	return stop, time.Duration(duration), true
}

// releaseSlot frees the slot of an attempt, unless the server has restarted
// since.
func (s *Server) releaseSlot(f *Leaf, attempt string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, attempt)
	if incarnation == s.incarnation {
		f.active--
	}
}

func (s *Server) currentIncarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// handleQuery runs a query. It replies 409 if the leaf does not hold the shard in the
// snapshot. It ends at the deadline at the latest.
func (s *Server) handleQuery(w http.ResponseWriter, r *http.Request) {
	f := s.acceptRequest(w, r)
	if f == nil {
		return
	}
	var q wireRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, _ := topo.ParseSnapshotID(q.Snapshot)
	s.mu.Lock()
	held := s.holdsSnapshot(f, id)
	shard, _ := f.spec.Shard(id.Layout)
	s.mu.Unlock()
	if !held || shard != q.Shard {
		w.WriteHeader(http.StatusConflict)
		return
	}
	incarnation := s.currentIncarnation()
	stop, duration, ok := s.acquireSlot(w, f, q.Attempt)
	if !ok {
		return
	}
	defer s.releaseSlot(f, q.Attempt, incarnation)
	if q.Text == CrashText {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if q.Deadline > 0 {
		duration = min(duration, time.Duration(q.Deadline)*time.Millisecond)
	}
	if !s.wait(r, stop, duration) {
		w.WriteHeader(499) // cancelled
		return
	}
	s.writeReply(w, f, q, id)
}

// wait blocks for the duration of a request. It reports whether the request
// completed rather than being cancelled. If the client disconnects, it ends the
// handler.
func (s *Server) wait(r *http.Request, stop chan struct{}, duration time.Duration) bool {
	timer := time.NewTimer(duration)
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

// writeReply replies to a query with the rows of the shard, or with the leaf's fault.
func (s *Server) writeReply(w http.ResponseWriter, f *Leaf, q wireRequest, id topo.SnapshotID) {
	s.mu.Lock()
	fault := f.fault
	s.mu.Unlock()
	reply := wireReply{Attempt: q.Attempt, Snapshot: q.Snapshot, Shards: []int{q.Shard}}
	for row := range min(Rows, q.Limit) {
		reply.Rows = append(reply.Rows, wireRow{
			Key: Key(q.Service, id, q.Shard, row), Score: 1 / float64(1+row), Text: q.Text,
		})
	}
	switch fault {
	case FaultWrongAttempt:
		reply.Attempt = "another"
	case FaultNoShards:
		reply.Shards, reply.Rows = nil, nil
	case FaultWrongSnapshot:
		reply.Snapshot = topo.SnapshotID{Layout: id.Layout, Version: id.Version + 1}.String()
	case FaultEmpty:
		w.WriteHeader(http.StatusOK)
		return
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case FaultNone, FaultTruncated:
	}
	body, err := json.Marshal(reply)
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

// handleUpdate counts and runs an update. An update that has started can't be
// cancelled: it is answered as done.
func (s *Server) handleUpdate(w http.ResponseWriter, r *http.Request) {
	f := s.acceptRequest(w, r)
	if f == nil {
		return
	}
	var u wireRequest
	if err := json.NewDecoder(r.Body).Decode(&u); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	incarnation := s.currentIncarnation()
	stop, duration, ok := s.acquireSlot(w, f, u.Attempt)
	if !ok {
		return
	}
	defer s.releaseSlot(f, u.Attempt, incarnation)
	s.mu.Lock()
	s.executed[u.ID]++
	s.mu.Unlock()
	if u.Body == CrashText {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.wait(r, stop, duration) // a cancellation only ends the wait
	body, err := json.Marshal(wireReply{Attempt: u.Attempt, Body: "done " + u.Key})
	if err != nil {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
