package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"dandelionstile/fakes/plat"
	"dandelionstile/share/topo"
)

// platformCommand serves a configuration and host lists from files until it gets a
// signal.
type platformCommand struct {
	Address string   `arg:"--address" default:"127.0.0.1:6000" help:"IP and port"`
	Version uint64   `arg:"--version-number" default:"1" help:"version of the configuration"`
	Hosts   []string `arg:"--hosts,separate" placeholder:"DOMAIN=FILE" help:"host list of a failure domain"`
	Files   []string `arg:"positional" help:"inventory and rules files"`
}

func (c *platformCommand) run() error {
	var p plat.Platform
	parts := make([]topo.Part, 0, len(c.Files))
	for _, f := range c.Files {
		body, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		parts = append(parts, topo.Part{Name: filepath.Base(f), Body: body})
	}
	if len(parts) > 0 {
		p.PutConfig(c.Version, parts)
	}
	if err := c.putHosts(&p); err != nil {
		return err
	}
	addr, err := p.Start(c.Address)
	if err != nil {
		return err
	}
	fmt.Println("platform on", addr)
	awaitSignal()
	return p.Close()
}

// putHosts publishes the host lists in the files of the flag --hosts.
func (c *platformCommand) putHosts(p *plat.Platform) error {
	for _, h := range c.Hosts {
		domain, file, ok := splitPair(h)
		if !ok {
			return fmt.Errorf("--hosts %s: want DOMAIN=FILE", h)
		}
		body, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		list, err := topo.ParseHosts(body)
		if err != nil {
			return err
		}
		p.PutHosts(domain, list)
	}
	return nil
}

// awaitSignal blocks until SIGTERM or SIGINT arrives.
func awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}
