// Command stile is the operators' command line. It reads files and queries the running
// programs; it changes nothing.
package main

import (
	"os"

	"dandelionstile/stile/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) }
