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

// adminFlags holds the flags of the commands that query running programs.
type adminFlags struct {
	outputFlags
	Admin   []string      `arg:"--admin,-a,separate,required" placeholder:"IP:PORT" help:"admin address of a program; may be given again"`
	Timeout time.Duration `arg:"--timeout" default:"2s" help:"how long one program may take"`
}

// programStatus is the status of one program, or the reason why it is missing.
type programStatus struct {
	Admin   string `json:"admin"`
	Problem string `json:"problem,omitempty"`
	admin.Status
}

// fetchStatuses queries all programs concurrently and sorts the results by host and
// program; those that did not answer come first. It returns ErrUnreachable if none answered.
func (a *adminFlags) fetchStatuses() ([]programStatus, error) {
	engine := &fetch.Engine{}
	if err := engine.Start(); err != nil {
		return nil, err
	}
	defer func() { _ = engine.Close() }() // the engine only made reads
	programs := make([]programStatus, len(a.Admin))
	var wait sync.WaitGroup
	for i, addr := range a.Admin {
		wait.Go(func() {
			programs[i].Admin = addr
			if err := a.getJSON(engine, addr, "/v1/status", &programs[i].Status); err != nil {
				programs[i].Problem = err.Error()
			}
		})
	}
	wait.Wait()
	anyAnswered := false
	for _, p := range programs {
		anyAnswered = anyAnswered || p.Problem == ""
	}
	if !anyAnswered {
		return nil, errors.Wrapf(ErrUnreachable, "%s", programs[0].Problem)
	}
	sort.SliceStable(programs, func(i, j int) bool {
		if programs[i].Node.Host != programs[j].Node.Host {
			return programs[i].Node.Host < programs[j].Node.Host
		}
		return programs[i].Node.Program < programs[j].Node.Program
	})
	return programs, nil
}

// getJSON fetches and decodes one JSON document.
func (a *adminFlags) getJSON(engine *fetch.Engine, addr, path string, target any) error {
	reply, err := fetch.Get(engine, addr, path, a.Timeout)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusOK {
		return errors.Newf("status %d", reply.Status)
	}
	return errors.Wrap(json.Unmarshal(reply.Body, target), "decode status")
}
