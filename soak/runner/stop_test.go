package runner

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionstile/platform/fake"
)

// A host passes a request on to a leaf and closes its connection without an answer, whether
// it shuts down or not. Only a fault that came before the close excuses it.
func TestLostRequestIsReported(t *testing.T) {
	sent := time.Now()
	ended := sent.Add(200 * time.Millisecond)
	around := []interval{{sent.Add(-time.Millisecond), ended}}
	stopping := []interval{{sent.Add(-2500 * time.Millisecond), ended.Add(time.Second)}}
	passedOn := requestTrace{arrivals: []fake.RequestRecord{{}}}
	cases := []struct {
		name     string
		host     *host
		request  request
		trace    requestTrace
		reported bool
	}{
		{"host shuts down", &host{terminations: stopping}, request{}, passedOn, true},
		{"host stays", &host{}, request{}, passedOn, true},
		{"fault after the close", &host{faults: []interval{{from: ended.Add(time.Millisecond)}}}, request{}, passedOn, true},
		{"crosses the close", &host{terminations: stopping}, request{}, requestTrace{}, false},
		{"answered", &host{terminations: stopping}, request{status: http.StatusBadGateway}, passedOn, false},
		{"caller has left", &host{terminations: stopping}, request{cancelled: true}, passedOn, false},
		{"fault of the host", &host{faults: around, terminations: stopping}, request{}, passedOn, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var bed testbed
			c.request.host, c.request.sent, c.request.ended, c.request.reused = c.host, sent, ended, true
			bed.checkRequest(&c.request, &c.trace)
			reported := len(bed.results.violations) == 1 && strings.HasPrefix(bed.results.violations[0], "LOST: ")
			assert.Equal(t, reported, c.reported, "%v", bed.results.violations)
		})
	}
}
