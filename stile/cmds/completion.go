package cmds

import "strings"

func init() { register(func() command { return &completion{} }, "completion") }

// completion prints a script that completes stile's commands in bash.
type completion struct{ output }

// Help describes the command.
func (*completion) Help() string { return "print a completion script for bash" }

// Run prints it.
func (*completion) Run(out *printer) error {
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.names[0])
	}
	out.line("complete -W %q stile", strings.Join(names, " "))
	return out.value(names)
}
