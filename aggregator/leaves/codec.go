// Package leaves calls the leaves of backend servers over HTTP, each call on the
// connection that the scheduler chose for it.
package leaves

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/clock"
	"dandelionstile/share/fetch"
	"dandelionstile/share/query"
	"dandelionstile/share/sched"
	"dandelionstile/share/topo"
)

// Headers of the leaf protocol, see docs/PROTOCOLS.md.
const (
	headerIncarnation = "Leaf-Incarnation"
	headerState       = "Leaf-State"
	headerSnapshots   = "Leaf-Snapshots"
	stateDraining     = "draining"
)

// ErrReplyMismatch means that a reply belongs to another request.
var ErrReplyMismatch = errors.New("reply does not belong to the request")

// Job is the request of a call to a leaf.
type Job struct {
	// Attempt is unique over all calls of all hosts.
	Attempt  string
	Service  string
	Snapshot topo.SnapshotID
	Shard    int
	Text     string
	Limit    int
	// Update is set for an update; a query has none.
	Update      *UpdateJob
	TraceParent string
}

// UpdateJob is the update in a Job.
type UpdateJob struct {
	ID        string
	Operation string
	Key       string
	Body      string
}

type wireQuery struct {
	Attempt  string `json:"attempt"`
	Service  string `json:"service"`
	Snapshot string `json:"snapshot"`
	Shard    int    `json:"shard"`
	Text     string `json:"text"`
	Limit    int    `json:"limit"`
	Budget   int64  `json:"deadline-ms"` // time left until the deadline
}

type wireUpdate struct {
	Attempt   string `json:"attempt"`
	ID        string `json:"id"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Body      string `json:"body"`
	Budget    int64  `json:"deadline-ms"` // time left until the deadline
}

type wireRow struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type wireReply struct {
	Attempt  string    `json:"attempt"`
	Snapshot string    `json:"snapshot"`
	Shards   []int     `json:"shards"`
	Rows     []wireRow `json:"rows"`
	Body     string    `json:"body"`
}

// newRequest returns the HTTP request for a job. The budget is the time left until the
// deadline.
func (j *Job) newRequest(address, leaf string, budget clock.Milli) (*http.Request, error) {
	path := "/v1/leafs/" + leaf
	var body []byte
	var err error
	if j.Update != nil {
		path += "/update"
		body, err = json.Marshal(wireUpdate{
			Attempt: j.Attempt, ID: j.Update.ID, Service: j.Service, Operation: j.Update.Operation,
			Key: j.Update.Key, Body: j.Update.Body, Budget: int64(budget),
		})
	} else {
		path += "/query"
		body, err = json.Marshal(wireQuery{
			Attempt: j.Attempt, Service: j.Service, Snapshot: j.Snapshot.String(), Shard: j.Shard,
			Text: j.Text, Limit: j.Limit, Budget: int64(budget),
		})
	}
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return fetch.Request(http.MethodPost, address, path, body)
}

// decodeOutcome converts the leaf's reply to an outcome. It returns ErrReplyMismatch if the
// reply belongs to another request.
func (j *Job) decodeOutcome(r fetch.Reply) (query.Outcome, error) {
	switch r.Status {
	case http.StatusOK:
		return j.decodeReply(r.Body)
	case http.StatusConflict:
		return query.Outcome{Kind: query.NotRun, Reason: query.ReasonSnapshot}, nil
	case http.StatusTooManyRequests:
		return query.Outcome{Kind: query.Shed, Reason: query.ReasonShed}, nil
	case http.StatusServiceUnavailable:
		if r.Header.Get(headerState) == stateDraining {
			return query.Outcome{Kind: query.NotRun, Reason: query.ReasonDraining}, nil
		}
		return query.Outcome{Kind: query.Shed, Reason: query.ReasonShed}, nil
	}
	return query.Outcome{Kind: query.Unknown, Reason: query.ReasonLeafError}, nil
}

// decodeReply checks that a reply belongs to the job's attempt, snapshot and shard before
// using any of it. Otherwise a mixed-up connection could put the rows of another
// caller or snapshot, or of fewer shards, into an answer.
func (j *Job) decodeReply(body []byte) (query.Outcome, error) {
	var w wireReply
	if err := json.Unmarshal(body, &w); err != nil {
		return query.Outcome{}, errors.Mark(errors.Wrap(err, "decode reply"), ErrReplyMismatch)
	}
	if w.Attempt != j.Attempt {
		return query.Outcome{}, errors.Mark(errors.Newf("attempt %q", w.Attempt), ErrReplyMismatch)
	}
	if j.Update != nil {
		return query.Outcome{Kind: query.OK, Body: w.Body}, nil
	}
	if w.Snapshot != j.Snapshot.String() {
		return query.Outcome{}, errors.Mark(errors.Newf("snapshot %q", w.Snapshot), ErrReplyMismatch)
	}
	if len(w.Shards) != 1 || w.Shards[0] != j.Shard {
		return query.Outcome{}, errors.Mark(errors.Newf("shards %v", w.Shards), ErrReplyMismatch)
	}
	o := query.Outcome{Kind: query.OK, Rows: make([]query.Row, len(w.Rows))}
	for i, row := range w.Rows {
		o.Rows[i] = query.Row(row)
	}
	return o, nil
}

// parseLeafStatus parses the headers that describe the leaf. Fields without a valid
// header stay zero.
func parseLeafStatus(h http.Header) sched.LeafStatus {
	s := sched.LeafStatus{Draining: h.Get(headerState) == stateDraining}
	s.Incarnation, _ = strconv.ParseUint(h.Get(headerIncarnation), 10, 64) // 0 means unknown
	if text := h.Get(headerSnapshots); text != "" {
		for _, one := range strings.Split(text, ",") {
			if id, ok := topo.ParseSnapshotID(strings.TrimSpace(one)); ok {
				s.Holds = append(s.Holds, id)
			}
		}
	}
	return s
}
