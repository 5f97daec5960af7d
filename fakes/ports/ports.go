// Package ports hands out TCP ports for programs that are started later, or that
// listen on the same port again after a crash.
//
// A port that the kernel hands out for ":0" is no good for that: once it is
// released, any connection that is dialled from the same IP may get it as its
// own port, and the program then fails with "address already in use".
package ports

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrNone says that no port is free on an IP.
var ErrNone = errors.New("no free port")

const (
	// lowest keeps away from the ports that well-known programs listen on.
	lowest = 10000
	// defaultEphemeral is the kernel's first port for outgoing connections where
	// it does not say (Linux, ip(7)).
	defaultEphemeral = 32768
	// apart is how far the first ports of processes with neighbouring ids lie
	// from each other: more than one of them takes in a test.
	apart = 211
)

// Pool hands out each port once in a process, below those that the kernel gives
// to outgoing connections. The zero value works.
type Pool struct {
	mu    sync.Mutex
	next  int
	below int
}

// Free returns an address on an IP whose port nobody listens on.
func (p *Pool) Free(ip string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.below == 0 {
		settleForks()
		p.below = ephemeral()
		p.next = lowest + os.Getpid()*apart%(p.below-lowest)
	}
	for range p.below - lowest {
		address := net.JoinHostPort(ip, strconv.Itoa(p.next))
		p.next++
		if p.next >= p.below {
			p.next = lowest
		}
		if listens(address) {
			return address, nil
		}
	}
	return "", errors.Wrapf(ErrNone, "%s, ports %d to %d", ip, lowest, p.below-1)
}

// settleForks lets the library find out at once how it may handle processes. It
// does so at the first start of a program or look-up of a process, once, by a
// fork of its own that takes no lock: a probe's socket would live on in it.
func settleForks() {
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		return // nothing was looked up, and nothing is held
	}
	_ = self.Release() // this process goes on without the handle
}

// listens tells whether an address can be listened on. No program is started
// meanwhile: its process would hold a copy of the socket until it executes, and
// the port would be taken for that long after the probe.
func listens(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false // taken: the next port is tried
	}
	_ = ln.Close() // nothing was accepted
	return true
}

// ephemeral is the first port that the kernel gives to outgoing connections.
func ephemeral() int {
	body, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultEphemeral // not Linux
	}
	var first int
	if _, err := fmt.Sscan(strings.TrimSpace(string(body)), &first); err != nil || first <= lowest {
		return defaultEphemeral
	}
	return first
}
