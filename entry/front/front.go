// Package front is what callers meet: HTTP in, typed JSON out. It checks
// requests, hands them to the core and puts the answers into words.
package front

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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
	maxBody    = 64 << 10
	maxText    = 8 << 10
	maxLimit   = 1000
	maxBudget  = 10 * clock.Minute
	maxCaller  = 128
	rowsUnsaid = 10
)

// Timing of leaving.
const (
	// balancerLag is how long the balancer may take to see that readiness
	// fails; requests are served until then.
	balancerLag = 2 * time.Second
	// leaveMost bounds the wait for requests under way.
	leaveMost = 15 * time.Second
)

// Front serves callers. Fields are set before Start.
type Front struct {
	Core    *core.Core
	Address string
	// AlsoReady tells whether what is served beside the queries is ready too;
	// nil for nothing.
	AlsoReady func() bool

	server  httpd.Server
	leaving atomic.Bool
	inside  atomic.Int64
}

// Start listens for callers.
func (f *Front) Start() error {
	f.server = httpd.Server{Address: f.Address, Handler: f.handler()}
	return f.server.Start()
}

// Addr is the address in use.
func (f *Front) Addr() string { return f.server.Addr() }

func (f *Front) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", f.query)
	mux.HandleFunc("POST /v1/ids", f.ids)
	mux.HandleFunc("POST /v1/updates", f.update)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteReady(w, !f.leaving.Load() && f.Core.Ready() && (f.AlsoReady == nil || f.AlsoReady()))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inside.Add(1)
		defer f.inside.Add(-1)
		if f.leaving.Load() {
			// The caller opens its next connection to a host that stays.
			w.Header().Set("Connection", "close")
		}
		counted := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		mux.ServeHTTP(counted, r)
		f.Core.Meter.Count("http_answers", 1, meter.Label{Name: "status", Value: strconv.Itoa(counted.status)})
	})
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader is as http.ResponseWriter has it.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// wireError is the body of every refusal.
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

func badRequest(w http.ResponseWriter, field, reason string) {
	httpd.WriteJSON(w, http.StatusBadRequest, wireError{Error: errBadRequest, Reason: reason, Field: field})
}

func badBody(w http.ResponseWriter, err error) {
	if errors.Is(err, httpd.ErrTooLarge) {
		httpd.WriteJSON(w, http.StatusRequestEntityTooLarge, wireError{Error: errBadRequest, Reason: err.Error(), Field: "body"})
		return
	}
	badRequest(w, "body", err.Error())
}

// unavailable answers a request that was not run, and says when to come back.
func unavailable(w http.ResponseWriter, status int, e wireError, wait clock.Milli) {
	e.RetryAfter = int64(wait)
	if wait > 0 {
		httpd.SetRetryAfter(w, wait)
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

func (f *Front) query(w http.ResponseWriter, r *http.Request) {
	var q wireQuery
	if err := httpd.ReadJSON(r, maxBody, &q); err != nil {
		badBody(w, err)
		return
	}
	if field, why := f.checkQuery(q); field != "" {
		badRequest(w, field, why)
		return
	}
	if q.Limit == 0 {
		q.Limit = rowsUnsaid
	}
	got, ok := f.Core.Query(r.Context(), fanout.Request{
		Service: q.Service, Text: q.Text, Limit: q.Limit, Caller: callerOf(r),
	}, clock.Milli(q.Budget), r.Header.Get("traceparent"))
	switch {
	case r.Context().Err() != nil:
		return // nobody reads an answer
	case !ok:
		unavailable(w, http.StatusServiceUnavailable, wireError{Error: errRefused, Reason: string(query.ReasonNotReady)}, clock.Second)
	case got.Answer.Refused != query.ReasonNone:
		unavailable(w, refusalStatus(got.Answer.Refused),
			wireError{Error: errRefused, Reason: string(got.Answer.Refused), ID: got.ID}, got.Answer.RetryAfter)
	default:
		httpd.WriteJSON(w, http.StatusOK, answerTo(got))
	}
}

func refusalStatus(why query.Reason) int {
	switch why {
	case query.ReasonOverload:
		return http.StatusTooManyRequests
	case query.ReasonQuarantined, query.ReasonCrashed:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// callerOf names who asks, for fairness between callers: the Caller header, or
// else the address that the request came from.
func callerOf(r *http.Request) string {
	if c := r.Header.Get("Caller"); c != "" {
		return c[:min(len(c), maxCaller)]
	}
	return hostOf(r.RemoteAddr)
}

func (f *Front) checkQuery(q wireQuery) (field, why string) {
	switch {
	case q.Service == "":
		return "service", "missing"
	case len(q.Text) > maxText:
		return "text", "too long"
	case q.Limit < 0 || q.Limit > maxLimit:
		return "limit", "out of range"
	case q.Budget < 0 || clock.Milli(q.Budget) > maxBudget:
		return "budget-ms", "out of range"
	}
	return f.checkService(q.Service)
}

func (f *Front) checkService(name string) (field, why string) {
	cfg := f.Core.Config()
	if cfg == nil {
		return "", "" // not ready: the core says so
	}
	if _, ok := cfg.Service(name); !ok {
		return "service", "not in the inventory"
	}
	return "", ""
}

func answerTo(a core.Answered) wireAnswer {
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

func (f *Front) ids(w http.ResponseWriter, r *http.Request) {
	var m wireMint
	if err := httpd.ReadJSON(r, maxBody, &m); err != nil {
		badBody(w, err)
		return
	}
	if f.leaving.Load() {
		unavailable(w, http.StatusServiceUnavailable, wireError{Error: errNotRun, Reason: string(query.ReasonLeaving)}, clock.Second)
		return
	}
	got, ok := f.Core.Mint(m.Count)
	switch {
	case !ok:
		unavailable(w, http.StatusServiceUnavailable, wireError{Error: errNotRun, Reason: string(query.ReasonNotReady)}, clock.Second)
	case got.Err != nil:
		badRequest(w, "count", "out of range")
	default:
		out := wireIDs{IDs: make([]string, len(got.IDs))}
		for i, id := range got.IDs {
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

type wireUpdated struct {
	ID     string `json:"id"`
	Result string `json:"result"`
}

func (f *Front) update(w http.ResponseWriter, r *http.Request) {
	var u wireUpdate
	if err := httpd.ReadJSON(r, maxBody, &u); err != nil {
		badBody(w, err)
		return
	}
	id, field, why := f.checkUpdate(u)
	if field != "" {
		badRequest(w, field, why)
		return
	}
	got, ok := f.Core.Update(fanout.Update{
		ID: id, Service: u.Service, Operation: u.Operation, Key: u.Key, Body: u.Body,
	}, clock.Milli(u.Budget), r.Header.Get("traceparent"))
	if !ok {
		got = fanout.UpdateResult{Kind: query.Unknown, Reason: query.ReasonDeadline, RetryAfter: clock.Second}
	}
	writeUpdated(w, u.ID, got)
}

func (f *Front) checkUpdate(u wireUpdate) (id dedup.ID, field, why string) {
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
	field, why = f.checkService(u.Service)
	return id, field, why
}

// writeUpdated says what became of an update: it ran, it did not run, or that
// is not known. Only "not-run" and "unknown" with a time to come back may be
// sent again, with the same id.
func writeUpdated(w http.ResponseWriter, id string, r fanout.UpdateResult) {
	e := wireError{Reason: string(r.Reason), ID: id}
	switch {
	case r.Kind == query.OK:
		httpd.WriteJSON(w, http.StatusOK, wireUpdated{ID: id, Result: r.Body})
	case r.Reason == query.ReasonReused:
		e.Error, e.Field = errBadRequest, "id"
		httpd.WriteJSON(w, http.StatusConflict, e)
	case !r.Kind.MayHaveRun():
		e.Error = errNotRun
		unavailable(w, http.StatusServiceUnavailable, e, max(r.RetryAfter, 100))
	default:
		e.Error = errUnknown
		unavailable(w, http.StatusBadGateway, e, r.RetryAfter)
	}
}

// Leave ends service in order: readiness fails first, requests are served until
// the balancer has seen it, and those under way are finished.
func (f *Front) Leave() {
	f.leaving.Store(true)
	f.Core.Leave()
	time.Sleep(balancerLag)
	end := time.Now().Add(leaveMost)
	for time.Now().Before(end) && (f.inside.Load() > 0 || !f.Core.Idle()) {
		time.Sleep(10 * time.Millisecond)
	}
}

// Close stops listening and waits for the requests under way.
func (f *Front) Close() error { return f.server.Close() }
