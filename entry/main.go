// Command entry faces callers: it takes queries and updates, fans them out to
// aggregators, and answers completely or honestly in part.
package main

import (
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"dandelionstile/entry/core"
	"dandelionstile/entry/front"
	"dandelionstile/entry/routed"
	"dandelionstile/share/daemon"
)

// arguments is the command line.
type arguments struct {
	daemon.Arguments
	Callers string `arg:"--callers" placeholder:"IP:PORT" help:"address for callers"`
}

// Description is shown by --help.
func (arguments) Description() string { return "entry answers callers' queries and updates" }

// Version is shown by --version.
func (arguments) Version() string { return daemon.VersionText("entry") }

// errNoCallers: an entry without an address for callers serves nobody.
var errNoCallers = errors.New("no address for callers: set listen.callers or give --callers")

func main() {
	var a arguments
	os.Exit(daemon.Main("entry", &a, &a.Arguments, a.start))
}

func (a *arguments) start(b daemon.Env) (daemon.Service, error) {
	if a.Callers != "" {
		b.Settings.Listen.Callers = a.Callers
	}
	if b.Settings.Listen.Callers == "" {
		return daemon.Service{}, daemon.MarkInvalid(errNoCallers)
	}
	e := &entry{routed: routed.Routed{Settings: b.Settings, Log: b.Log, Meter: b.Meter, Tracer: b.Tracer}}
	e.core = core.Core{
		Settings: b.Settings, Log: b.Log, Meter: b.Meter, Tracer: b.Tracer, Configured: e.routed.Configure,
	}
	e.front = front.Front{Core: &e.core, Address: b.Settings.Listen.Callers, AlsoReady: e.routed.Ready}
	if err := e.start(); err != nil {
		return daemon.Service{}, err
	}
	b.Log.Info().Str("callers", e.front.Addr()).Str("routes", e.routed.Addr()).Msg("serving callers")
	return daemon.Service{Admin: e.core.Admin(), Leave: e.leave, Close: e.close}, nil
}

// entry is the running parts.
type entry struct {
	core   core.Core
	front  front.Front
	routed routed.Routed
}

// start begins with the routes: the core tells them of configurations.
func (e *entry) start() error {
	if err := e.routed.Start(); err != nil {
		return err
	}
	if err := e.core.Start(); err != nil {
		return errors.CombineErrors(err, e.routed.Close())
	}
	if err := e.front.Start(); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(e.core.Close(), e.routed.Close()))
	}
	return nil
}

// leave ends the work of both kinds at the same time.
func (e *entry) leave() {
	var both sync.WaitGroup
	both.Go(e.front.Leave)
	both.Go(e.routed.Leave)
	both.Wait()
}

func (e *entry) close() error {
	err := errors.CombineErrors(e.front.Close(), e.core.Close())
	return errors.CombineErrors(err, e.routed.Close())
}
