// Package cmds holds stile's commands, one file each. A command is a struct with
// argument tags that registers itself with its names.
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
	// ExitOK: all is well.
	ExitOK = 0
	// ExitFault: what was looked at is faulty, or incomplete.
	ExitFault = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitUnreachable: nobody answered.
	ExitUnreachable = 3
)

// Errors that commands return.
var (
	// ErrFaulty: what was looked at is faulty or incomplete; it has been
	// printed.
	ErrFaulty = errors.New("faults were found")
	// ErrUnreachable: no program answered.
	ErrUnreachable = errors.New("no answer")
)

// command is one command.
type command interface {
	// Help is one line for the list of commands.
	Help() string
	// Run does the work and prints to out.
	Run(out *printer) error
}

// entry is a registered command.
type entry struct {
	names []string
	make  func() command
}

var entries []entry

// register adds a command under its name and aliases.
func register(c func() command, names ...string) {
	entries = append(entries, entry{names: names, make: c})
}

// output holds the flags that all commands have.
type output struct {
	Output string `arg:"--output,-o" default:"text" placeholder:"FORM" help:"text or json"`
	Color  string `arg:"--color" default:"auto" placeholder:"WHEN" help:"auto, always or never"`
}

func (o *output) options() *output { return o }

// printer writes a command's result as text or JSON.
type printer struct {
	out   io.Writer
	json  bool
	color bool
}

// line prints a line of text; with JSON output it prints nothing.
func (p *printer) line(format string, args ...any) {
	if !p.json {
		_, _ = fmt.Fprintf(p.out, format+"\n", args...) // a reader that is gone ends nothing
	}
}

// value prints the whole result as JSON when that is asked for.
func (p *printer) value(v any) error {
	if !p.json {
		return nil
	}
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "encode result")
}

// Colours of a terminal.
const (
	red    = "31"
	yellow = "33"
	green  = "32"
)

// paint colours a word when the output is a terminal.
func (p *printer) paint(color, text string) string {
	if !p.color {
		return text
	}
	return "\x1b[" + color + "m" + text + "\x1b[0m"
}

// Main runs the command that the arguments name and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || strings.HasPrefix(args[0], "-") {
		usage(out)
		if len(args) > 0 && (args[0] == "help" || args[0] == "--help" || args[0] == "-h") {
			return ExitOK
		}
		return ExitUsage
	}
	c := find(args[0])
	if c == nil {
		say(errOut, "stile: no command %q; see stile help\n", args[0])
		return ExitUsage
	}
	p, err := arg.NewParser(arg.Config{Program: "stile " + args[0]}, c)
	if err != nil {
		say(errOut, "stile: %v\n", err)
		return ExitUsage
	}
	if err := p.Parse(args[1:]); err != nil {
		return parseEnd(p, err, out, errOut)
	}
	pr, err := newPrinter(c, out)
	if err != nil {
		say(errOut, "stile %s: %v\n", args[0], err)
		return ExitUsage
	}
	return code(args[0], c.Run(pr), errOut)
}

func say(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func parseEnd(p *arg.Parser, err error, out, errOut io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(out)
		return ExitOK
	}
	say(errOut, "stile: %v\n", err)
	p.WriteUsage(errOut)
	return ExitUsage
}

func newPrinter(c command, out io.Writer) (*printer, error) {
	p := &printer{out: out}
	o, ok := c.(interface{ options() *output })
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

// code turns an error into an exit code and a message.
func code(name string, err error, errOut io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrFaulty):
		return ExitFault
	case errors.Is(err, conf.ErrInvalid):
		say(errOut, "%v\n", err)
		return ExitFault
	case errors.Is(err, ErrUnreachable):
		say(errOut, "stile %s: %v\n", name, err)
		return ExitUnreachable
	}
	say(errOut, "stile %s: %v\n", name, err)
	return ExitFault
}

func find(name string) command {
	for _, e := range entries {
		for _, n := range e.names {
			if n == name {
				return e.make()
			}
		}
	}
	return nil
}

func usage(out io.Writer) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].names[0] < entries[j].names[0] })
	say(out, "%s\nusage: stile COMMAND [ARGUMENTS]; stile COMMAND --help tells more\n", daemon.VersionText("stile"))
	for _, e := range entries {
		say(out, "  %-11s %s\n", e.names[0], e.make().Help())
	}
	say(out, "exit codes: 0 well, 1 faults found, 2 wrong usage, 3 nobody answered\n")
}
