package core

import (
	"net/http"

	"dandelionstile/share/httpd"
)

// Admin returns the handler for health checks, metrics and the endpoints that `stile`
// reads.
func (c *Core) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, httpd.Status{Status: "ok"})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		s, ok := c.Status()
		httpd.WriteReady(w, ok && s.Node.Ready && !s.Node.Leaving)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		s, ok := c.Status()
		if !ok {
			httpd.WriteReady(w, false)
			return
		}
		httpd.WriteJSON(w, http.StatusOK, s)
	})
	mux.Handle("GET /metrics", c.Meter.Handler())
	return mux
}
