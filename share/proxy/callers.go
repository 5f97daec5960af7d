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

// callers holds the callers that wait for an answer, by the number of their query.
type callers struct {
	mu      sync.Mutex
	waiting map[uint64]*waiter
	closed  bool
}

// waiter is a caller that waits.
type waiter struct {
	answers chan router.Answer
	// begun is set once the control loop has its request, which may run from then on.
	begun bool
}

// add registers a caller that waits for the answer to a query, and returns the channel
// that will hold it. After closeAll, the answer is a refusal.
func (c *callers) add(query uint64) chan router.Answer {
	answers := make(chan router.Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = map[uint64]*waiter{}
	}
	if c.closed {
		answers <- router.Answer{Query: query, Refusal: router.NoConfig} // the request has not run
		return answers
	}
	c.waiting[query] = &waiter{answers: answers}
	return answers
}

// begin records that the control loop has a caller's request.
func (c *callers) begin(query uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.waiting[query]; w != nil {
		w.begun = true
	}
}

// remove removes a caller that no longer waits.
func (c *callers) remove(query uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, query)
}

// deliver delivers an answer to its caller, if the caller still waits.
func (c *callers) deliver(a router.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.waiting[a.Query]; w != nil {
		delete(c.waiting, a.Query)
		w.answers <- a
	}
}

// closeAll sends a final answer to all waiting callers and lets add refuse new ones. It is called
// after the control loop has ended.
func (c *callers) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for query, w := range c.waiting {
		delete(c.waiting, query)
		refusal := router.NoConfig // the request has not run
		if w.begun {
			refusal = router.Failed
		}
		w.answers <- router.Answer{Query: query, Refusal: refusal}
	}
}

// serve handles a caller's request until it is answered or the caller disconnects.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.submit(w, r, router.Arrival{Wait: s.remainingTime(r), Remote: r.RemoteAddr})
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
	// leafRequest copies the remaining headers, and a call to a leaf with
	// HeaderForwardTarget would count as forwarded.
	r.Header.Del(httpc.HeaderForwardLate)
	r.Header.Del(httpc.HeaderForwardShards)
	r.Header.Del(httpc.HeaderForwardTarget)
	r.Header.Del(httpc.HeaderForwardVersion)
	s.submit(w, r, router.Arrival{
		Wait: s.remainingTime(r), Remote: r.RemoteAddr, Forwarded: true, Shards: shards, Target: clock.Milli(target), Version: version,
		Late: late,
	})
}

// submit sends a request to the control loop, waits for its answer and writes it. If the
// caller disconnects first, it reports that to the control loop. It answers requests that
// are unreadable, too large or without an ID itself.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, arrival router.Arrival) {
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
	// The host that forwards a request has checked its size.
	if limit := s.server.BodyLimit(); !arrival.Forwarded && len(body) > limit {
		s.writeText(w, http.StatusRequestEntityTooLarge, "the body is over "+strconv.Itoa(limit)+" bytes")
		return
	}
	request := s.leafRequest(r, body)
	if request.ID == "" {
		s.writeText(w, http.StatusBadRequest, "the request has no "+s.Settings.Dialect.RequestID)
		return
	}
	arrival.Query = s.queries.Add(1)
	arrival.Request = request
	if r.Context().Err() != nil {
		return // the caller disconnected before the request was submitted
	}
	answers := s.callers.add(arrival.Query)
	defer s.callers.remove(arrival.Query)
	s.post(arrival)
	var answer router.Answer
	select {
	case answer = <-answers:
	case <-r.Context().Done():
		s.post(router.CallerGone{Query: arrival.Query})
		return
	}
	if arrival.Forwarded {
		s.setForwardHeaders(w, answer, s.Clock.Now()-start)
	}
	s.writeAnswer(w, r, answer)
}

// setForwardHeaders sets the headers for the forwarding host: the processing time, the version
// of the configuration, the missing shards if any and, for a refusal after which the request
// has certainly not run, its reason.
func (s *Server) setForwardHeaders(w http.ResponseWriter, answer router.Answer, duration clock.Milli) {
	w.Header()[httpc.HeaderForwardProcessingTime] = []string{strconv.FormatInt(int64(duration), 10)}
	if merged := answer.Merged; merged != nil {
		w.Header()[httpc.HeaderForwardVersion] = []string{strconv.FormatUint(merged.Version, 10)}
		if len(merged.Missing) > 0 {
			w.Header()[httpc.HeaderForwardMissing] = []string{strings.Join(merged.Missing, ",")}
		}
	}
	switch answer.Refusal {
	case router.NoConfig, router.NoRoute, router.NoLeaf, router.NoCapacity, router.Harmful, router.Stale:
		w.Header()[s.Settings.Dialect.NotRun] = []string{answer.Refusal.String()}
	default: // the request may have run
	}
}

// remainingTime returns the time that the caller still waits according to its deadline
// header, or 0 if the header is missing, malformed or negative.
func (s *Server) remainingTime(r *http.Request) clock.Milli {
	ms, err := strconv.ParseInt(r.Header.Get(s.Settings.Dialect.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return clock.Milli(ms)
}

// leafRequest returns the part of a caller's request that is sent to leaves.
func (s *Server) leafRequest(r *http.Request, body []byte) *call.Request {
	target := r.RequestURI
	// Some callers send the target in absolute form.
	if rest, ok := strings.CutPrefix(target, "http://"); ok {
		_, path, _ := strings.Cut(rest, "/")
		target = "/" + path
	}
	host := r.Host
	if host == "" { // nbhttp leaves it empty for a target in absolute form
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

// stripConnection removes the headers that apply to a single connection, also those that
// the Connection header lists.
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

// writeAnswer writes a leaf's reply, a merged answer or a refusal.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, answer router.Answer) {
	switch {
	case answer.Reply != nil:
		s.writeReply(w, answer.Reply)
	case answer.Merged != nil:
		s.writeMerged(w, r, answer.Merged)
	default:
		s.writeRefusal(w, answer)
	}
}

// writeHeader writes the headers. While the host is leaving, they announce that the
// connection closes.
func (s *Server) writeHeader(w http.ResponseWriter, status, length int) {
	w.Header().Set("Content-Length", strconv.Itoa(length))
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// writeReply writes a leaf's reply without the headers of the leaf's connection, or 502 if
// the reply has an unknown status.
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

// writeMerged merges the leaves' replies and writes the result.
func (s *Server) writeMerged(w http.ResponseWriter, r *http.Request, merged *router.Merged) {
	dialect := &s.Settings.Dialect
	stamps := make([]string, len(merged.Parts))
	lists := make([][]byte, len(merged.Parts))
	for i, p := range merged.Parts {
		stamps[i] = p.Stamp
		lists[i] = p.Body
	}
	body := topk.Merge(merged.TopK, lists)
	h := w.Header()
	h[dialect.RequestID] = []string{r.Header.Get(dialect.RequestID)}
	h[dialect.PartStamps] = []string{strings.Join(stamps, ", ")}
	h[dialect.MissingShards] = []string{strconv.Itoa(len(merged.Missing))}
	h["Content-Type"] = []string{"application/octet-stream"}
	s.writeHeader(w, http.StatusOK, len(body))
	_, _ = w.Write(body) // the caller may have disconnected
}

// writeRefusal writes the reason for a refusal, and when to retry if the answer says so.
// 503 and 404 mean that the request has not run; the other codes leave that open.
func (s *Server) writeRefusal(w http.ResponseWriter, answer router.Answer) {
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(answer.RetryAfter)/float64(clock.Second), 'f', 3, 64))
	}
	switch answer.Refusal {
	case router.NoRoute:
		s.writeText(w, http.StatusNotFound, "no route")
	case router.NoConfig, router.NoLeaf, router.NoCapacity, router.Harmful, router.Stale:
		s.writeText(w, http.StatusServiceUnavailable, "not run: "+answer.Refusal.String())
	case router.Late:
		s.writeText(w, http.StatusGatewayTimeout, "no answer in time")
	default:
		s.writeText(w, http.StatusBadGateway, "no proper answer from the leafs")
	}
}

// writeText writes an answer of this host itself.
func (s *Server) writeText(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.writeHeader(w, status, len(body)+1)
	_, _ = io.WriteString(w, body+"\n") // the caller may have disconnected
}
