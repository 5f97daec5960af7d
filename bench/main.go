// Command bench measures dandelionstile's decisions in virtual time, and its
// programs over loopback.
package main

import (
	"os"

	"dandelionstile/bench/cmds"
)

func main() { os.Exit(cmds.Main()) }
