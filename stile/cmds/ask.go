package cmds

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/fetch"
)

// asking holds the flags of commands that ask the programs.
type asking struct {
	output
	Admin   []string      `arg:"--admin,-a,separate,required" placeholder:"IP:PORT" help:"admin address of a program; may be given again"`
	Timeout time.Duration `arg:"--timeout" default:"2s" help:"how long one program may take"`
}

// The programs' status, as much as stile reads of it.
type nodeStatus struct {
	Host        string          `json:"host"`
	Domain      string          `json:"failure-domain"`
	Program     string          `json:"program"`
	Ready       bool            `json:"ready"`
	Leaving     bool            `json:"leaving"`
	Watching    bool            `json:"watching"`
	PlatformAge int64           `json:"platform-age-ms"`
	Versions    []versionStatus `json:"versions"`
	Refused     []refusedStatus `json:"refused"`
}

type versionStatus struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

type refusedStatus struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Why     string `json:"why"`
}

type leafStatus struct {
	Leaf      string `json:"leaf"`
	Server    string `json:"server"`
	Service   string `json:"service"`
	Primary   bool   `json:"primary"`
	Exclusive bool   `json:"exclusive"`
	Busy      int    `json:"busy"`
	Queued    int    `json:"queued"`
	Limit     int    `json:"limit"`
	Slots     int    `json:"slots"`
	Conns     int    `json:"connections"`
	RampLeft  int64  `json:"ramp-left-ms"`
	Closed    string `json:"closed"`
}

type missingStatus struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

type serviceStatus struct {
	Service  string          `json:"service"`
	Snapshot string          `json:"snapshot"`
	Shards   int             `json:"shards"`
	Answered int             `json:"reachable"`
	Missing  []missingStatus `json:"missing"`
}

type strikeStatus struct {
	Fingerprint string `json:"fingerprint"`
	Count       int    `json:"count"`
	Left        int64  `json:"left-ms"`
}

// program is one program's status, or why there is none.
type program struct {
	Admin    string          `json:"admin"`
	Problem  string          `json:"problem,omitempty"`
	Node     nodeStatus      `json:"node"`
	Leafs    []leafStatus    `json:"leafs,omitempty"`
	Services []serviceStatus `json:"services,omitempty"`
	Strikes  []strikeStatus  `json:"quarantine,omitempty"`
}

// status asks all programs at once, in order of host and program.
func (a *asking) status() ([]program, error) {
	engine := &fetch.Engine{}
	if err := engine.Start(); err != nil {
		return nil, err
	}
	defer func() { _ = engine.Close() }() // only reads were made
	all := make([]program, len(a.Admin))
	var wait sync.WaitGroup
	for i, addr := range a.Admin {
		wait.Go(func() {
			all[i].Admin = addr
			if err := a.get(engine, addr, "/v1/status", &all[i]); err != nil {
				all[i].Problem = err.Error()
			}
		})
	}
	wait.Wait()
	answered := false
	for _, p := range all {
		answered = answered || p.Problem == ""
	}
	if !answered {
		return nil, errors.Wrapf(ErrUnreachable, "%s", all[0].Problem)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Node.Host != all[j].Node.Host {
			return all[i].Node.Host < all[j].Node.Host
		}
		return all[i].Node.Program < all[j].Node.Program
	})
	return all, nil
}

// get reads one JSON answer.
func (a *asking) get(engine *fetch.Engine, addr, path string, into any) error {
	reply, err := fetch.Get(engine, addr, path, a.Timeout)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusOK {
		return errors.Newf("status %d", reply.Status)
	}
	return errors.Wrap(json.Unmarshal(reply.Body, into), "decode status")
}
