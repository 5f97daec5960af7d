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

// Client asks entries as a caller does.
type Client struct {
	http http.Client
	// Caller goes into the Caller header.
	Caller string
}

// NewClient returns a client that waits so long for each answer.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close drops idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Answer is a caller's view of an answer or refusal.
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

// ErrNoAnswer means that the host gave no whole answer.
var ErrNoAnswer = errors.New("no answer")

// Post sends a JSON body.
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
	res, err := c.http.Do(r)
	if err != nil {
		return a, errors.Mark(err, ErrNoAnswer)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return a, errors.Mark(err, ErrNoAnswer)
	}
	a.Status = res.StatusCode
	return a, json.Unmarshal(raw, &a)
}

type queryBody struct {
	Service string `json:"service"`
	Text    string `json:"text"`
	Limit   int    `json:"limit"`
	Budget  int64  `json:"budget-ms"`
}

// Query asks for all rows of a service.
func (c *Client) Query(addr, service, text string, budget time.Duration) (Answer, error) {
	return c.Post(addr, "/v1/query", queryBody{Service: service, Text: text, Limit: 1000, Budget: budget.Milliseconds()})
}

type idsBody struct {
	Count int `json:"count"`
}

// IDs gets ids for updates.
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

// Check verifies an answer row by row: one snapshot, its own text, all rows of
// each answered shard and none of a missing one, and a coverage that adds up.
func (a Answer) Check(service, text string) error {
	pin, ok := topo.ParseSnapshotID(a.Snapshot)
	if !ok {
		return errors.Newf("snapshot %q", a.Snapshot)
	}
	if a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Shards {
		return errors.Newf("coverage does not add up: %+v", a.Coverage)
	}
	if a.Complete != (a.Coverage.Answered == a.Coverage.Shards) {
		return errors.Newf("complete is %v with %d of %d shards", a.Complete, a.Coverage.Answered, a.Coverage.Shards)
	}
	want := map[string]bool{}
	for shard := range a.Coverage.Shards {
		for row := range leaf.Rows {
			want[leaf.Key(service, pin, shard, row)] = true
		}
	}
	for _, m := range a.Coverage.Missing {
		for row := range leaf.Rows {
			delete(want, leaf.Key(service, pin, m.Shard, row))
		}
	}
	for _, r := range a.Rows {
		if !want[r.Key] {
			return errors.Newf("row %s is foreign, twice there, or of a missing shard", r.Key)
		}
		if r.Text != text {
			return errors.Newf("row %s is another caller's: %q", r.Key, r.Text)
		}
		delete(want, r.Key)
	}
	if len(want) > 0 {
		return errors.Newf("%d rows of answered shards are missing", len(want))
	}
	return nil
}

// Line sums an answer up.
func (a Answer) Line() string {
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

// Ready asks whether a host takes callers.
func (c *Client) Ready(addr string) bool {
	res, err := c.http.Get("http://" + addr + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Await waits until a condition holds.
func Await(most time.Duration, what string, cond func() bool) error {
	end := time.Now().Add(most)
	for !cond() {
		if time.Now().After(end) {
			return errors.Newf("still waiting after %s: %s", most, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// statusBody is what is read of a program's status.
type statusBody struct {
	Node struct {
		Versions []struct {
			Key     string `json:"key"`
			Version uint64 `json:"version"`
		} `json:"versions"`
	} `json:"node"`
}

// Version asks a program which version of a key it has in force; 0 when it does
// not say.
func (c *Client) Version(admin, key string) uint64 {
	res, err := c.http.Get("http://" + admin + "/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	var s statusBody
	if json.NewDecoder(res.Body).Decode(&s) != nil {
		return 0
	}
	for _, v := range s.Node.Versions {
		if v.Key == key {
			return v.Version
		}
	}
	return 0
}
