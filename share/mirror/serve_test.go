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

// request returns a read of a mirror by a reader that waits for changes, and for which a copy
// is too old after 1.1 s.
func request(after int64, wait clock.Milli) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header[headerAfter] = []string{strconv.FormatInt(after, 10)}
	setMillis(r.Header, headerWait, wait)
	setMillis(r.Header, headerMaxAge, 1100)
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

// A host's copy becomes too old while another host waits for a change in it, or is too old when
// the other one asks. The reader must learn that at once: each wait on the way to another source
// delays the removal of a leaf.
func TestReaderLearnsAtOnceThatACopyIsTooOld(t *testing.T) {
	for _, age := range []clock.Milli{1000, 1101} {
		var m Mirror
		m.Apply(clock.Wall{}.Now(), Page{Whole: true, Revision: 5, Age: age})
		served, took := serveOnce(t, &m, request(5, maxPeerWait))
		assert.Assert(t, served > 1100 && took < maxPeerWait/2, "age %d after %d ms", served, took)
	}
}

// A host's copy is too old for a reader that has just begun to look for a fresh one. If the host
// itself gets fresh data a moment later, the reader must get it: otherwise all hosts of a region
// read the store whenever their reader fails.
func TestReaderWaitsForACopyToBeFreshAgain(t *testing.T) {
	var m Mirror
	m.Apply(clock.Wall{}.Now(), Page{Whole: true, Revision: 5, Age: 2000})
	time.AfterFunc(50*time.Millisecond, func() { m.Apply(clock.Wall{}.Now(), Page{Revision: 5}) })
	age, took := serveOnce(t, &m, request(5, refreshWait))
	assert.Assert(t, age <= 1100 && took < refreshWait, "age %d after %d ms", age, took)
}
