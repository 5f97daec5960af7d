package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dandelionstile/entry/core"
	"dandelionstile/share/httpd"
	"dandelionstile/share/node"
)

// newIsolatedFront returns a front whose entry reaches neither the platform nor peers.
func newIsolatedFront(t testing.TB) *Front {
	t.Helper()
	c := &core.Core{Log: zerolog.Nop(), Settings: node.Settings{
		Host:     node.HostSettings{Name: "host-0", Domain: "a"},
		Listen:   node.ListenSettings{Links: "127.0.0.1:0"},
		Platform: node.PlatformSettings{Address: "127.0.0.1:1"}, // nothing listens there
	}}
	assert.NilError(t, c.Start())
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	return &Front{Core: c}
}

func post(f *Front, path, body string) (int, wireError, http.Header) {
	w := httptest.NewRecorder()
	f.handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	var e wireError
	_ = json.Unmarshal(w.Body.Bytes(), &e) // a successful reply leaves e empty
	return w.Code, e, w.Header()
}

func TestBadRequestsNameTheField(t *testing.T) {
	f := newIsolatedFront(t)
	for _, c := range []struct{ path, body, field string }{
		{"/v1/query", `{`, "body"},
		{"/v1/query", `[]`, "body"},
		{"/v1/query", `{} {}`, "body"},
		{"/v1/query", `{"text":"x"}`, "service"},
		{"/v1/query", `{"service":"s","limit":-1}`, "limit"},
		{"/v1/query", `{"service":"s","budget-ms":-1}`, "budget-ms"},
		{"/v1/query", `{"service":"s","colour":1}`, "body"},
		{"/v1/ids", `{"count":0}`, "count"},
		{"/v1/ids", `{"count":100000}`, "count"},
		{"/v1/updates", `{"service":"s","operation":"o","key":"k"}`, "id"},
		{"/v1/updates", `{"service":"s","operation":"o","key":"k","id":"x"}`, "id"},
		{"/v1/updates", `{"service":"s","operation":"o","id":"h.1.1"}`, "key"},
	} {
		status, e, _ := post(f, c.path, c.body)
		assert.Equal(t, status, http.StatusBadRequest, c.body)
		assert.Equal(t, e.Error, errBadRequest, c.body)
		assert.Equal(t, e.Field, c.field, c.body)
	}
	status, e, _ := post(f, "/v1/query", `{"service":"`+strings.Repeat("x", maxBodyBytes)+`"}`)
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, e.Error, errBadRequest)
}

// A host that has just started, without a platform or peers, must reject at once with
// a retry time instead of making the caller wait.
func TestIsolatedHostRefusesAtOnce(t *testing.T) {
	f := newIsolatedFront(t)
	status, e, h := post(f, "/v1/query", `{"service":"s","text":"x","budget-ms":60000}`)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, e.Error, errRefused)
	assert.Equal(t, e.Reason, "not-ready")
	assert.Assert(t, e.RetryAfter > 0)
	assert.Equal(t, h.Get("Retry-After"), "1") // RetryAfter in seconds, rounded up
	assert.Assert(t, !f.Core.Ready())
}

// Close must leave no goroutine of the server running.
func TestCloseWaits(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	f := newIsolatedFront(t)
	f.Address = "127.0.0.1:0"
	assert.NilError(t, f.Start())
	res, err := http.Post("http://"+f.Addr()+"/v1/ids", "application/json", strings.NewReader(`{"count":1}`))
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusOK)
	http.DefaultClient.CloseIdleConnections()
	assert.NilError(t, f.Close())
}

// A body of any content must not crash the decoder.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"service":"s","text":"x","limit":3,"budget-ms":5}`))
	f.Add([]byte(`{"count":1}`))
	f.Add([]byte(`{"id":"h.1.1","service":"s"}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		for _, v := range []any{&wireQuery{}, &wireMint{}, &wireUpdate{}} {
			r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
			_ = httpd.ReadJSON(r, maxBodyBytes, v)
		}
	})
}

// A body of 3 MB, far above the limit, gets a reply. The server used to close the
// connection without one.
func TestThreeMegabytesAreRefusedWithAnAnswer(t *testing.T) {
	f := newIsolatedFront(t)
	f.Address = "127.0.0.1:0"
	assert.NilError(t, f.Start())
	defer func() { assert.NilError(t, f.server.Close()) }()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Post("http://"+f.Addr()+"/v1/query", "application/json", strings.NewReader(`{"text":"`+strings.Repeat("x", 3<<20)+`"}`))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, res.Body.Close()) }()
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
}
