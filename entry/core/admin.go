package core

import (
	"net/http"

	"dandelionstile/share/admin"
	"dandelionstile/share/clock"
	"dandelionstile/share/httpd"
)

// status returns the state of the node and of each service. It runs in the control loop.
func (c *Core) status(now clock.Milli) admin.Status {
	s := admin.Status{Node: c.node.Status(now), Strikes: admin.StrikesFrom(c.fanout.Strikes(now))}
	if cfg := c.fanout.Config(); cfg != nil {
		for _, v := range cfg.Inventory.Services {
			s.Services = append(s.Services, c.serviceStatus(v.Name))
		}
	}
	return s
}

// serviceStatus returns how many shards of a service have a reachable leaf, which do not
// and why, and the snapshot that queries run on.
func (c *Core) serviceStatus(name string) admin.Service {
	coverage := c.fanout.Coverage(name)
	service := admin.Service{
		Service: name, Shards: coverage.Shards, Reachable: coverage.Answered, Missing: admin.MissingFrom(coverage.Missing),
	}
	if id, ok := c.fanout.Pin(name); ok {
		service.Snapshot = id.String()
	}
	return service
}

// Status returns the state. It reports false if the loop has ended or doesn't reply
// in time.
func (c *Core) Status() (admin.Status, bool) { return inLoop(c, c.status) }

// Explain returns the recorded decisions about an answered query. It reports false if
// the query is unknown, or too old to be still in the history.
func (c *Core) Explain(id string) (admin.Query, bool) {
	type found struct {
		query HistoryEntry
		ok    bool
	}
	got, ok := inLoop(c, func(clock.Milli) found {
		e, ok := c.history.find(id)
		return found{e, ok}
	})
	if !ok || !got.ok {
		return admin.Query{}, false
	}
	e := got.query
	q := admin.Query{
		ID: e.ID, Service: e.Service, Snapshot: e.Answer.Pin.String(), Took: int64(e.Answered - e.Arrived),
		Shards: e.Answer.Coverage.Shards, Answered: e.Answer.Coverage.Answered, Calls: e.Answer.Calls,
		Extra: e.Answer.Extra, Refused: string(e.Answer.Refused), Steps: []admin.Step{},
		Missing: admin.MissingFrom(e.Answer.Coverage.Missing),
	}
	for _, step := range e.Steps {
		q.Steps = append(q.Steps, admin.Step{
			At: int64(step.At - e.Arrived), Event: string(step.Event), Shard: step.Shard,
			Leaf: step.Leaf, Host: step.Host, Cause: string(step.Cause),
		})
	}
	return q, true
}

// Admin returns the handler for health checks, metrics and the endpoints that `stile`
// reads.
func (c *Core) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, httpd.Status{Status: "ok"})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteReady(w, c.Ready())
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		s, ok := c.Status()
		if !ok {
			httpd.WriteReady(w, false)
			return
		}
		httpd.WriteJSON(w, http.StatusOK, s)
	})
	mux.HandleFunc("GET /v1/explain/{id}", func(w http.ResponseWriter, r *http.Request) {
		s, ok := c.Explain(r.PathValue("id"))
		if !ok {
			httpd.WriteJSON(w, http.StatusNotFound, httpd.Status{Status: "not-found"})
			return
		}
		httpd.WriteJSON(w, http.StatusOK, s)
	})
	mux.Handle("GET /metrics", c.Meter.Handler())
	return mux
}

// Ready reports whether the node is ready, at least one shard of a service can be
// answered and the process is not shutting down.
func (c *Core) Ready() bool {
	s, ok := c.Status()
	if !ok || !s.Node.Ready || s.Node.Leaving {
		return false
	}
	for _, v := range s.Services {
		if v.Reachable > 0 {
			return true
		}
	}
	return false
}
