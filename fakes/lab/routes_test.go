package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionstile/fakes/leaf"
	"dandelionstile/share/httpc"
)

const routeRules = `routes:
  - {name: find, host: find.example, prefix: /find/, idempotent: true, target-ms: 400, shards: [subscription-billing, returns-desk], top: 6}
  - {name: book, host: find.example, prefix: /book/, service: returns-desk}
`

// routedAnswer is the reply to a routed request.
type routedAnswer struct {
	status  int
	body    []byte
	stamp   string
	parts   []string
	missing string
}

// askRoute sends a request with an ID to an entry's address for routes.
func askRoute(t *testing.T, address, path, id string) routedAnswer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	assert.NilError(t, err)
	r.Host = "find.example"
	r.Header.Set(httpc.DefaultDialect.RequestID, id)
	r.Header.Set(httpc.DefaultDialect.Deadline, "2000")
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	a := routedAnswer{status: res.StatusCode, body: body, stamp: res.Header.Get(httpc.DefaultDialect.Stamp), missing: res.Header.Get(httpc.DefaultDialect.MissingShards)}
	if parts := res.Header.Get(httpc.DefaultDialect.PartStamps); parts != "" {
		a.parts = strings.Split(parts, ", ")
	}
	return a
}

// servers returns the servers whose records a merged answer contains.
func (a routedAnswer) servers() []string {
	var list []string
	for _, p := range a.parts {
		list = append(list, p[:strings.LastIndex(p, ".")])
	}
	return list
}

// topRecords returns the greatest records, of 16 bytes each, of these servers, which a
// merged answer must consist of.
func topRecords(servers []string, path string, top int) []byte {
	var records [][]byte
	for _, s := range servers {
		for part := range slices.Chunk(leaf.Records(s, path), 16) {
			records = append(records, part)
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:top], nil)
}

// Routes in the rules of the product's own format must be served by every host.
// Once a new version is in force, without a restart, a failure domain out of
// service must get no requests, and requests for a removed route must get 404.
func TestRoutesOfTheRulesAreServed(t *testing.T) {
	l, c := startLab(t, func(l *Lab) {
		l.ServeRoutes = true
		l.Rules += routeRules
	})
	for i, h := range l.Hosts {
		id := fmt.Sprintf("find-%d", i)
		a := askRoute(t, h.RouteAddress, "/find/"+id, id)
		assert.Equal(t, a.status, http.StatusOK, "%s: %s", h.Name, a.body)
		assert.Equal(t, len(a.parts), 2)
		assert.DeepEqual(t, a.body, topRecords(a.servers(), "/find/"+id, 6))
		single := askRoute(t, h.RouteAddress, "/book/"+id, id)
		assert.Equal(t, single.status, http.StatusOK)
		server, _, _ := strings.Cut(single.stamp, ".")
		assert.DeepEqual(t, single.body, leaf.Records(server, "/book/"+id))
		assert.Equal(t, askRoute(t, h.RouteAddress, "/other/", id).status, http.StatusNotFound)
	}
	inForce := func() bool {
		for _, h := range l.Hosts {
			if c.Version(h.EntryAdminAddress, "config") != l.Version {
				return false
			}
		}
		return true
	}
	l.Publish(l.Rules + "out-of-service: [" + l.Layout.Domains[0] + "]\n")
	assert.NilError(t, Await(waitTimeout, "the domain is out of service", inForce))
	for i, h := range l.Hosts {
		for n := range 6 {
			id := fmt.Sprintf("out-%d-%d", i, n)
			a := askRoute(t, h.RouteAddress, "/find/"+id, id)
			assert.Equal(t, a.status, http.StatusOK)
			for _, s := range a.servers() {
				assert.Assert(t, l.domainOf(s) != l.Layout.Domains[0], "%s answered although its domain is out of service", s)
			}
		}
	}
	l.Publish("")
	assert.NilError(t, Await(waitTimeout, "the routes are removed", inForce))
	assert.Equal(t, askRoute(t, l.Hosts[1].RouteAddress, "/find/x", "x").status, http.StatusNotFound)
}

// domainOf returns the failure domain of a server.
func (l *Lab) domainOf(server string) string {
	for _, s := range l.Specs {
		if s.Name == server {
			return s.Domain
		}
	}
	return ""
}
