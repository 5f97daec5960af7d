package httpd

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A daemon is started although its address is in use, and hangs: it neither
// serves nor says why. An operator waits for it to become ready.
func TestAddressInUseIsAnError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	s := Server{Address: ln.Addr().String(), Handler: http.NotFoundHandler()}
	assert.ErrorContains(t, s.Start(), "address already in use")
	assert.NilError(t, s.Close())
}

func TestServeAndClose(t *testing.T) {
	s := Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, Status{Status: "ok"})
	})}
	assert.NilError(t, s.Start())
	res, err := http.Get("http://" + s.Addr())
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusOK)
	http.DefaultClient.CloseIdleConnections()
	assert.NilError(t, s.Close())
}
