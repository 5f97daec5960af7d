// Command second plays the cases of the second independent review: it starts the project's
// program as the deploy file does, beside stand-ins of the store, the leaves and the clients, and
// judges a rule by what these have seen.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns the exit code, or an error if it could not run.
var cases = map[string]func(folder string) (int, error){
	"foreign-entry": foreignEntry,
	"cold-leaf":     coldLeaf,
	"crash-loop":    crashLoop,
	"attempts":      attempts,
	"forgotten":     forgotten,
	"top-k":         topK,
	"caller-header": callerHeader,
	"new-leaf":      newLeaf,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	code, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	os.Exit(code)
}
