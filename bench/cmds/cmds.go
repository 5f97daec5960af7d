// Package cmds implements the subcommands of bench, one per file. A command is a
// struct with go-arg tags that registers itself.
package cmds

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// ErrBound is returned if a figure is out of its bounds.
var ErrBound = errors.New("figures out of bounds")

// command is one subcommand.
type command interface {
	// Help returns one line for the list of commands.
	Help() string
	Run() error
}

var commands = map[string]command{}

// register adds a command under its name.
func register(name string, c command) { commands[name] = c }

// Main runs the command that the arguments name and returns the exit code.
func Main() int {
	args := os.Args[1:]
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		printUsage()
		return exitUsage
	}
	c, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(os.Stderr, "bench: unknown command %q\n", args[0])
		printUsage()
		return exitUsage
	}
	p, err := arg.NewParser(arg.Config{Program: "bench " + args[0]}, c)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		return exitFailure
	}
	p.MustParse(args[1:])
	if err := c.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "bench %s: %v\n", args[0], err)
		return exitFailure
	}
	return exitOK
}

// printUsage prints the list of commands.
func printUsage() {
	names := make([]string, 0, len(commands))
	for n := range commands {
		names = append(names, n)
	}
	sort.Strings(names)
	fmt.Println("usage: bench COMMAND [ARGUMENTS]; see bench COMMAND --help")
	for _, n := range names {
		fmt.Printf("  %-10s %s\n", n, commands[n].Help())
	}
}
