package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dandelionstile/fakes/leaf"
	"dandelionstile/share/topo"
)

// backendCommand serves the backend servers of an inventory at their addresses until
// it gets a signal.
type backendCommand struct {
	Control   string        `arg:"--control" default:"127.0.0.1:6001" help:"address of the control endpoint that injects failures"`
	Only      []string      `arg:"--only,separate" placeholder:"SERVER" help:"serve only these"`
	Service   time.Duration `arg:"--service-time" default:"3ms" help:"time of a query without jitter"`
	Connect   time.Duration `arg:"--connect-time" default:"6ms" help:"delay of the first reply on a new connection"`
	Warm      time.Duration `arg:"--warm" default:"10s" help:"time from a cold start to full capacity"`
	Restart   time.Duration `arg:"--restart" default:"1s" help:"time from a crash to the restart"`
	Inventory []string      `arg:"positional,required" help:"inventory files"`
}

func (c *backendCommand) run() error {
	var parts []topo.Part
	for _, f := range c.Inventory {
		body, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		parts = append(parts, topo.Part{Name: filepath.Base(f), Body: body})
	}
	cfg, err := topo.Parse(1, parts)
	if err != nil {
		return err
	}
	control := leaf.Control{Servers: map[string]*leaf.Server{}}
	for _, spec := range cfg.Inventory.Servers {
		if len(c.Only) > 0 && !slices.Contains(c.Only, spec.Name) {
			continue
		}
		s := leaf.New(spec, leaf.Model{
			ServiceTime: c.Service, Jitter: c.Service / 2, ConnectTime: c.Connect, WarmUp: c.Warm, RestartDelay: c.Restart, Seed: 1,
		})
		if _, err := s.Start(spec.Address); err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
		control.Servers[spec.Name] = s
	}
	server := http.Server{Addr: c.Control, Handler: control.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.ListenAndServe() }() // returns after Close
	fmt.Println("serving", len(control.Servers), "backend servers; control on", c.Control)
	awaitSignal()
	return server.Close()
}

// splitPair splits KEY=VALUE, and reports whether there is an equals sign.
func splitPair(s string) (before, after string, ok bool) { return strings.Cut(s, "=") }
