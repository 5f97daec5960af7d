package cmds

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/admin"
	"dandelionstile/share/fetch"
)

// asking holds the flags of commands that ask the programs.
type asking struct {
	output
	Admin   []string      `arg:"--admin,-a,separate,required" placeholder:"IP:PORT" help:"admin address of a program; may be given again"`
	Timeout time.Duration `arg:"--timeout" default:"2s" help:"how long one program may take"`
}

// program is one program's status, or why there is none.
type program struct {
	Admin   string `json:"admin"`
	Problem string `json:"problem,omitempty"`
	admin.Status
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
			if err := a.get(engine, addr, "/v1/status", &all[i].Status); err != nil {
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
