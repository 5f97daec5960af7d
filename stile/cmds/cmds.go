// Package cmds implements stile's commands, one file each. A command is a struct with
// argument tags that registers itself under its names.
package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"dandelionstile/share/conf"
	"dandelionstile/share/daemon"
)

// Exit codes, the same for all commands.
const (
	// ExitOK means that no fault was found.
	ExitOK = 0
	// ExitFault means that the input is faulty, that an answer is incomplete, or that the
	// command failed for a reason without a code of its own.
	ExitFault = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitUnreachable means that no program answered, or that none knows the query.
	ExitUnreachable = 3
)

// Errors that commands return.
var (
	// ErrFaulty reports faulty or incomplete input after the faults have been
	// printed.
	ErrFaulty = errors.New("faults were found")
	// ErrUnreachable reports that no program answered, or that none knows the query.
	ErrUnreachable = errors.New("no answer")
)

// command is implemented by all commands.
type command interface {
	// Help returns one line for the list of commands.
	Help() string
	// Run executes the command and prints the result to out.
	Run(out *printer) error
}

// registration is a registered command.
type registration struct {
	names  []string // the name and then the aliases
	create func() command
}

var registry []registration

// register adds a command under its name and aliases.
func register(c func() command, names ...string) {
	registry = append(registry, registration{names: names, create: c})
}

// outputFlags holds the flags that all commands share.
type outputFlags struct {
	Output string `arg:"--output,-o" default:"text" placeholder:"FORM" help:"text or json"`
	Color  string `arg:"--color" default:"auto" placeholder:"WHEN" help:"auto, always or never"`
}

// options gives newPrinter access to the flags of any command that embeds them.
func (o *outputFlags) options() *outputFlags { return o }

// printer writes a command's result as text or JSON.
type printer struct {
	out   io.Writer
	json  bool
	color bool
}

// printText prints a line of text; with JSON output it prints nothing.
func (p *printer) printText(format string, args ...any) {
	if !p.json {
		_, _ = fmt.Fprintf(p.out, format+"\n", args...) // a closed output is no error
	}
}

// printJSON prints the whole result with JSON output; with text output it prints nothing.
func (p *printer) printJSON(v any) error {
	if !p.json {
		return nil
	}
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "encode result")
}

// Colors of the terminal (ANSI codes).
const (
	red    = "31"
	yellow = "33"
	green  = "32"
)

// colorize wraps a text in escape codes if color is enabled.
func (p *printer) colorize(color, text string) string {
	if !p.color {
		return text
	}
	return "\x1b[" + color + "m" + text + "\x1b[0m"
}

// Main runs the command that the arguments name and returns the exit code. Without a
// command, or with a flag in its place, it prints the list of commands.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || strings.HasPrefix(args[0], "-") {
		printUsage(out)
		if len(args) > 0 && (args[0] == "help" || args[0] == "--help" || args[0] == "-h") {
			return ExitOK
		}
		return ExitUsage
	}
	c := newCommand(args[0])
	if c == nil {
		writef(errOut, "stile: no command %q; see stile help\n", args[0])
		return ExitUsage
	}
	p, err := arg.NewParser(arg.Config{Program: "stile " + args[0]}, c)
	if err != nil {
		writef(errOut, "stile: %v\n", err)
		return ExitUsage
	}
	if err := p.Parse(args[1:]); err != nil {
		return reportParseError(p, err, out, errOut)
	}
	pr, err := newPrinter(c, out)
	if err != nil {
		writef(errOut, "stile %s: %v\n", args[0], err)
		return ExitUsage
	}
	return exitCode(args[0], c.Run(pr), errOut)
}

// writef writes a message. Errors are ignored: there is nowhere else to report them.
func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// reportParseError prints the help if it was requested, otherwise the error and the
// usage, and returns the exit code.
func reportParseError(p *arg.Parser, err error, out, errOut io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(out)
		return ExitOK
	}
	writef(errOut, "stile: %v\n", err)
	p.WriteUsage(errOut)
	return ExitUsage
}

// newPrinter returns the printer that a command's flags request, or an error if a flag
// has an unknown value. In "auto", color needs a terminal and no NO_COLOR.
func newPrinter(c command, out io.Writer) (*printer, error) {
	p := &printer{out: out}
	o, ok := c.(interface{ options() *outputFlags })
	if !ok {
		return p, nil
	}
	opts := o.options()
	switch opts.Output {
	case "text":
	case "json":
		p.json = true
	default:
		return nil, errors.Newf("--output %s: want text or json", opts.Output)
	}
	switch opts.Color {
	case "auto":
		f, isFile := out.(*os.File)
		p.color = isFile && isTerminal(f) && os.Getenv("NO_COLOR") == ""
	case "always":
		p.color = true
	case "never":
	default:
		return nil, errors.Newf("--color %s: want auto, always or never", opts.Color)
	}
	return p, nil
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// exitCode prints an error and maps it to an exit code.
func exitCode(name string, err error, errOut io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrFaulty):
		return ExitFault // the command has printed the faults
	case errors.Is(err, conf.ErrInvalid):
		writef(errOut, "%v\n", err)
		return ExitFault
	case errors.Is(err, ErrUnreachable):
		writef(errOut, "stile %s: %v\n", name, err)
		return ExitUnreachable
	}
	writef(errOut, "stile %s: %v\n", name, err)
	return ExitFault
}

// newCommand returns the command with a name or alias, or nil if there is none.
func newCommand(name string) command {
	for _, e := range registry {
		for _, n := range e.names {
			if n == name {
				return e.create()
			}
		}
	}
	return nil
}

// printUsage prints the list of commands and the exit codes.
func printUsage(out io.Writer) {
	sort.Slice(registry, func(i, j int) bool { return registry[i].names[0] < registry[j].names[0] })
	writef(out, "%s\nusage: stile COMMAND [ARGUMENTS]; stile COMMAND --help tells more\n", daemon.VersionText("stile"))
	for _, e := range registry {
		writef(out, "  %-11s %s\n", e.names[0], e.create().Help())
	}
	writef(out, "exit codes: 0 well, 1 faults found, 2 wrong usage, 3 nobody answered\n")
}
