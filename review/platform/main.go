package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// result is the outcome of a case.
type result struct {
	code int
	err  error
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(notRun)
	}
	cases := map[string]func(w *world, trouble bool) (int, error){"head": head, "junk": junk, "long": long, "storm": storm}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan result, 1)
	go func() {
		code, err := play(w, os.Getenv("TROUBLE") != "0")
		done <- result{code, err}
	}()
	r := result{notRun, fmt.Errorf("the case was stopped")}
	select {
	case r = <-done:
	case <-stop:
	case <-time.After(maxTime):
	}
	w.close()
	if r.err != nil {
		fmt.Fprintln(os.Stderr, r.err)
		r.code = notRun
	}
	os.Exit(r.code)
}
