// Command entry faces callers: it takes queries and updates, fans them out to
// aggregators, and answers completely or honestly in part.
package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"dandelionstile/entry/core"
	"dandelionstile/entry/front"
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

func (a *arguments) start(b daemon.Base) (daemon.Service, error) {
	if a.Callers != "" {
		b.Settings.Listen.Callers = a.Callers
	}
	if b.Settings.Listen.Callers == "" {
		return daemon.Service{}, daemon.Invalid(errNoCallers)
	}
	c := &core.Core{Settings: b.Settings, Log: b.Log, Meter: b.Meter, Tracer: b.Tracer}
	if err := c.Start(); err != nil {
		return daemon.Service{}, err
	}
	f := &front.Front{Core: c, Address: b.Settings.Listen.Callers}
	if err := f.Start(); err != nil {
		return daemon.Service{}, errors.CombineErrors(err, c.Close())
	}
	b.Log.Info().Str("callers", f.Addr()).Msg("serving callers")
	return daemon.Service{
		Admin: c.Admin(), Leave: f.Leave,
		Close: func() error { return errors.CombineErrors(f.Close(), c.Close()) },
	}, nil
}
