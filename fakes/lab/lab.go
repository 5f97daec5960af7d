package lab

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionstile/fakes/leaf"
	"dandelionstile/fakes/plat"
	"dandelionstile/fakes/ports"
	"dandelionstile/fakes/relay"
	"dandelionstile/share/topo"
)

// Lab is a running deployment on loopback. Fields above the line are set before
// Start.
type Lab struct {
	// Bin is where the programs are; Dir takes settings and logs.
	Bin    string
	Dir    string
	Layout Layout
	Model  leaf.Model
	Rules  string
	// Relays puts a relay in front of each link listener, so that hosts can be
	// cut off from each other.
	Relays bool
	// Routes lets the entries serve the routes of the rules.
	Routes bool

	Platform plat.Platform
	Servers  map[string]*leaf.Server
	Specs    []topo.Server
	Hosts    []*Host
	Version  uint64
	platform string
}

// labs counts the labs of this process; the hosts of each have IPs of their own.
var labs atomic.Int64

// free hands out the ports of all labs of this process.
var free ports.Pool

// Host is one entry host with its two programs.
type Host struct {
	Name   string
	Domain string
	IP     string
	// Callers, and the two admin addresses, are where the programs are asked.
	Callers string
	// Routes is where callers of routes connect.
	Routes     string
	EntryAdmin string
	AggAdmin   string
	Entry      *Process
	Aggregator *Process

	gossip, relay          string // where other entries reach the routes
	entryLinks, aggLinks   string // where the programs listen
	entryPublic, aggPublic string // where peers connect
	entryRelay, aggRelay   *relay.Relay
	gone                   bool
}

// Ended returns the first program's fault that ended by itself.
func (l *Lab) Ended() error {
	for _, h := range l.Hosts {
		for _, p := range []*Process{h.Entry, h.Aggregator} {
			if p == nil {
				continue
			}
			if err := p.Ended(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Start begins with the platform and the backend servers, then the hosts.
func (l *Lab) Start() error {
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	addr, err := l.Platform.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	l.platform = addr
	l.Servers = map[string]*leaf.Server{}
	l.Specs = l.Layout.Servers(func(string) string { return "" }) // picked below
	for i := range l.Specs {
		// A server listens on the same port again after a crash.
		if l.Specs[i].Address, err = free.Free("127.0.0.1"); err != nil {
			return err
		}
		s := leaf.New(l.Specs[i], l.Model)
		addr, err := s.Start(l.Specs[i].Address)
		if err != nil {
			return err
		}
		l.Specs[i].Address = addr
		l.Servers[l.Specs[i].Name] = s
	}
	subnet := 1 + labs.Add(1)%250
	for i := range l.Layout.Hosts {
		h := &Host{
			Name: fmt.Sprintf("host-%d", i), Domain: l.Layout.Domains[i%len(l.Layout.Domains)],
			IP: fmt.Sprintf("127.0.%d.%d", subnet, 10+i),
		}
		if err := l.place(h); err != nil {
			return err
		}
		l.Hosts = append(l.Hosts, h)
	}
	l.PublishHosts()
	l.Publish(l.Rules)
	for _, h := range l.Hosts {
		if err := l.Run(h); err != nil {
			return err
		}
	}
	return nil
}

// place picks a host's addresses.
func (l *Lab) place(h *Host) error {
	for _, to := range []*string{&h.Callers, &h.Routes, &h.gossip, &h.relay, &h.EntryAdmin, &h.AggAdmin, &h.entryLinks, &h.aggLinks} {
		addr, err := free.Free(h.IP)
		if err != nil {
			return err
		}
		*to = addr
	}
	h.entryPublic, h.aggPublic = h.entryLinks, h.aggLinks
	if !l.Relays {
		return nil
	}
	h.entryRelay = &relay.Relay{Target: h.entryLinks}
	h.aggRelay = &relay.Relay{Target: h.aggLinks}
	var err error
	if h.entryPublic, err = h.entryRelay.Start(h.IP + ":0"); err != nil {
		return err
	}
	h.aggPublic, err = h.aggRelay.Start(h.IP + ":0")
	return err
}

// Publish puts the layout with these rules on the platform as the next version.
func (l *Lab) Publish(rules string) {
	l.Version++
	l.Rules = rules
	l.Platform.PutConfig(l.Version, l.Layout.Parts(l.Specs, rules))
}

// PublishHosts puts the hosts that have not gone on the platform's host list.
func (l *Lab) PublishHosts() {
	version := uint64(time.Now().UnixNano())
	for _, d := range l.Layout.Domains {
		list := topo.HostList{Version: version}
		for _, h := range l.Hosts {
			if h.Domain == d && !h.gone {
				list.Hosts = append(list.Hosts, topo.Host{
					Name: h.Name, Domain: d, Entry: h.entryPublic, Aggregator: h.aggPublic,
				})
			}
		}
		l.Platform.PutHosts(d, list)
	}
}

// Run starts a host's programs, anew if they ran before.
func (l *Lab) Run(h *Host) error {
	var err error
	if h.Aggregator, err = l.spawn(h, "aggregator", h.aggLinks, h.AggAdmin, ""); err != nil {
		return err
	}
	h.Entry, err = l.spawn(h, "entry", h.entryLinks, h.EntryAdmin, h.Callers)
	return err
}

// spawn writes a settings file and starts a program with it.
func (l *Lab) spawn(h *Host, program, links, admin, callers string) (*Process, error) {
	text := fmt.Sprintf("host: {name: %s, failure-domain: %s}\nlisten:\n  links: %s\n  admin: %s\n", h.Name, h.Domain, links, admin)
	if callers != "" {
		text += "  callers: " + callers + "\n"
	}
	text += "platform: {address: " + l.platform + "}\npeers:\n"
	for _, other := range l.Hosts {
		text += "  - " + other.aggPublic + "\n"
	}
	if l.Routes && callers != "" {
		text += fmt.Sprintf("routes:\n  listen: %s\n  gossip: %s\n  relay: %s\n  seeds: [%s]\n",
			h.Routes, h.gossip, h.relay, l.Hosts[0].gossip)
	}
	base := filepath.Join(l.Dir, h.Name+"-"+program)
	if err := os.WriteFile(base+".yaml", []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command(filepath.Join(l.Bin, program), "--settings", base+".yaml")
	cmd.Stderr = log
	// The programs end with the one that started them, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p := &Process{name: h.Name + " " + program, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// KillHost ends both programs of a host at once.
func (l *Lab) KillHost(h *Host) {
	h.Entry.Kill()
	h.Aggregator.Kill()
}

// Freeze stops both programs of a host without their notice, or lets them go
// on.
func (h *Host) Freeze(on bool) {
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
	}
	h.Entry.Signal(s)
	h.Aggregator.Signal(s)
}

// CutDomains sets how the hosts of two failure domains reach each other.
func (l *Lab) CutDomains(a, b string, s relay.State) {
	for _, from := range l.Hosts {
		for _, to := range l.Hosts {
			if (from.Domain == a && to.Domain == b) || (from.Domain == b && to.Domain == a) {
				to.entryRelay.SetState(from.IP, s)
				to.aggRelay.SetState(from.IP, s)
			}
		}
	}
}

// Close stops everything. It returns the faults of programs that did not end
// in order.
func (l *Lab) Close() error {
	err := l.Ended()
	type ended struct {
		name string
		err  error
	}
	results := make(chan ended)
	n := 0
	for _, h := range l.Hosts {
		for _, p := range []*Process{h.Entry, h.Aggregator} {
			if p == nil {
				continue
			}
			select {
			case <-p.done:
				continue // ended earlier
			default:
			}
			n++
			go func() {
				p.Signal(syscall.SIGCONT)
				results <- ended{p.name, p.Stop()}
			}()
		}
	}
	for range n {
		if r := <-results; r.err != nil {
			err = errors.CombineErrors(err, errors.Wrap(r.err, r.name))
		}
	}
	for _, h := range l.Hosts {
		for _, r := range []*relay.Relay{h.entryRelay, h.aggRelay} {
			if r != nil {
				err = errors.CombineErrors(err, r.Close())
			}
		}
	}
	for _, s := range l.Servers {
		err = errors.CombineErrors(err, s.Close())
	}
	return errors.CombineErrors(err, l.Platform.Close())
}
