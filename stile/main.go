// Command stile is the operators' command line. It reads files and asks the
// programs; it writes nothing anywhere.
package main

import (
	"os"

	"dandelionstile/stile/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) }
