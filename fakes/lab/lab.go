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

// Lab is a deployment that runs on loopback. The fields up to the blank line are
// set before Start.
type Lab struct {
	// Bin is the directory of the programs, Dir the one for settings and logs.
	Bin    string
	Dir    string
	Layout Layout
	Model  leaf.Model
	Rules  string
	// UseRelays puts a relay in front of each link listener, so that tests can
	// break the connections between hosts.
	UseRelays bool
	// ServeRoutes makes the entries serve the routes in the rules.
	ServeRoutes bool

	Platform     plat.Platform
	Servers      map[string]*leaf.Server
	Specs        []topo.Server
	Hosts        []*Host
	Version      uint64 // of the configuration that was published last
	platformAddr string
}

// labCount numbers the labs of this process, since each has host IPs of its own.
var labCount atomic.Int64

// portPool allocates the ports of all labs of this process.
var portPool ports.Pool

// Host is a host with an entry and an aggregator.
type Host struct {
	Name   string
	Domain string
	IP     string
	// CallerAddress is where the entry accepts callers. The programs serve their
	// status at the admin addresses.
	CallerAddress string
	// RouteAddress is where the entry accepts callers of routes.
	RouteAddress      string
	EntryAdminAddress string
	AggAdminAddress   string
	Entry             *Process
	Aggregator        *Process

	gossipAddress, forwardAddress    string // used by the other entries for routes
	entryListen, aggListen           string // link listeners of the programs
	entryPeerAddress, aggPeerAddress string // where peers connect: the relay, if there is one
	entryRelay, aggRelay             *relay.Relay
	removed                          bool // not in the platform's host list
}

// UnexpectedExit returns the error of the first program, in the order of the hosts, that
// exited unexpectedly, or nil.
func (l *Lab) UnexpectedExit() error {
	for _, h := range l.Hosts {
		for _, p := range []*Process{h.Entry, h.Aggregator} {
			if p == nil {
				continue
			}
			if err := p.UnexpectedExit(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Start starts the platform and the backend servers, then the hosts.
func (l *Lab) Start() error {
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	addr, err := l.Platform.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	l.platformAddr = addr
	l.Servers = map[string]*leaf.Server{}
	l.Specs = l.Layout.Servers(func(string) string { return "" }) // addresses are set below
	for i := range l.Specs {
		// A server listens on the same port again after a crash.
		if l.Specs[i].Address, err = portPool.Allocate("127.0.0.1"); err != nil {
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
	subnet := 1 + labCount.Add(1)%250
	for i := range l.Layout.Hosts {
		h := &Host{
			Name: fmt.Sprintf("host-%d", i), Domain: l.Layout.Domains[i%len(l.Layout.Domains)],
			IP: fmt.Sprintf("127.0.%d.%d", subnet, 10+i),
		}
		if err := l.assignAddresses(h); err != nil {
			return err
		}
		l.Hosts = append(l.Hosts, h)
	}
	l.PublishHosts()
	l.Publish(l.Rules)
	for _, h := range l.Hosts {
		if err := l.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

// assignAddresses allocates the addresses of a host and starts its relays.
func (l *Lab) assignAddresses(h *Host) error {
	for _, target := range []*string{&h.CallerAddress, &h.RouteAddress, &h.gossipAddress, &h.forwardAddress, &h.EntryAdminAddress, &h.AggAdminAddress, &h.entryListen, &h.aggListen} {
		addr, err := portPool.Allocate(h.IP)
		if err != nil {
			return err
		}
		*target = addr
	}
	h.entryPeerAddress, h.aggPeerAddress = h.entryListen, h.aggListen
	if !l.UseRelays {
		return nil
	}
	h.entryRelay = &relay.Relay{Target: h.entryListen}
	h.aggRelay = &relay.Relay{Target: h.aggListen}
	var err error
	if h.entryPeerAddress, err = h.entryRelay.Start(h.IP + ":0"); err != nil {
		return err
	}
	h.aggPeerAddress, err = h.aggRelay.Start(h.IP + ":0")
	return err
}

// Publish publishes the layout with these rules as the next version.
func (l *Lab) Publish(rules string) {
	l.Version++
	l.Rules = rules
	l.Platform.PutConfig(l.Version, l.Layout.Parts(l.Specs, rules))
}

// PublishHosts publishes the host lists, without removed hosts. Their version is the
// current time, so that it increases.
func (l *Lab) PublishHosts() {
	version := uint64(time.Now().UnixNano())
	for _, d := range l.Layout.Domains {
		list := topo.HostList{Version: version}
		for _, h := range l.Hosts {
			if h.Domain == d && !h.removed {
				list.Hosts = append(list.Hosts, topo.Host{
					Name: h.Name, Domain: d, Entry: h.entryPeerAddress, Aggregator: h.aggPeerAddress,
				})
			}
		}
		l.Platform.PutHosts(d, list)
	}
}

// StartHost starts or restarts the programs of a host.
func (l *Lab) StartHost(h *Host) error {
	var err error
	if h.Aggregator, err = l.startProgram(h, "aggregator", h.aggListen, h.AggAdminAddress, ""); err != nil {
		return err
	}
	h.Entry, err = l.startProgram(h, "entry", h.entryListen, h.EntryAdminAddress, h.CallerAddress)
	return err
}

// startProgram writes a settings file and starts a program with it. The parameters
// links, admin and callers are addresses; only an entry has one for callers.
func (l *Lab) startProgram(h *Host, program, links, admin, callers string) (*Process, error) {
	text := fmt.Sprintf("host: {name: %s, failure-domain: %s}\nlisten:\n  links: %s\n  admin: %s\n", h.Name, h.Domain, links, admin)
	if callers != "" {
		text += "  callers: " + callers + "\n"
	}
	text += "platform: {address: " + l.platformAddr + "}\npeers:\n"
	for _, other := range l.Hosts {
		text += "  - " + other.aggPeerAddress + "\n"
	}
	if l.ServeRoutes && callers != "" {
		text += fmt.Sprintf("routes:\n  listen: %s\n  gossip: %s\n  relay: %s\n  seeds: [%s]\n",
			h.RouteAddress, h.gossipAddress, h.forwardAddress, l.Hosts[0].gossipAddress)
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
	// The programs exit with this process, even if it is killed.
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

// KillHost kills both programs of a host.
func (l *Lab) KillHost(h *Host) {
	h.Entry.Kill()
	h.Aggregator.Kill()
}

// Freeze suspends both programs of a host with SIGSTOP, or resumes them.
func (h *Host) Freeze(frozen bool) {
	s := syscall.SIGCONT
	if frozen {
		s = syscall.SIGSTOP
	}
	h.Entry.Signal(s)
	h.Aggregator.Signal(s)
}

// SetDomainLinks sets the state of the relays between two failure domains. The lab
// must use relays.
func (l *Lab) SetDomainLinks(a, b string, s relay.State) {
	for _, from := range l.Hosts {
		for _, to := range l.Hosts {
			if (from.Domain == a && to.Domain == b) || (from.Domain == b && to.Domain == a) {
				to.entryRelay.SetState(from.IP, s)
				to.aggRelay.SetState(from.IP, s)
			}
		}
	}
}

// Close stops everything. It returns the error of the first program that had exited
// unexpectedly, combined with the errors of stopping the rest.
func (l *Lab) Close() error {
	err := l.UnexpectedExit()
	type result struct {
		name string
		err  error
	}
	results := make(chan result)
	n := 0
	for _, h := range l.Hosts {
		for _, p := range []*Process{h.Entry, h.Aggregator} {
			if p == nil {
				continue
			}
			select {
			case <-p.done:
				continue // has exited
			default:
			}
			n++
			go func() {
				p.Signal(syscall.SIGCONT) // a frozen program would not handle SIGTERM
				results <- result{p.name, p.Stop()}
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
