// Command soak runs the real program as many processes on loopback, injects faults
// on a random schedule, and checks the system's guarantees from what callers and
// leaves observe. A seed repeats the schedule, but not the timing of the
// processes.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"dandelionstile/soak/runner"
)

// sharedFlags are the flags of all subcommands.
type sharedFlags struct {
	Bin       string        `arg:"--bin" default:"bin/platform" placeholder:"FILE" help:"path of the platform program"`
	Dir       string        `arg:"--dir" placeholder:"DIR" help:"parent of the run's directory for settings and logs; the system's temporary directory if empty"`
	FaultTime time.Duration `arg:"--for" default:"20s" help:"time during which faults are injected"`
	Hosts     int           `arg:"--hosts" default:"6" help:"number of hosts"`
	Rate      int           `arg:"--rate" default:"60" help:"requests per second"`
	Stops     bool          `arg:"--stops" help:"mostly shut hosts down, in series and under idle connections"`
}

type runCommand struct {
	sharedFlags
	Seed uint64 `arg:"--seed,required" help:"seed of the fault schedule"`
}

type huntCommand struct {
	sharedFlags
	First uint64 `arg:"--first" default:"0" help:"first seed; taken from the current time if 0"`
	Count int    `arg:"--count" default:"10" help:"number of seeds"`
}

type replayCommand struct {
	sharedFlags
	Seeds string `arg:"--seeds" default:"soak/seeds.txt" placeholder:"FILE" help:"seeds that failed before, one per line with the cause"`
}

type arguments struct {
	Run    *runCommand    `arg:"subcommand:run" help:"run one seed"`
	Hunt   *huntCommand   `arg:"subcommand:hunt" help:"run many seeds to find failures"`
	Replay *replayCommand `arg:"subcommand:replay" help:"run the seeds that failed before"`
}

// Description returns the text at the head of the help.
func (arguments) Description() string {
	return "soak injects faults into real processes on a random schedule and checks the system's guarantees"
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	switch {
	case a.Run != nil:
		os.Exit(runSeeds(a.Run.sharedFlags, []uint64{a.Run.Seed}))
	case a.Hunt != nil:
		os.Exit(runSeeds(a.Hunt.sharedFlags, a.Hunt.seeds()))
	case a.Replay != nil:
		seeds, err := runner.ReadSeeds(a.Replay.Seeds)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		os.Exit(runSeeds(a.Replay.sharedFlags, seeds))
	}
	p.WriteHelp(os.Stdout)
	os.Exit(2)
}

// seeds returns Count consecutive seeds.
func (h *huntCommand) seeds() []uint64 {
	first := h.First
	if first == 0 {
		first = uint64(time.Now().UnixMilli())
	}
	seeds := make([]uint64, h.Count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// runSeeds runs seeds one after the other, prints their reports and returns the
// exit code. It stops at a seed whose environment could not be started.
func runSeeds(c sharedFlags, seeds []uint64) int {
	failed := 0
	for _, seed := range seeds {
		s := runner.Settings{Bin: c.Bin, Dir: c.Dir, Seed: seed, FaultTime: c.FaultTime, Hosts: c.Hosts, Rate: c.Rate, Stops: c.Stops}
		report, err := runner.Run(s)
		if err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", seed, err)
			return 1
		}
		fmt.Println(report)
		if len(report.Violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with a promise broken\n", len(seeds), failed)
	if failed > 0 {
		return 1
	}
	return 0
}
