package leaves

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"dandelionstile/share/fetch"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

func testJob() *Job {
	return &Job{Attempt: "a1", Service: "s", Snapshot: topo.SnapshotID{Layout: 1, Version: 2}, Shard: 3}
}

const goodReply = `{"attempt":"a1","snapshot":"1-2","shards":[3],"rows":[{"key":"k","score":1,"text":"t"}]}`

func TestGoodReply(t *testing.T) {
	o, err := testJob().decodeOutcome(fetch.Reply{Status: http.StatusOK, Body: []byte(goodReply)})
	assert.NilError(t, err)
	assert.Equal(t, o.Kind, query.OK)
	assert.Equal(t, len(o.Rows), 1)
}

// A leaf or a mixed-up connection sends status 200 with the rows of another caller,
// another snapshot or fewer shards. Guards against using them in an answer.
func TestRepliesToOtherRequestsAreRejected(t *testing.T) {
	for _, body := range []string{
		"", "{", goodReply[:len(goodReply)/2],
		`{"attempt":"a2","snapshot":"1-2","shards":[3],"rows":[]}`,
		`{"attempt":"a1","snapshot":"1-3","shards":[3],"rows":[]}`,
		`{"attempt":"a1","snapshot":"1-2","shards":[],"rows":[]}`,
		`{"attempt":"a1","snapshot":"1-2","shards":[3,4],"rows":[]}`,
	} {
		_, err := testJob().decodeOutcome(fetch.Reply{Status: http.StatusOK, Body: []byte(body)})
		assert.Assert(t, errors.Is(err, ErrReplyMismatch), "body %q", body)
	}
}

// A request that the leaf rejects has not run; one that ends in an error may have.
func TestStatusesOfALeaf(t *testing.T) {
	for _, c := range []struct {
		status int
		state  string
		want   query.Kind
	}{
		{http.StatusConflict, "ready", query.NotRun},
		{http.StatusServiceUnavailable, "draining", query.NotRun},
		{http.StatusServiceUnavailable, "ready", query.Shed},
		{http.StatusTooManyRequests, "ready", query.Shed},
		{http.StatusInternalServerError, "ready", query.Unknown},
		{http.StatusFound, "ready", query.Unknown},
	} {
		h := http.Header{}
		h.Set(headerState, c.state)
		o, err := testJob().decodeOutcome(fetch.Reply{Status: c.status, Header: h})
		assert.NilError(t, err)
		assert.Equal(t, o.Kind, c.want, "status %d", c.status)
	}
}

// A reply with any body and headers must not crash the decoder, and gives either an error
// or an OK outcome.
func FuzzReply(f *testing.F) {
	f.Add([]byte(goodReply), "1", "1-2")
	f.Add([]byte("{}"), "x", ",,")
	f.Fuzz(func(t *testing.T, body []byte, incarnation, snapshots string) {
		h := http.Header{}
		h.Set(headerIncarnation, incarnation)
		h.Set(headerSnapshots, snapshots)
		parseLeafStatus(h)
		o, err := testJob().decodeOutcome(fetch.Reply{Status: http.StatusOK, Header: h, Body: body})
		if err == nil && o.Kind != query.OK {
			t.Fatal("no error, but the outcome is not OK")
		}
	})
}
