// Package daemon runs the long-running programs, entry and aggregator: it parses
// arguments, loads settings, sets up logs, metrics and the admin address, and shuts
// down on a signal.
package daemon

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"dandelionstile/share/conf"
	"dandelionstile/share/httpd"
	"dandelionstile/share/logs"
	"dandelionstile/share/meter"
	"dandelionstile/share/node"
	"dandelionstile/share/spans"
)

// Version is the release version, as in CHANGELOG.md.
const Version = "0.1.0"

// Exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// VersionText returns the output of --version.
func VersionText(program string) string {
	text := "dandelionstile " + program + " " + Version
	if info, ok := debug.ReadBuildInfo(); ok {
		text += " (" + info.GoVersion + ")"
	}
	return text
}

// Arguments are the flags of all daemons. A flag that is set overrides the
// settings file.
type Arguments struct {
	Settings string `arg:"--settings,-s,required" placeholder:"FILE" help:"settings file (YAML)"`
	Check    bool   `arg:"--check" help:"validate the settings and exit"`
	LogLevel string `arg:"--log-level" placeholder:"LEVEL" help:"log level: debug, info, warn or error"`
	Admin    string `arg:"--admin" placeholder:"IP:PORT" help:"listen address of the admin endpoint"`
	Links    string `arg:"--links" placeholder:"IP:PORT" help:"listen address for links between hosts"`
	Platform string `arg:"--platform" placeholder:"IP:PORT" help:"address of the platform"`
}

// overrideSettings replaces the settings whose flags are set. It does not validate the
// flags' values.
func (a Arguments) overrideSettings(s *node.Settings) {
	for _, o := range []struct {
		from string
		to   *string
	}{
		{a.LogLevel, &s.Log.Level},
		{a.Admin, &s.Listen.Admin},
		{a.Links, &s.Listen.Links},
		{a.Platform, &s.Platform.Address},
	} {
		if o.from != "" {
			*o.to = o.from
		}
	}
}

// IgnoreClosedOutput keeps the process running after the reader of its log has gone away: a write
// to standard output or error would end it with SIGPIPE.
func IgnoreClosedOutput() { signal.Ignore(syscall.SIGPIPE) }

// Env holds what a program needs to start.
type Env struct {
	Settings node.Settings
	Log      zerolog.Logger
	Meter    *meter.Meter
	Tracer   *spans.Tracer
}

// Service is a running program, as its start function returns it.
type Service struct {
	// Admin serves the admin address.
	Admin http.Handler
	// Leave drains the service after the first signal; a second signal ends the wait
	// for it, and further ones change nothing.
	Leave func()
	// Close stops the service, drained or not.
	Close func() error
}

// Main runs a program until a signal stops it and returns its exit code: ExitSettings if
// the settings or the TLS files cannot be read or are invalid, ExitFailure after any other
// error. With --check it only validates the settings file. The arguments are parsed into
// args, which embeds common.
func Main(program string, args any, common *Arguments, start func(Env) (Service, error)) int {
	arg.MustParse(args)
	IgnoreClosedOutput()
	settings, err := node.Load(common.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	common.overrideSettings(&settings)
	if common.Check {
		fmt.Println("settings are valid")
		return ExitOK
	}
	// The error takes the way of the log, since it is written to the same reader.
	out := logs.NewBoundedWriter(os.Stderr)
	err = run(program, settings, out, start)
	if err != nil {
		_, _ = fmt.Fprintf(out, "%s: %v\n", program, err) // a BoundedWriter returns no error
	}
	if err := out.Close(); err != nil {
		return ExitFailure
	}
	switch {
	case errors.Is(err, conf.ErrInvalid), errors.Is(err, node.ErrTLS):
		return ExitSettings
	case err != nil:
		return ExitFailure
	}
	return ExitOK
}

// run starts the program and its admin server, and stops both after a signal. SIGTERM and SIGINT
// themselves don't end the process, at whatever moment they come: the service may have callers
// from its start to the end of its Close.
func run(program string, settings node.Settings, out io.Writer, start func(Env) (Service, error)) error {
	log, err := logs.New(out, settings.Log.Level, program, settings.Host.Name)
	if err != nil {
		return errors.Mark(err, conf.ErrInvalid)
	}
	tracer, err := spans.New(settings.Trace.File, program, settings.Host.Name, settings.Trace.Ratio)
	if err != nil {
		return err
	}
	m := meter.New(program)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	service, err := start(Env{Settings: settings, Log: log, Meter: m, Tracer: tracer})
	if err != nil {
		return err
	}
	admin := httpd.Server{Address: settings.Listen.Admin, Handler: service.Admin, Log: log}
	if err := admin.Start(); err != nil {
		return errors.CombineErrors(err, service.Close())
	}
	log.Info().Str("admin", admin.Addr()).Str("links", settings.Listen.Links).Msg("started")
	awaitShutdown(log, signals, service.Leave)
	err = service.Close()
	err = errors.CombineErrors(err, admin.Close())
	err = errors.CombineErrors(err, m.Close())
	err = errors.CombineErrors(err, tracer.Close())
	log.Info().AnErr("fault", err).Msg("stopped")
	return err
}

// awaitShutdown returns when the service has drained after a signal, or at a
// second signal.
func awaitShutdown(log zerolog.Logger, signals <-chan os.Signal, leave func()) {
	first := <-signals
	log.Info().Str("signal", first.String()).Msg("leaving")
	done := make(chan struct{})
	go func() {
		leave()
		close(done)
	}()
	select {
	case <-done:
	case second := <-signals:
		log.Warn().Str("signal", second.String()).Msg("second signal; aborting work in progress")
	}
}

// MarkInvalid marks an error as caused by the settings, for the exit code.
func MarkInvalid(err error) error { return errors.Mark(err, conf.ErrInvalid) }
