package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/fakes/leaf"
	"dandelionstile/share/topo"
)

// Client sends requests to entries as a caller does.
type Client struct {
	http http.Client
	// Caller is the value of the Caller header; none is sent if it is empty.
	Caller string
}

// NewClient returns a client with a timeout for each request.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Answer is the reply to a request: an answer, ids or an error.
type Answer struct {
	Status   int
	ID       string `json:"id"`
	Snapshot string `json:"snapshot"`
	Complete bool   `json:"complete"`
	Coverage struct {
		Shards   int `json:"shards"`
		Answered int `json:"answered"`
		Missing  []struct {
			Shard  int    `json:"shard"`
			Reason string `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	Extra int `json:"extra-attempts"`
	Rows  []struct {
		Key  string `json:"key"`
		Text string `json:"text"`
	} `json:"rows"`
	Error      string   `json:"error"`
	Reason     string   `json:"reason"`
	Field      string   `json:"field"`
	RetryAfter int64    `json:"retry-after-ms"`
	Result     string   `json:"result"`
	IDs        []string `json:"ids"`
}

// ErrNoAnswer marks errors where the host sent no complete reply.
var ErrNoAnswer = errors.New("no answer")

// Post sends a JSON body and decodes the reply, whatever its status. The error is
// marked with ErrNoAnswer if there is no complete reply.
func (c *Client) Post(addr, path string, body any) (Answer, error) {
	var a Answer
	b, err := json.Marshal(body)
	if err != nil {
		return a, err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(b))
	if err != nil {
		return a, err
	}
	if c.Caller != "" {
		r.Header.Set("Caller", c.Caller)
	}
	reply, err := c.http.Do(r)
	if err != nil {
		return a, errors.Mark(err, ErrNoAnswer)
	}
	defer func() { _ = reply.Body.Close() }()
	raw, err := io.ReadAll(reply.Body)
	if err != nil {
		return a, errors.Mark(err, ErrNoAnswer)
	}
	a.Status = reply.StatusCode
	return a, json.Unmarshal(raw, &a)
}

type queryBody struct {
	Service string `json:"service"`
	Text    string `json:"text"`
	Limit   int    `json:"limit"`
	Budget  int64  `json:"budget-ms"`
}

// Query sends a query for all rows of a service.
func (c *Client) Query(addr, service, text string, budget time.Duration) (Answer, error) {
	return c.Post(addr, "/v1/query", queryBody{Service: service, Text: text, Limit: 1000, Budget: budget.Milliseconds()})
}

type idsBody struct {
	Count int `json:"count"`
}

// IDs requests n ids for updates.
func (c *Client) IDs(addr string, n int) ([]string, error) {
	a, err := c.Post(addr, "/v1/ids", idsBody{n})
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		return nil, errors.Newf("ids: %s %s", a.Error, a.Reason)
	}
	return a.IDs, nil
}

type updateBody struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Body      string `json:"body"`
	Budget    int64  `json:"budget-ms"`
}

// Update sends an update.
func (c *Client) Update(addr, id, service, key, body string, budget time.Duration) (Answer, error) {
	return c.Post(addr, "/v1/updates", updateBody{
		ID: id, Service: service, Operation: "status-update", Key: key, Body: body, Budget: budget.Milliseconds(),
	})
}

// Check verifies an answer row by row: all rows belong to the same snapshot and
// carry the query's text, each answered shard has all of its rows, a missing
// shard has none, and the coverage is consistent.
func (a Answer) Check(service, text string) error {
	id, ok := topo.ParseSnapshotID(a.Snapshot)
	if !ok {
		return errors.Newf("invalid snapshot id %q", a.Snapshot)
	}
	if a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Shards {
		return errors.Newf("coverage is inconsistent: %+v", a.Coverage)
	}
	if a.Complete != (a.Coverage.Answered == a.Coverage.Shards) {
		return errors.Newf("complete is %v with %d of %d shards", a.Complete, a.Coverage.Answered, a.Coverage.Shards)
	}
	want := map[string]bool{}
	for shard := range a.Coverage.Shards {
		for row := range leaf.Rows {
			want[leaf.Key(service, id, shard, row)] = true
		}
	}
	for _, m := range a.Coverage.Missing {
		for row := range leaf.Rows {
			delete(want, leaf.Key(service, id, m.Shard, row))
		}
	}
	for _, r := range a.Rows {
		if !want[r.Key] {
			return errors.Newf("row %s is unexpected, duplicate or of a missing shard", r.Key)
		}
		if r.Text != text {
			return errors.Newf("row %s has the text of another query: %q", r.Key, r.Text)
		}
		delete(want, r.Key)
	}
	if len(want) > 0 {
		return errors.Newf("%d rows of answered shards are missing", len(want))
	}
	return nil
}

// Summary describes an answer in one line.
func (a Answer) Summary() string {
	if a.Status != http.StatusOK {
		return fmt.Sprintf("%d %s: %s", a.Status, a.Error, a.Reason)
	}
	var missing []string
	for _, m := range a.Coverage.Missing {
		missing = append(missing, strconv.Itoa(m.Shard)+"="+m.Reason)
	}
	return fmt.Sprintf("snapshot %s, coverage %d/%d %s, extra %d", a.Snapshot, a.Coverage.Answered,
		a.Coverage.Shards, strings.Join(missing, " "), a.Extra)
}

// Ready reports whether a host is ready for callers.
func (c *Client) Ready(addr string) bool {
	reply, err := c.http.Get("http://" + addr + "/readyz")
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// Await polls a condition until it holds. After the timeout it returns an error with
// the condition's description.
func Await(timeout time.Duration, condition string, cond func() bool) error {
	deadline := time.Now().Add(timeout)
	for !cond() {
		if time.Now().After(deadline) {
			return errors.Newf("condition not met after %s: %s", timeout, condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// statusBody holds the fields of a program's status that are used here.
type statusBody struct {
	Node struct {
		Versions []struct {
			Key     string `json:"key"`
			Version uint64 `json:"version"`
		} `json:"versions"`
	} `json:"node"`
}

// Version returns the version of a key that a program has in force, or 0 if
// that is unknown.
func (c *Client) Version(admin, key string) uint64 {
	reply, err := c.http.Get("http://" + admin + "/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = reply.Body.Close() }()
	var s statusBody
	if json.NewDecoder(reply.Body).Decode(&s) != nil {
		return 0
	}
	for _, v := range s.Node.Versions {
		if v.Key == key {
			return v.Version
		}
	}
	return 0
}
