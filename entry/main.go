// Command entry serves callers: it accepts queries and updates, fans them out to
// aggregators and returns complete answers, or partial ones that name what is missing.
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
	Callers string `arg:"--callers" placeholder:"IP:PORT" help:"address that callers connect to"`
}

// Description is shown by --help.
func (arguments) Description() string { return "entry answers callers' queries and updates" }

// Version is shown by --version.
func (arguments) Version() string { return daemon.VersionText("entry") }

// errNoCallerAddress reports that neither the settings nor the flags name a caller
// address.
var errNoCallerAddress = errors.New("no address for callers: set listen.callers or give --callers")

func main() {
	var a arguments
	os.Exit(daemon.Main("entry", &a, &a.Arguments, a.start))
}

// start checks the addresses for callers, of which --callers takes precedence, and
// starts the entry.
func (a *arguments) start(env daemon.Env) (daemon.Service, error) {
	if a.Callers != "" {
		env.Settings.Listen.Callers = a.Callers
	}
	if env.Settings.Listen.Callers == "" {
		return daemon.Service{}, daemon.MarkInvalid(errNoCallerAddress)
	}
	e := &entry{routed: routed.Server{Settings: env.Settings, Log: env.Log, Meter: env.Meter, Tracer: env.Tracer}}
	e.core = core.Core{
		Settings: env.Settings, Log: env.Log, Meter: env.Meter, Tracer: env.Tracer, OnConfigure: e.routed.Configure,
	}
	e.front = front.Front{Core: &e.core, Address: env.Settings.Listen.Callers, Log: env.Log, ExtraReady: e.routed.Ready}
	if err := e.start(); err != nil {
		return daemon.Service{}, err
	}
	env.Log.Info().Str("callers", e.front.Addr()).Str("routes", e.routed.Addr()).Msg("serving callers")
	return daemon.Service{Admin: e.core.Admin(), Leave: e.leave, Close: e.close}, nil
}

// entry holds the parts of the running process.
type entry struct {
	core   core.Core
	front  front.Front
	routed routed.Server
}

// start starts the routes first: the core passes each configuration to them.
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

// leave drains queries and routed requests in parallel.
func (e *entry) leave() {
	var wait sync.WaitGroup
	wait.Go(e.front.Leave)
	wait.Go(e.routed.Leave)
	wait.Wait()
}

// close stops the parts in the reverse order of their start.
func (e *entry) close() error {
	err := errors.CombineErrors(e.front.Close(), e.core.Close())
	return errors.CombineErrors(err, e.routed.Close())
}
