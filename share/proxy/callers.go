package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/httpc"
	"dandelionstile/share/mirror"
	"dandelionstile/share/router"
	"dandelionstile/share/topk"
)

// callers holds the requests whose callers wait for an answer.
type callers struct {
	mu      sync.Mutex
	waiting map[uint64]chan router.Answer
	closed  bool
}

func (c *callers) add(query uint64) chan router.Answer {
	answer := make(chan router.Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = map[uint64]chan router.Answer{}
	}
	if c.closed {
		answer <- router.Answer{Query: query, Refusal: router.NoConfig}
		return answer
	}
	c.waiting[query] = answer
	return answer
}

func (c *callers) remove(query uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, query)
}

func (c *callers) answer(a router.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer := c.waiting[a.Query]; answer != nil {
		delete(c.waiting, a.Query)
		answer <- a
	}
}

// closeAll sends a final answer to all waiting callers and rejects new ones.
func (c *callers) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for query, answer := range c.waiting {
		delete(c.waiting, query)
		answer <- router.Answer{Query: query, Refusal: router.Failed}
	}
}

// serve handles a caller's request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.submit(w, r, router.Arrival{Wait: s.remaining(r), Remote: r.RemoteAddr})
}

// serveForwarded handles a request that another host forwards, or a read of this host's
// mirror.
func (s *Server) serveForwarded(w http.ResponseWriter, r *http.Request) {
	if s.Mirror != nil && mirror.IsRead(r) {
		s.Mirror.Serve(s.Clock, s.stop, w, r)
		return
	}
	target, err := strconv.ParseInt(r.Header.Get(httpc.HeaderForwardTarget), 10, 64)
	if err != nil {
		s.writeText(w, http.StatusBadRequest, "no proper "+httpc.HeaderForwardTarget)
		return
	}
	version, err := strconv.ParseUint(r.Header.Get(httpc.HeaderForwardVersion), 10, 64)
	if err != nil {
		s.writeText(w, http.StatusBadRequest, "no proper "+httpc.HeaderForwardVersion)
		return
	}
	shards := strings.Split(r.Header.Get(httpc.HeaderForwardShards), ",")
	late := r.Header.Get(httpc.HeaderForwardLate) != ""
	r.Header.Del(httpc.HeaderForwardLate)
	r.Header.Del(httpc.HeaderForwardShards)
	r.Header.Del(httpc.HeaderForwardTarget)
	r.Header.Del(httpc.HeaderForwardVersion)
	s.submit(w, r, router.Arrival{
		Wait: s.remaining(r), Remote: r.RemoteAddr, Forwarded: true, Shards: shards, Target: clock.Milli(target), Version: version,
		Late: late,
	})
}

// submit sends a request to the control loop and writes its answer.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, a router.Arrival) {
	start := s.Clock.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The caller has closed the connection, or the body is malformed.
		s.Log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("request-unreadable")
		s.writeText(w, http.StatusBadRequest, "the body cannot be read")
		return
	}
	if limit := s.server.BodyLimit(); !a.Forwarded && len(body) > limit {
		s.writeText(w, http.StatusRequestEntityTooLarge, "the body is over "+strconv.Itoa(limit)+" bytes")
		return
	}
	request := s.leafRequest(r, body)
	if request.ID == "" {
		s.writeText(w, http.StatusBadRequest, "the request has no "+s.Settings.Dialect.RequestID)
		return
	}
	a.Query = s.queries.Add(1)
	a.Request = request
	if r.Context().Err() != nil {
		return // the caller disconnected before the request was submitted
	}
	waiting := s.callers.add(a.Query)
	defer s.callers.remove(a.Query)
	s.post(a)
	var answer router.Answer
	select {
	case answer = <-waiting:
	case <-r.Context().Done():
		s.post(router.CallerGone{Query: a.Query})
		return
	}
	if a.Forwarded {
		s.setForwardHeaders(w, answer, s.Clock.Now()-start)
	}
	s.writeAnswer(w, r, answer)
}

// setForwardHeaders sets the headers for the forwarding host: the processing time, the
// missing shards and, for a refusal, that the request has not run.
func (s *Server) setForwardHeaders(w http.ResponseWriter, a router.Answer, duration clock.Milli) {
	w.Header()[httpc.HeaderForwardProcessingTime] = []string{strconv.FormatInt(int64(duration), 10)}
	if a.Merged != nil && len(a.Merged.Missing) > 0 {
		w.Header()[httpc.HeaderForwardMissing] = []string{strings.Join(a.Merged.Missing, ",")}
	}
	switch a.Refusal {
	case router.NoConfig, router.NoRoute, router.NoLeaf, router.NoCapacity, router.Harmful, router.Stale:
		w.Header()[s.Settings.Dialect.NotRun] = []string{a.Refusal.String()}
	default:
	}
}

func (s *Server) remaining(r *http.Request) clock.Milli {
	ms, err := strconv.ParseInt(r.Header.Get(s.Settings.Dialect.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0 // the header is missing or malformed
	}
	return clock.Milli(ms)
}

// leafRequest returns the part of a caller's request that is sent to leaves.
func (s *Server) leafRequest(r *http.Request, body []byte) *call.Request {
	target := r.RequestURI
	// nbhttp sets the host; some callers send the absolute form.
	if rest, ok := strings.CutPrefix(target, "http://"); ok {
		_, path, _ := strings.Cut(rest, "/")
		target = "/" + path
	}
	host := r.Host
	if host == "" {
		host = r.Header.Get("Host")
	}
	h := r.Header.Clone()
	stripConnection(h)
	for _, name := range []string{"Host", "Content-Length", "Expect", s.Settings.Dialect.Deadline, s.Settings.Dialect.ExpectLeaf} {
		h.Del(name)
	}
	return &call.Request{
		ID: r.Header.Get(s.Settings.Dialect.RequestID), Method: r.Method, Target: target,
		Host: host, Header: h, Body: body,
	}
}

// connectionHeaders apply to a single connection (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func stripConnection(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// writeAnswer writes an answer.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, a router.Answer) {
	switch {
	case a.Reply != nil:
		s.writeReply(w, a.Reply)
	case a.Merged != nil:
		s.writeMerged(w, r, a.Merged)
	default:
		s.writeRefusal(w, a)
	}
}

func (s *Server) writeHeader(w http.ResponseWriter, status, length int) {
	w.Header().Set("Content-Length", strconv.Itoa(length))
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// writeReply writes a leaf's reply unchanged.
func (s *Server) writeReply(w http.ResponseWriter, reply *call.Reply) {
	if http.StatusText(reply.Status) == "" {
		// nbhttp cannot write a status without a text and would send 200 instead.
		s.writeText(w, http.StatusBadGateway, "the leaf answered with an unknown status")
		return
	}
	h := w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	stripConnection(h)
	s.writeHeader(w, reply.Status, len(reply.Body))
	_, _ = w.Write(reply.Body) // the caller may have disconnected
}

func (s *Server) writeMerged(w http.ResponseWriter, r *http.Request, m *router.Merged) {
	d := &s.Settings.Dialect
	stamps := make([]string, len(m.Parts))
	lists := make([][]byte, len(m.Parts))
	for i, p := range m.Parts {
		stamps[i] = p.Stamp
		lists[i] = p.Body
	}
	body := topk.Merge(m.TopK, lists)
	h := w.Header()
	h[d.RequestID] = []string{r.Header.Get(d.RequestID)}
	h[d.PartStamps] = []string{strings.Join(stamps, ", ")}
	h[d.MissingShards] = []string{strconv.Itoa(len(m.Missing))}
	h["Content-Type"] = []string{"application/octet-stream"}
	s.writeHeader(w, http.StatusOK, len(body))
	_, _ = w.Write(body) // the caller may have disconnected
}

// writeRefusal writes the reason for a refusal. 503 means that the request has not
// run; the other codes leave that open.
func (s *Server) writeRefusal(w http.ResponseWriter, a router.Answer) {
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.RetryAfter)/float64(clock.Second), 'f', 3, 64))
	}
	switch a.Refusal {
	case router.NoRoute:
		s.writeText(w, http.StatusNotFound, "no route")
	case router.NoConfig, router.NoLeaf, router.NoCapacity, router.Harmful, router.Stale:
		s.writeText(w, http.StatusServiceUnavailable, "not run: "+a.Refusal.String())
	case router.Late:
		s.writeText(w, http.StatusGatewayTimeout, "no answer in time")
	default:
		s.writeText(w, http.StatusBadGateway, "no proper answer from the leafs")
	}
}

func (s *Server) writeText(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.writeHeader(w, status, len(body)+1)
	_, _ = io.WriteString(w, body+"\n") // the caller may have disconnected
}
