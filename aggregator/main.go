// Command aggregator owns the connections to the leaves of its failure domain and
// schedules the calls of entries on them.
package main

import (
	"os"

	"dandelionstile/aggregator/core"
	"dandelionstile/share/daemon"
)

// arguments is the command line.
type arguments struct {
	daemon.Arguments
}

// Description is shown by --help.
func (arguments) Description() string {
	return "aggregator owns the connections to the leaves of its failure domain"
}

// Version is shown by --version.
func (arguments) Version() string { return daemon.VersionText("aggregator") }

func main() {
	var a arguments
	os.Exit(daemon.Main("aggregator", &a, &a.Arguments, func(env daemon.Env) (daemon.Service, error) {
		c := &core.Core{Settings: env.Settings, Log: env.Log, Meter: env.Meter, Tracer: env.Tracer}
		return daemon.Service{Admin: c.Admin(), Leave: c.Leave, Close: c.Close}, c.Start()
	}))
}
