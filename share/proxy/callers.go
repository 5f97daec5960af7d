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

// callers are the requests whose callers wait for an answer.
type callers struct {
	mu      sync.Mutex
	waiting map[uint64]chan router.Answer
	over    bool
}

func (c *callers) add(query uint64) chan router.Answer {
	answer := make(chan router.Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = map[uint64]chan router.Answer{}
	}
	if c.over {
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

// abandon gives all that wait their last answer.
func (c *callers) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	for query, answer := range c.waiting {
		delete(c.waiting, query)
		answer <- router.Answer{Query: query, Refusal: router.Failed}
	}
}

// serve takes one caller's request and writes its answer.
func (t *Server) serve(w http.ResponseWriter, r *http.Request) {
	t.take(w, r, router.Arrive{Wait: t.wait(r), Remote: r.RemoteAddr})
}

// serveForwarded takes a request that another host has from a caller, or one for
// what this host knows.
func (t *Server) serveForwarded(w http.ResponseWriter, r *http.Request) {
	if t.Mirror != nil && mirror.IsRead(r) {
		t.Mirror.Serve(t.Clock, t.stop, w, r)
		return
	}
	target, err := strconv.ParseInt(r.Header.Get(httpc.HeaderForwardTarget), 10, 64)
	if err != nil {
		t.text(w, http.StatusBadRequest, "no proper "+httpc.HeaderForwardTarget)
		return
	}
	version, err := strconv.ParseUint(r.Header.Get(httpc.HeaderForwardVersion), 10, 64)
	if err != nil {
		t.text(w, http.StatusBadRequest, "no proper "+httpc.HeaderForwardVersion)
		return
	}
	shards := strings.Split(r.Header.Get(httpc.HeaderForwardShards), ",")
	late := r.Header.Get(httpc.HeaderForwardLate) != ""
	r.Header.Del(httpc.HeaderForwardLate)
	r.Header.Del(httpc.HeaderForwardShards)
	r.Header.Del(httpc.HeaderForwardTarget)
	r.Header.Del(httpc.HeaderForwardVersion)
	t.take(w, r, router.Arrive{
		Wait: t.wait(r), Remote: r.RemoteAddr, Forwarded: true, Shards: shards, Target: clock.Milli(target), Version: version,
		Late: late,
	})
}

// take has a request decided on and writes its answer.
func (t *Server) take(w http.ResponseWriter, r *http.Request, a router.Arrive) {
	began := t.Clock.Now()
	t.busy.Add(1)
	defer t.busy.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The caller has gone away, or its body was no proper one.
		t.Log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("request-unreadable")
		t.text(w, http.StatusBadRequest, "the body cannot be read")
		return
	}
	if limit := t.server.BodyLimit(); !a.Forwarded && len(body) > limit {
		t.text(w, http.StatusRequestEntityTooLarge, "the body is over "+strconv.Itoa(limit)+" bytes")
		return
	}
	request := t.request(r, body)
	if request.ID == "" {
		t.text(w, http.StatusBadRequest, "the request has no "+t.Settings.Dialect.RequestID)
		return
	}
	a.Query = t.queries.Add(1)
	a.Request = request
	if r.Context().Err() != nil {
		return // the caller left before its request had a turn
	}
	waiting := t.callers.add(a.Query)
	defer t.callers.remove(a.Query)
	t.post(a)
	var answer router.Answer
	select {
	case answer = <-waiting:
	case <-r.Context().Done():
		t.post(router.CallerGone{Query: a.Query})
		return
	}
	if a.Forwarded {
		t.relayHeaders(w, answer, t.Clock.Now()-began)
	}
	t.write(w, r, answer)
}

// relayHeaders tell the other host how long the work took, and of a refusal
// that the request has not run.
func (t *Server) relayHeaders(w http.ResponseWriter, a router.Answer, worked clock.Milli) {
	w.Header()[httpc.HeaderForwardProcessingTime] = []string{strconv.FormatInt(int64(worked), 10)}
	if a.Merged != nil && len(a.Merged.Missing) > 0 {
		w.Header()[httpc.HeaderForwardMissing] = []string{strings.Join(a.Merged.Missing, ",")}
	}
	switch a.Refusal {
	case router.NoConfig, router.NoRoute, router.NoLeaf, router.NoRoom, router.Harmful, router.Stale:
		w.Header()[t.Settings.Dialect.NotRun] = []string{a.Refusal.String()}
	default:
	}
}

func (t *Server) wait(r *http.Request) clock.Milli {
	ms, err := strconv.ParseInt(r.Header.Get(t.Settings.Dialect.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return 0 // not told, or in no form that can be read
	}
	return clock.Milli(ms)
}

// request takes over what leafs are sent of a caller's request.
func (t *Server) request(r *http.Request, body []byte) *call.Request {
	target := r.RequestURI
	// nbhttp fills in the host; some callers send the absolute form.
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
	for _, name := range []string{"Host", "Content-Length", "Expect", t.Settings.Dialect.Deadline, t.Settings.Dialect.ExpectLeaf} {
		h.Del(name)
	}
	return &call.Request{
		ID: r.Header.Get(t.Settings.Dialect.RequestID), Method: r.Method, Target: target,
		Host: host, Header: h, Body: body,
	}
}

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
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

// write sends an answer.
func (t *Server) write(w http.ResponseWriter, r *http.Request, a router.Answer) {
	switch {
	case a.Reply != nil:
		t.forward(w, a.Reply)
	case a.Merged != nil:
		t.merged(w, r, a.Merged)
	default:
		t.refused(w, a)
	}
}

func (t *Server) head(w http.ResponseWriter, status, length int) {
	w.Header().Set("Content-Length", strconv.Itoa(length))
	if t.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// forward hands a leaf's reply on as it is.
func (t *Server) forward(w http.ResponseWriter, reply *call.Reply) {
	if http.StatusText(reply.Status) == "" {
		// nbhttp cannot write a status without a name and would make it 200.
		t.text(w, http.StatusBadGateway, "the leaf answered with an unknown status")
		return
	}
	h := w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	stripConnection(h)
	t.head(w, reply.Status, len(reply.Body))
	_, _ = w.Write(reply.Body) // a caller that is gone is no fault of ours
}

func (t *Server) merged(w http.ResponseWriter, r *http.Request, m *router.Merged) {
	d := &t.Settings.Dialect
	stamps := make([]string, len(m.Parts))
	lists := make([][]byte, len(m.Parts))
	for i, p := range m.Parts {
		stamps[i] = p.Stamp
		lists[i] = p.Body
	}
	body := topk.Merge(m.Top, lists)
	h := w.Header()
	h[d.RequestID] = []string{r.Header.Get(d.RequestID)}
	h[d.PartStamps] = []string{strings.Join(stamps, ", ")}
	h[d.MissingShards] = []string{strconv.Itoa(len(m.Missing))}
	h["Content-Type"] = []string{"application/octet-stream"}
	t.head(w, http.StatusOK, len(body))
	_, _ = w.Write(body) // a caller that is gone is no fault of ours
}

// refused tells the caller why there is no answer. 503 says that the request
// has not run; the others leave it open.
func (t *Server) refused(w http.ResponseWriter, a router.Answer) {
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.RetryAfter)/float64(clock.Second), 'f', 3, 64))
	}
	switch a.Refusal {
	case router.NoRoute:
		t.text(w, http.StatusNotFound, "no route")
	case router.NoConfig, router.NoLeaf, router.NoRoom, router.Harmful, router.Stale:
		t.text(w, http.StatusServiceUnavailable, "not run: "+a.Refusal.String())
	case router.Late:
		t.text(w, http.StatusGatewayTimeout, "no answer in time")
	default:
		t.text(w, http.StatusBadGateway, "no proper answer from the leafs")
	}
}

func (t *Server) text(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	t.head(w, status, len(body)+1)
	_, _ = io.WriteString(w, body+"\n") // a caller that is gone is no fault of ours
}
