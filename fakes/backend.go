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

// backendCommand serves the backend servers of an inventory at their addresses.
type backendCommand struct {
	Control   string        `arg:"--control" default:"127.0.0.1:6001" help:"address that failures are switched on at"`
	Only      []string      `arg:"--only,separate" placeholder:"SERVER" help:"serve only these"`
	Service   time.Duration `arg:"--service-time" default:"3ms" help:"usual time of a query"`
	Connect   time.Duration `arg:"--connect-time" default:"6ms" help:"cost of a new connection"`
	Warm      time.Duration `arg:"--warm" default:"10s" help:"time from a cold start to full load"`
	Restart   time.Duration `arg:"--restart" default:"1s" help:"time that a crashed server stays away"`
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
	go func() { _ = server.ListenAndServe() }() // ends with the process
	fmt.Println("serving", len(control.Servers), "backend servers; control on", c.Control)
	awaitSignal()
	return server.Close()
}

func cut(s string) (before, after string, ok bool) { return strings.Cut(s, "=") }
