// Package demo runs a deployment on loopback with real processes. It sends
// queries and updates through every host while a backend server crashes and a
// host is replaced, and checks every answer row by row.
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

// rules are the rules of the deployment.
const rules = `never-repeat:
  - {service: subscription-billing, operation: status-update}
  - {service: returns-desk, operation: status-update}
`

// Limits of the demo.
const (
	budget            = time.Second
	readyTimeout      = 20 * time.Second
	queriesPerService = 3
)

// ErrWrongAnswers means that an answer or its coverage was wrong.
var ErrWrongAnswers = errors.New("wrong answers")

// Demo is one run. Its exported fields are set before Run.
type Demo struct {
	Bin string
	Dir string
	Out io.Writer

	lab       lab.Lab
	client    *lab.Client
	counts    counts
	confirmed map[string]int // update id -> number of replies that confirmed it
}

// counts holds the figures of the closing table. calls is the number of leaf calls of the
// answers: one per shard, and the extra ones.
type counts struct {
	complete, partial, refused, wrong  int
	updates, unknown, notRun, ranTwice int
	extra, calls                       int
}

// Run runs the demo. It returns ErrWrongAnswers if an answer was wrong, or none
// was complete.
func (d *Demo) Run() (err error) {
	d.confirmed = map[string]int{}
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
	if err := d.awaitReady(); err != nil {
		return err
	}
	d.printHeading("%d hosts, %d backend servers, ready after %s", len(d.lab.Hosts), len(d.lab.Specs), time.Since(started).Round(time.Millisecond))
	d.runRound("all running")
	d.printHeading("backend server subscriber-app-0 goes down and comes back cold")
	d.lab.Servers["subscriber-app-0"].Crash()
	d.runRound("a backend server lost")
	victim := d.lab.Hosts[3]
	d.printHeading("host %s is killed", victim.Name)
	d.lab.KillHost(victim)
	d.runRound("a host lost")
	d.printHeading("host %s is replaced", victim.Name)
	if err := d.lab.StartHost(victim); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	d.runRound("all running again")
	return d.printReport()
}

// printHeading prints the heading of a section.
func (d *Demo) printHeading(format string, args ...any) { d.print("== "+format+"\n", args...) }

// print writes to Out. Errors are ignored, since the demo also checks answers
// without a reader.
func (d *Demo) print(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

// awaitReady waits until every host is ready and answers for all shards of every service.
func (d *Demo) awaitReady() error {
	for _, h := range d.lab.Hosts {
		err := lab.Await(readyTimeout, h.Name+" is ready", func() bool {
			if !d.client.Ready(h.CallerAddress) {
				return false
			}
			for _, v := range d.lab.Layout.Services {
				a, err := d.client.Query(h.CallerAddress, v.Name, "warm up", budget)
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

// runRound sends queries and updates through every ready host.
func (d *Demo) runRound(title string) {
	d.printHeading("%s", title)
	for _, h := range d.lab.Hosts {
		if !d.client.Ready(h.CallerAddress) {
			continue
		}
		for i := range queriesPerService {
			for _, v := range d.lab.Layout.Services {
				d.sendQuery(h, v.Name, fmt.Sprintf("%s %d", title, i))
			}
		}
		d.sendUpdate(h)
	}
}

// sendQuery sends a query through a host, checks the answer and counts the result. A
// query without a reply counts as wrong.
func (d *Demo) sendQuery(h *lab.Host, service, text string) {
	a, err := d.client.Query(h.CallerAddress, service, text, budget)
	line := ""
	switch {
	case err != nil:
		d.counts.wrong++
		line = "WRONG: " + err.Error()
	case a.Status != http.StatusOK:
		d.counts.refused++
		line = a.Summary()
	default:
		line = a.Summary()
		d.counts.extra += a.Extra
		d.counts.calls += a.Coverage.Shards + a.Extra
		if err := a.Check(service, text); err != nil {
			d.counts.wrong++
			line += " WRONG: " + err.Error()
		} else if a.Complete {
			d.counts.complete++
		} else {
			d.counts.partial++
		}
	}
	d.print("%s  %-21s %s\n", h.Name, service, line)
}

// sendUpdate sends an update through one host and again through another, if another is
// ready.
func (d *Demo) sendUpdate(h *lab.Host) {
	ids, err := d.client.IDs(h.CallerAddress, 1)
	if err != nil {
		d.counts.wrong++
		d.print("%s  WRONG: %v\n", h.Name, err)
		return
	}
	for _, via := range []*lab.Host{h, d.otherReadyHost(h)} {
		a, err := d.client.Update(via.CallerAddress, ids[0], "subscription-billing", "customer-7", "returned", budget)
		d.counts.updates++
		switch {
		case err != nil:
			d.counts.wrong++
			d.print("%s  update WRONG: %v\n", via.Name, err)
			continue
		case a.Status == http.StatusOK:
			d.confirmed[ids[0]]++
		case a.Error == "not-run":
			d.counts.notRun++
		default:
			d.counts.unknown++
		}
		d.print("%s  update %s: %s%s\n", via.Name, ids[0], a.Result, a.Error)
	}
}

// otherReadyHost returns the next ready host after h, or h if there is none.
func (d *Demo) otherReadyHost(h *lab.Host) *lab.Host {
	for i, candidate := range d.lab.Hosts {
		if candidate == h {
			for j := 1; j < len(d.lab.Hosts); j++ {
				next := d.lab.Hosts[(i+j)%len(d.lab.Hosts)]
				if d.client.Ready(next.CallerAddress) {
					return next
				}
			}
		}
	}
	return h
}

// printReport prints the closing table. It compares the confirmed updates with the
// executions on the servers: none may run twice, and each confirmed one must
// have run once. It returns ErrWrongAnswers if an answer or an update was wrong, or no
// answer was complete.
func (d *Demo) printReport() error {
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
			d.counts.ranTwice++
			d.print("WRONG: update %s ran %d times\n", id, n)
		}
	}
	for id := range d.confirmed {
		if ran[id] != 1 {
			d.counts.wrong++
			d.print("WRONG: update %s was confirmed and ran %d times\n", id, ran[id])
		}
	}
	t := d.counts
	d.printHeading("closing table")
	d.print("queries   complete %d, partial (marked as partial) %d, refused %d\n", t.complete, t.partial, t.refused)
	d.print("updates   sent %d, ran twice %d, unknown %d, not run %d\n", t.updates, t.ranTwice, t.unknown, t.notRun)
	d.print("extra     %d leaf calls beyond the first per shard, of %d\n", t.extra, t.calls)
	d.print("excess    %d requests beyond a leaf's capacity\n", excess)
	d.print("wrong     %d\n", t.wrong+t.ranTwice)
	d.print("logs      %s\n", filepath.Clean(d.Dir))
	if t.wrong+t.ranTwice > 0 || t.complete == 0 {
		return ErrWrongAnswers
	}
	return nil
}
