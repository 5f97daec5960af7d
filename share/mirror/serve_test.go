package mirror

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
)

// request returns a read of a mirror that waits long, by a reader with the given maxAge.
func request(after int64, maxAge clock.Milli) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header[headerAfter] = []string{strconv.FormatInt(after, 10)}
	setMillis(r.Header, headerWait, maxPeerWait)
	setMillis(r.Header, headerMaxAge, maxAge)
	return r
}

// serveOnce serves one read and returns the age of the page and how long the reply took.
func serveOnce(t *testing.T, m *Mirror, r *http.Request) (age, took clock.Milli) {
	t.Helper()
	started := clock.Wall{}.Now()
	w := httptest.NewRecorder()
	m.Serve(clock.Wall{}, nil, w, r)
	assert.Equal(t, w.Code, http.StatusOK)
	age, err := parseMillis(w.Result().Header, headerAge)
	assert.NilError(t, err)
	return age, clock.Wall{}.Now() - started
}

// A host's copy becomes too old while another host waits for a change in it. The reader must
// learn that at once: each wait on the way to another source delays the removal of a leaf.
func TestReaderLearnsAtOnceThatACopyIsTooOld(t *testing.T) {
	var m Mirror
	m.Apply(clock.Wall{}.Now(), Page{Whole: true, Revision: 5, Age: 1000})
	age, took := serveOnce(t, &m, request(5, 1100))
	assert.Assert(t, age > 1100 && took < maxPeerWait/2, "age %d after %d ms", age, took)
}

// A host's copy is too old for a reader that has just begun to look for a fresh one. If the host
// itself gets fresh data a moment later, the reader must get it: otherwise all hosts of a region
// read the store whenever their reader fails.
func TestReaderWaitsForACopyToBeFreshAgain(t *testing.T) {
	var m Mirror
	m.Apply(clock.Wall{}.Now(), Page{Whole: true, Revision: 5, Age: 2000})
	time.AfterFunc(50*time.Millisecond, func() { m.Apply(clock.Wall{}.Now(), Page{Revision: 5}) })
	age, took := serveOnce(t, &m, request(5, 1100))
	assert.Assert(t, age <= 1100 && took < maxPeerWait/2, "age %d after %d ms", age, took)
}
