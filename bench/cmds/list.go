package cmds

import (
	"fmt"

	"dandelionstile/bench/scene"
)

func init() { register("list", &list{}) }

// list prints the scenarios.
type list struct{}

// Help returns the description of the command.
func (*list) Help() string { return "list the scenarios with their goals" }

// Run prints the names and goals.
func (*list) Run() error {
	for _, s := range scene.All() {
		fmt.Printf("%-14s %s\n", s.Name, s.Goal)
	}
	return nil
}
