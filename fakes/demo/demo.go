// Package demo runs the whole path on loopback with real processes: queries and
// updates through every host, a backend server and a host lost on the way, and
// every answer checked row by row.
package demo

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/fakes/lab"
	"dandelionstile/fakes/leaf"
)

// rules are the demo's rules.
const rules = `never-repeat:
  - {service: subscription-billing, operation: status-update}
  - {service: returns-desk, operation: status-update}
`

// Bounds of the demo.
const (
	budget    = time.Second
	readyMost = 20 * time.Second
	rounds    = 3
)

// ErrWrong means that an answer or its coverage was not right.
var ErrWrong = errors.New("wrong answers")

// Demo is one run. Fields are set before Run.
type Demo struct {
	Bin string
	Dir string
	Out io.Writer

	lab    lab.Lab
	client *lab.Client
	tally  tally
	sent   map[string]int // update id -> times it was confirmed as run
}

// tally counts what the closing table shows.
type tally struct {
	complete, partial, refused, wrong int
	updates, unknown, notRun, twice   int
	extra, calls                      int
}

// Run runs the demo. It returns ErrWrong when an answer was not right.
func (d *Demo) Run() (err error) {
	d.sent = map[string]int{}
	d.client = lab.NewClient(5 * time.Second)
	d.lab = lab.Lab{
		Bin: d.Bin, Dir: d.Dir, Layout: lab.Kumomaru(), Rules: rules,
		Model: leaf.Model{
			ServiceTime: 3 * time.Millisecond, Jitter: 2 * time.Millisecond, ConnectTime: 6 * time.Millisecond,
			WarmUp: 300 * time.Millisecond, RestartDelay: 500 * time.Millisecond, Seed: 1,
		},
	}
	defer func() {
		err = errors.CombineErrors(err, errors.Wrap(d.lab.Close(), "stop"))
		err = errors.CombineErrors(err, d.client.Close())
	}()
	started := time.Now()
	if err := d.lab.Start(); err != nil {
		return err
	}
	if err := d.ready(); err != nil {
		return err
	}
	d.say("%d hosts, %d backend servers, ready after %s", len(d.lab.Hosts), len(d.lab.Specs), time.Since(started).Round(time.Millisecond))
	d.round("all there")
	d.say("backend server subscriber-app-0 goes down and comes back cold")
	d.lab.Servers["subscriber-app-0"].Crash()
	d.round("a backend server lost")
	victim := d.lab.Hosts[3]
	d.say("host %s is killed", victim.Name)
	d.lab.KillHost(victim)
	d.round("a host lost")
	d.say("host %s is replaced", victim.Name)
	if err := d.lab.Run(victim); err != nil {
		return err
	}
	if err := d.ready(); err != nil {
		return err
	}
	d.round("whole again")
	return d.close()
}

func (d *Demo) say(format string, args ...any) { d.print("== "+format+"\n", args...) }

// print writes to Out; a reader that is gone ends nothing.
func (d *Demo) print(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

// ready waits until every host takes callers and covers all shards.
func (d *Demo) ready() error {
	for _, h := range d.lab.Hosts {
		err := lab.Await(readyMost, h.Name+" is ready", func() bool {
			if !d.client.Ready(h.Callers) {
				return false
			}
			for _, v := range d.lab.Layout.Services {
				a, err := d.client.Query(h.Callers, v.Name, "warm up", budget)
				if err != nil || !a.Complete {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// round sends queries and updates through every host that runs.
func (d *Demo) round(title string) {
	d.say("%s", title)
	for _, h := range d.lab.Hosts {
		if !d.client.Ready(h.Callers) {
			continue
		}
		for i := range rounds {
			for _, v := range d.lab.Layout.Services {
				d.query(h, v.Name, fmt.Sprintf("%s %d", title, i))
			}
		}
		d.update(h)
	}
}

func (d *Demo) query(h *lab.Host, service, text string) {
	a, err := d.client.Query(h.Callers, service, text, budget)
	line := ""
	switch {
	case err != nil:
		d.tally.wrong++
		line = "WRONG: " + err.Error()
	case a.Status != http.StatusOK:
		d.tally.refused++
		line = a.Line()
	default:
		line = a.Line()
		d.tally.extra += a.Extra
		d.tally.calls += a.Coverage.Shards + a.Extra
		if err := a.Check(service, text); err != nil {
			d.tally.wrong++
			line += " WRONG: " + err.Error()
		} else if a.Complete {
			d.tally.complete++
		} else {
			d.tally.partial++
		}
	}
	d.print("%s  %-21s %s\n", h.Name, service, line)
}

// update runs one update and sends it again through another host: it must run
// once, and both answers must say so.
func (d *Demo) update(h *lab.Host) {
	ids, err := d.client.IDs(h.Callers, 1)
	if err != nil {
		d.tally.wrong++
		d.print("%s  WRONG: %v\n", h.Name, err)
		return
	}
	for _, through := range []*lab.Host{h, d.other(h)} {
		a, err := d.client.Update(through.Callers, ids[0], "subscription-billing", "customer-7", "returned", budget)
		d.tally.updates++
		switch {
		case err != nil:
			d.tally.wrong++
			d.print("%s  update WRONG: %v\n", through.Name, err)
			continue
		case a.Status == http.StatusOK:
			d.sent[ids[0]]++
		case a.Error == "not-run":
			d.tally.notRun++
		default:
			d.tally.unknown++
		}
		d.print("%s  update %s: %s%s\n", through.Name, ids[0], a.Result, a.Error)
	}
}

func (d *Demo) other(h *lab.Host) *lab.Host {
	for i, o := range d.lab.Hosts {
		if o == h {
			for j := 1; j < len(d.lab.Hosts); j++ {
				next := d.lab.Hosts[(i+j)%len(d.lab.Hosts)]
				if d.client.Ready(next.Callers) {
					return next
				}
			}
		}
	}
	return h
}

// close compares the updates with the servers' logs and prints the table.
func (d *Demo) close() error {
	ran := map[string]int{}
	excess := 0
	for _, s := range d.lab.Servers {
		st := s.Stats()
		excess += st.Excess
		for id, n := range st.Executed {
			ran[id] += n
		}
	}
	for id, n := range ran {
		if n > 1 {
			d.tally.twice++
			d.print("WRONG: update %s ran %d times\n", id, n)
		}
	}
	for id := range d.sent {
		if ran[id] != 1 {
			d.tally.wrong++
			d.print("WRONG: update %s was confirmed and ran %d times\n", id, ran[id])
		}
	}
	t := d.tally
	d.say("closing table")
	d.print("queries   complete %d, partial (and said so) %d, refused %d\n", t.complete, t.partial, t.refused)
	d.print("updates   sent %d, ran twice %d, unknown %d, not run %d\n", t.updates, t.twice, t.unknown, t.notRun)
	d.print("extra     %d leaf calls beyond the first per shard, of %d\n", t.extra, t.calls)
	d.print("excess    %d requests beyond what a leaf bore\n", excess)
	d.print("wrong     %d\n", t.wrong+t.twice)
	d.print("logs      %s\n", filepath.Clean(d.Dir))
	if t.wrong+t.twice > 0 || t.complete == 0 {
		return ErrWrong
	}
	return nil
}
