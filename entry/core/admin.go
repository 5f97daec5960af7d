package core

import (
	"net/http"

	"dandelionstile/share/admin"
	"dandelionstile/share/clock"
	"dandelionstile/share/httpd"
)

func (c *Core) shown(now clock.Milli) admin.Status {
	s := admin.Status{Node: c.node.Status(now), Strikes: admin.StrikesFrom(c.fan.Strikes(now))}
	if cfg := c.fan.Config(); cfg != nil {
		for _, v := range cfg.Inventory.Services {
			s.Services = append(s.Services, c.shownService(v.Name))
		}
	}
	return s
}

func (c *Core) shownService(name string) admin.Service {
	reach := c.fan.Coverage(name)
	v := admin.Service{
		Service: name, Shards: reach.Shards, Answered: reach.Answered, Missing: admin.MissingFrom(reach.Missing),
	}
	if pin, ok := c.fan.Pin(name); ok {
		v.Snapshot = pin.String()
	}
	return v
}

// Show returns the state, or false when the loop has ended.
func (c *Core) Show() (admin.Status, bool) { return inLoop(c, c.shown) }

// Explain returns what is kept of an answered query.
func (c *Core) Explain(id string) (admin.Query, bool) {
	type found struct {
		query Explained
		ok    bool
	}
	got, ok := inLoop(c, func(clock.Milli) found {
		e, ok := c.recent.find(id)
		return found{e, ok}
	})
	if !ok || !got.ok {
		return admin.Query{}, false
	}
	e := got.query
	s := admin.Query{
		ID: e.ID, Service: e.Service, Snapshot: e.Answer.Pin.String(), Took: int64(e.Answered - e.Arrived),
		Shards: e.Answer.Coverage.Shards, Answered: e.Answer.Coverage.Answered, Calls: e.Answer.Calls,
		Extra: e.Answer.Extra, Refused: string(e.Answer.Refused), Steps: []admin.Step{},
		Missing: admin.MissingFrom(e.Answer.Coverage.Missing),
	}
	for _, t := range e.Trail {
		s.Steps = append(s.Steps, admin.Step{
			At: int64(t.At - e.Arrived), Event: string(t.Event), Shard: t.Shard,
			Leaf: t.Leaf, Host: t.Host, Cause: string(t.Cause),
		})
	}
	return s, true
}

// Admin serves health, metrics and what `stile` reads.
func (c *Core) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, httpd.Status{Status: "ok"})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteReady(w, c.Ready())
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		s, ok := c.Show()
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

// Ready tells whether queries can be answered and the process stays.
func (c *Core) Ready() bool {
	s, ok := c.Show()
	if !ok || !s.Node.Ready || s.Node.Leaving {
		return false
	}
	for _, v := range s.Services {
		if v.Answered > 0 {
			return true
		}
	}
	return false
}
