// Package front serves the JSON API for callers over HTTP. It validates requests,
// runs them in the core and encodes the answers.
package front

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"dandelionstile/entry/core"
	"dandelionstile/share/clock"
	"dandelionstile/share/dedup"
	"dandelionstile/share/fanout"
	"dandelionstile/share/httpd"
	"dandelionstile/share/meter"
	"dandelionstile/share/query"
)

// Limits of a request.
const (
	maxBodyBytes   = 64 << 10
	maxTextBytes   = 8 << 10
	maxRows        = 1000
	maxBudget      = 10 * clock.Minute
	maxCallerBytes = 128
	defaultRows    = 10
)

// Timing of a shutdown.
const (
	// balancerDelay is the time that the load balancer may take to notice that
	// readiness fails; requests are served until then.
	balancerDelay = 2 * time.Second
	// drainTimeout bounds the wait for requests in flight.
	drainTimeout = 15 * time.Second
)

// Front serves callers. Fields are set before Start.
type Front struct {
	Core    *core.Core
	Address string
	Log     zerolog.Logger
	// ExtraReady reports whether the other services of the process are ready too; it
	// may be nil.
	ExtraReady func() bool

	server   httpd.Server
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// Start listens for callers.
func (f *Front) Start() error {
	f.server = httpd.Server{Address: f.Address, Handler: f.handler(), Log: f.Log}
	return f.server.Start()
}

// Addr returns the address that the server listens on.
func (f *Front) Addr() string { return f.server.Addr() }

// handler returns the handler of the API. It counts requests in flight and answers by
// status.
func (f *Front) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", f.handleQuery)
	mux.HandleFunc("POST /v1/ids", f.handleIDs)
	mux.HandleFunc("POST /v1/updates", f.handleUpdate)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteReady(w, !f.leaving.Load() && f.Core.Ready() && (f.ExtraReady == nil || f.ExtraReady()))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inFlight.Add(1)
		defer f.inFlight.Add(-1)
		if f.leaving.Load() {
			// The caller then opens its next connection to another host.
			w.Header().Set("Connection", "close")
		}
		recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		mux.ServeHTTP(recorder, r)
		f.Core.Meter.Count("http_answers", 1, meter.Label{Name: "status", Value: strconv.Itoa(recorder.status)})
	})
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// wireError is the body of all error replies.
type wireError struct {
	Error      string `json:"error"`
	Reason     string `json:"reason"`
	Field      string `json:"field,omitempty"`
	ID         string `json:"id,omitempty"`
	RetryAfter int64  `json:"retry-after-ms,omitempty"`
}

// Values of wireError.Error.
const (
	errBadRequest = "bad-request"
	errRefused    = "refused"
	errNotRun     = "not-run"
	errUnknown    = "unknown"
)

// writeBadRequest replies that a field of the request is invalid, and why.
func writeBadRequest(w http.ResponseWriter, field, reason string) {
	httpd.WriteJSON(w, http.StatusBadRequest, wireError{Error: errBadRequest, Reason: reason, Field: field})
}

// writeBodyError replies that the body is too large or cannot be decoded.
func writeBodyError(w http.ResponseWriter, err error) {
	if errors.Is(err, httpd.ErrTooLarge) {
		httpd.WriteJSON(w, http.StatusRequestEntityTooLarge, wireError{Error: errBadRequest, Reason: err.Error(), Field: "body"})
		return
	}
	writeBadRequest(w, "body", err.Error())
}

// writeError replies with an error and, unless retryAfter is 0, with the time after
// which the request may be sent again.
func writeError(w http.ResponseWriter, status int, e wireError, retryAfter clock.Milli) {
	e.RetryAfter = int64(retryAfter)
	if retryAfter > 0 {
		httpd.SetRetryAfter(w, retryAfter)
	}
	httpd.WriteJSON(w, status, e)
}

type wireQuery struct {
	Service string `json:"service"`
	Text    string `json:"text"`
	Limit   int    `json:"limit"`
	Budget  int64  `json:"budget-ms"`
}

type wireRow struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type wireMissing struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

type wireCoverage struct {
	Shards   int           `json:"shards"`
	Answered int           `json:"answered"`
	Missing  []wireMissing `json:"missing"`
}

type wireAnswer struct {
	ID       string       `json:"id"`
	Snapshot string       `json:"snapshot"`
	Complete bool         `json:"complete"`
	Coverage wireCoverage `json:"coverage"`
	Extra    int          `json:"extra-attempts"`
	Rows     []wireRow    `json:"rows"`
}

// handleQuery runs a query and replies with the answer, or with a refusal. It doesn't
// reply to a caller that has disconnected.
func (f *Front) handleQuery(w http.ResponseWriter, r *http.Request) {
	var q wireQuery
	if err := httpd.ReadJSON(r, maxBodyBytes, &q); err != nil {
		writeBodyError(w, err)
		return
	}
	if field, reason := f.checkQuery(q); field != "" {
		writeBadRequest(w, field, reason)
		return
	}
	if q.Limit == 0 {
		q.Limit = defaultRows
	}
	result, ok := f.Core.Query(r.Context(), fanout.Request{
		Service: q.Service, Text: q.Text, Limit: q.Limit, Caller: callerOf(r),
	}, clock.Milli(q.Budget), r.Header.Get("traceparent"))
	switch {
	case r.Context().Err() != nil:
		return // the caller has disconnected
	case !ok:
		writeError(w, http.StatusServiceUnavailable, wireError{Error: errRefused, Reason: string(query.ReasonNotReady)}, clock.Second)
	case result.Answer.Refused != query.ReasonNone:
		writeError(w, refusalStatus(result.Answer.Refused),
			wireError{Error: errRefused, Reason: string(result.Answer.Refused), ID: result.ID}, result.Answer.RetryAfter)
	default:
		httpd.WriteJSON(w, http.StatusOK, encodeAnswer(result))
	}
}

// refusalStatus returns the HTTP status for the reason of a refused query.
func refusalStatus(reason query.Reason) int {
	switch reason {
	case query.ReasonOverload:
		return http.StatusTooManyRequests
	case query.ReasonQuarantined, query.ReasonCrashed:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// callerOf returns the identity of the client for fairness between callers: the
// Caller header, or else the client's host.
func callerOf(r *http.Request) string {
	if c := r.Header.Get("Caller"); c != "" {
		return c[:min(len(c), maxCallerBytes)]
	}
	return hostOf(r.RemoteAddr)
}

// checkQuery returns the first invalid field and the reason; both are empty if there is
// none.
func (f *Front) checkQuery(q wireQuery) (field, reason string) {
	switch {
	case q.Service == "":
		return "service", "missing"
	case len(q.Text) > maxTextBytes:
		return "text", "too long"
	case q.Limit < 0 || q.Limit > maxRows:
		return "limit", "out of range"
	case q.Budget < 0 || clock.Milli(q.Budget) > maxBudget:
		return "budget-ms", "out of range"
	}
	return f.checkService(q.Service)
}

// checkService returns a field and a reason if a service is not in the inventory.
func (f *Front) checkService(name string) (field, reason string) {
	cfg := f.Core.Config()
	if cfg == nil {
		return "", "" // the core rejects the request as not ready
	}
	if _, ok := cfg.Service(name); !ok {
		return "service", "not in the inventory"
	}
	return "", ""
}

// encodeAnswer converts an answer to the format of the API.
func encodeAnswer(a core.QueryResult) wireAnswer {
	out := wireAnswer{
		ID: a.ID, Snapshot: a.Answer.Pin.String(), Complete: a.Answer.Coverage.Complete(), Extra: a.Answer.Extra,
		Coverage: wireCoverage{
			Shards: a.Answer.Coverage.Shards, Answered: a.Answer.Coverage.Answered, Missing: []wireMissing{},
		},
		Rows: make([]wireRow, len(a.Answer.Rows)),
	}
	for i, row := range a.Answer.Rows {
		out.Rows[i] = wireRow(row)
	}
	for _, m := range a.Answer.Coverage.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, wireMissing{Shard: m.Shard, Reason: string(m.Reason)})
	}
	return out
}

type wireMint struct {
	Count int `json:"count"`
}

type wireIDs struct {
	IDs []string `json:"ids"`
}

// handleIDs mints IDs for updates. It mints none while the entry shuts down.
func (f *Front) handleIDs(w http.ResponseWriter, r *http.Request) {
	var m wireMint
	if err := httpd.ReadJSON(r, maxBodyBytes, &m); err != nil {
		writeBodyError(w, err)
		return
	}
	if f.leaving.Load() {
		writeError(w, http.StatusServiceUnavailable, wireError{Error: errNotRun, Reason: string(query.ReasonLeaving)}, clock.Second)
		return
	}
	result, ok := f.Core.Mint(m.Count)
	switch {
	case !ok:
		writeError(w, http.StatusServiceUnavailable, wireError{Error: errNotRun, Reason: string(query.ReasonNotReady)}, clock.Second)
	case result.Err != nil:
		writeBadRequest(w, "count", "out of range")
	default:
		out := wireIDs{IDs: make([]string, len(result.IDs))}
		for i, id := range result.IDs {
			out.IDs[i] = id.String()
		}
		httpd.WriteJSON(w, http.StatusOK, out)
	}
}

type wireUpdate struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Body      string `json:"body"`
	Budget    int64  `json:"budget-ms"`
}

type wireUpdateResult struct {
	ID     string `json:"id"`
	Result string `json:"result"`
}

// handleUpdate runs an update. If the core does not reply, the outcome is unknown.
func (f *Front) handleUpdate(w http.ResponseWriter, r *http.Request) {
	var u wireUpdate
	if err := httpd.ReadJSON(r, maxBodyBytes, &u); err != nil {
		writeBodyError(w, err)
		return
	}
	id, field, reason := f.checkUpdate(u)
	if field != "" {
		writeBadRequest(w, field, reason)
		return
	}
	result, ok := f.Core.Update(fanout.Update{
		ID: id, Service: u.Service, Operation: u.Operation, Key: u.Key, Body: u.Body,
	}, clock.Milli(u.Budget), r.Header.Get("traceparent"))
	if !ok {
		result = fanout.UpdateResult{Kind: query.Unknown, Reason: query.ReasonDeadline, RetryAfter: clock.Second}
	}
	writeUpdateResult(w, u.ID, result)
}

// checkUpdate returns the update's ID, or the first invalid field and the reason.
func (f *Front) checkUpdate(u wireUpdate) (id dedup.ID, field, reason string) {
	switch {
	case u.Service == "":
		return id, "service", "missing"
	case u.Operation == "":
		return id, "operation", "missing"
	case u.Key == "":
		return id, "key", "missing"
	case u.Budget < 0 || clock.Milli(u.Budget) > maxBudget:
		return id, "budget-ms", "out of range"
	case u.ID == "":
		return id, "id", "missing: get one from /v1/ids"
	}
	id, err := dedup.Parse(u.ID)
	if err != nil {
		return id, "id", "not an id from /v1/ids"
	}
	field, reason = f.checkService(u.Service)
	return id, field, reason
}

// minNotRunRetry is the shortest retry time after "not-run".
const minNotRunRetry clock.Milli = 100

// writeUpdateResult replies with the outcome of an update: it ran, it did not run, or
// its outcome is unknown. Callers may resend only after "not-run", or "unknown" with a
// retry time, and with the same ID. After "not-run" there is always a retry time.
func writeUpdateResult(w http.ResponseWriter, id string, r fanout.UpdateResult) {
	e := wireError{Reason: string(r.Reason), ID: id}
	switch {
	case r.Kind == query.OK:
		httpd.WriteJSON(w, http.StatusOK, wireUpdateResult{ID: id, Result: r.Body})
	case r.Reason == query.ReasonReused:
		e.Error, e.Field = errBadRequest, "id"
		httpd.WriteJSON(w, http.StatusConflict, e)
	case !r.Kind.MayHaveRun():
		e.Error = errNotRun
		writeError(w, http.StatusServiceUnavailable, e, max(r.RetryAfter, minNotRunRetry))
	default:
		e.Error = errUnknown
		writeError(w, http.StatusBadGateway, e, r.RetryAfter)
	}
}

// Leave shuts down in order: it fails readiness and serves requests until the load balancer has
// noticed. Then it closes connections, and waits for the requests in flight, at most
// drainTimeout.
func (f *Front) Leave() {
	f.leaving.Store(true)
	f.Core.Leave()
	time.Sleep(balancerDelay)
	f.server.Drain(time.Now().Add(drainTimeout), func() bool { return f.inFlight.Load() > 0 || !f.Core.Idle() })
}

// Close stops listening and waits for the requests in flight.
func (f *Front) Close() error { return f.server.Close() }
