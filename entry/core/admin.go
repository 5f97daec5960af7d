package core

import (
	"fmt"
	"net/http"

	"dandelionstile/share/clock"
	"dandelionstile/share/httpd"
	"dandelionstile/share/node"
)

// Shown is an entry's state as operators see it.
type Shown struct {
	Node     node.Shown     `json:"node"`
	Services []ShownService `json:"services"`
	Strikes  []ShownStrike  `json:"quarantine"`
}

// ShownService is what the entry could answer for a service now.
type ShownService struct {
	Service  string         `json:"service"`
	Snapshot string         `json:"snapshot"`
	Shards   int            `json:"shards"`
	Answered int            `json:"reachable"`
	Missing  []ShownMissing `json:"missing"`
}

// ShownMissing is a shard that could not be answered.
type ShownMissing struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

// ShownStrike is a request that is refused.
type ShownStrike struct {
	Fingerprint string `json:"fingerprint"`
	Count       int    `json:"count"`
	Left        int64  `json:"left-ms"`
}

// ShownQuery explains an answered query.
type ShownQuery struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Snapshot string         `json:"snapshot"`
	Took     int64          `json:"took-ms"`
	Shards   int            `json:"shards"`
	Answered int            `json:"answered"`
	Missing  []ShownMissing `json:"missing"`
	Calls    int            `json:"calls"`
	Extra    int            `json:"extra-attempts"`
	Refused  string         `json:"refused"`
	Steps    []ShownStep    `json:"steps"`
}

// ShownStep is one decision.
type ShownStep struct {
	At    int64  `json:"at-ms"`
	Event string `json:"event"`
	Shard int    `json:"shard"`
	Leaf  string `json:"leaf"`
	Host  string `json:"host"`
	Cause string `json:"cause"`
}

func (c *Core) shown(now clock.Milli) Shown {
	s := Shown{Node: c.node.Show(now), Services: []ShownService{}, Strikes: []ShownStrike{}}
	if cfg := c.fan.Config(); cfg != nil {
		for _, v := range cfg.Inventory.Services {
			s.Services = append(s.Services, c.shownService(v.Name))
		}
	}
	for _, k := range c.fan.Strikes(now) {
		s.Strikes = append(s.Strikes, ShownStrike{
			Fingerprint: fmt.Sprintf("%016x", k.Fingerprint), Count: k.Count, Left: int64(k.Left),
		})
	}
	return s
}

func (c *Core) shownService(name string) ShownService {
	reach := c.fan.Reach(name)
	v := ShownService{Service: name, Shards: reach.Shards, Answered: reach.Answered, Missing: []ShownMissing{}}
	if pin, ok := c.fan.Pin(name); ok {
		v.Snapshot = pin.String()
	}
	for _, m := range reach.Missing {
		v.Missing = append(v.Missing, ShownMissing{Shard: m.Shard, Reason: string(m.Reason)})
	}
	return v
}

// Show returns the state, or false when the loop has ended.
func (c *Core) Show() (Shown, bool) { return inLoop(c, c.shown) }

// Explain returns what is kept of an answered query.
func (c *Core) Explain(id string) (ShownQuery, bool) {
	type found struct {
		query Explained
		ok    bool
	}
	got, ok := inLoop(c, func(clock.Milli) found {
		e, ok := c.recent.find(id)
		return found{e, ok}
	})
	if !ok || !got.ok {
		return ShownQuery{}, false
	}
	e := got.query
	s := ShownQuery{
		ID: e.ID, Service: e.Service, Snapshot: e.Answer.Pin.String(), Took: int64(e.Answered - e.Arrived),
		Shards: e.Answer.Coverage.Shards, Answered: e.Answer.Coverage.Answered, Calls: e.Answer.Calls,
		Extra: e.Answer.Extra, Refused: string(e.Answer.Refused), Missing: []ShownMissing{}, Steps: []ShownStep{},
	}
	for _, m := range e.Answer.Coverage.Missing {
		s.Missing = append(s.Missing, ShownMissing{Shard: m.Shard, Reason: string(m.Reason)})
	}
	for _, t := range e.Trail {
		s.Steps = append(s.Steps, ShownStep{
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
