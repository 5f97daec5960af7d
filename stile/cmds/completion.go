package cmds

import "strings"

func init() { register(func() command { return &completion{} }, "completion") }

// completion prints a bash script that completes stile's commands.
type completion struct{ outputFlags }

// Help describes the command.
func (*completion) Help() string { return "print a completion script for bash" }

// Run prints the script.
func (*completion) Run(out *printer) error {
	names := make([]string, 0, len(registry))
	for _, e := range registry {
		names = append(names, e.names[0])
	}
	out.printText("complete -W %q stile", strings.Join(names, " "))
	return out.printJSON(names)
}
