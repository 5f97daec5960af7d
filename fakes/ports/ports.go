// Package ports allocates TCP ports for programs that are started later, or that
// listen on the same port again after a crash.
//
// A port from a listener on ":0" doesn't serve that purpose. Once the listener
// is closed, the kernel may give the port to an outgoing connection from the
// same IP, and the program fails with "address already in use".
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

// ErrNoFreePort means that all ports of an IP are in use.
var ErrNoFreePort = errors.New("no free port")

const (
	// minPort is above the ports that well-known programs listen on.
	minPort = 10000
	// defaultEphemeralStart is Linux's default for the first ephemeral port, see
	// ip(7).
	defaultEphemeralStart = 32768
	// pidStride is the distance between the first ports of processes with
	// consecutive ids. A process allocates fewer ports than that in a test.
	pidStride = 211
)

// Pool allocates the ports below the ephemeral ports in turn, so that it allocates a port
// again only after all others. The zero value is ready to use.
type Pool struct {
	mu   sync.Mutex
	next int
	end  int
}

// Allocate returns an address on an IP, with a port that no program listens on.
func (p *Pool) Allocate(ip string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end == 0 {
		triggerPidfdCheck()
		p.end = ephemeralStart()
		p.next = minPort + os.Getpid()*pidStride%(p.end-minPort)
	}
	for range p.end - minPort {
		address := net.JoinHostPort(ip, strconv.Itoa(p.next))
		p.next++
		if p.next >= p.end {
			p.next = minPort
		}
		if canListen(address) {
			return address, nil
		}
	}
	return "", errors.Wrapf(ErrNoFreePort, "%s, ports %d to %d", ip, minPort, p.end-1)
}

// triggerPidfdCheck makes package os check now whether the kernel supports pidfds.
// Package os does that once per process, when the first program is started or process
// looked up, and forks for it without taking ForkLock. If the check ran during a
// canListen, the child would inherit the listening socket, and the port would look in
// use.
func triggerPidfdCheck() {
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		return // there is no handle to release
	}
	_ = self.Release() // the handle isn't needed
}

// canListen reports whether a program can listen on an address. It holds
// ForkLock so that no program is started in the meantime: until its exec, the
// child would hold a copy of the socket, and the port would stay in use.
func canListen(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false // in use
	}
	_ = ln.Close() // nothing was accepted
	return true
}

// ephemeralStart returns the first port that the kernel uses for outgoing
// connections.
func ephemeralStart() int {
	body, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultEphemeralStart // not Linux
	}
	var first int
	if _, err := fmt.Sscan(strings.TrimSpace(string(body)), &first); err != nil || first <= minPort {
		return defaultEphemeralStart
	}
	return first
}
