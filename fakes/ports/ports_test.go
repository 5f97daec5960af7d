package ports

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against "address already in use" at the start of a program. Its port is
// allocated first; until the program starts, hundreds of outgoing connections
// from the same IP may get any port of the kernel's ephemeral range.
func TestPortsStayFreeBesideOutgoingConnections(t *testing.T) {
	const ip = "127.0.251.1"
	target, err := net.Listen("tcp", "127.0.251.2:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, target.Close()) }()
	var pool Pool
	var addresses []string
	for range 300 {
		address, err := pool.Allocate(ip)
		assert.NilError(t, err)
		addresses = append(addresses, address)
	}
	first := ephemeralStart()
	for _, address := range addresses {
		parsed, err := net.ResolveTCPAddr("tcp", address)
		assert.NilError(t, err)
		assert.Assert(t, parsed.Port < first, "%s can be taken by an outgoing connection (from %d on)", address, first)
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	for range 300 {
		c, err := d.Dial("tcp", target.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }() // nothing was sent
	}
	for _, address := range addresses {
		ln, err := net.Listen("tcp", address)
		assert.NilError(t, err, "an allocated port was taken in the meantime")
		defer func() { assert.NilError(t, ln.Close()) }()
	}
}

// If two programs of a host got the same port, the second wouldn't start.
func TestNoPortIsGivenTwice(t *testing.T) {
	var pool Pool
	seen := map[string]bool{}
	for range 3000 {
		address, err := pool.Allocate("127.0.251.3")
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], "%s given twice", address)
		seen[address] = true
	}
}

// A port that another program listens on must be skipped.
func TestTakenPortIsPassedOver(t *testing.T) {
	var pool Pool
	address, err := pool.Allocate("127.0.251.4")
	assert.NilError(t, err)
	pool.next-- // offers the same port again
	ln, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	other, err := pool.Allocate("127.0.251.4")
	assert.NilError(t, err)
	assert.Assert(t, other != address)
}

// Other tests start programs while a port is allocated. Between fork and exec a
// child holds a copy of all sockets of its parent; a copy of the listener that
// tested the port would keep the port in use.
func TestPortIsFreeWhileProgramsStart(t *testing.T) {
	stop := make(chan struct{})
	var starts sync.WaitGroup
	for range 4 {
		starts.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				assert.Check(t, exec.Command(os.Args[0], "-test.run=^$").Run())
			}
		})
	}
	defer starts.Wait()
	defer close(stop)
	var pool Pool
	for range 2000 {
		address, err := pool.Allocate("127.0.251.5")
		assert.NilError(t, err)
		ln, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, ln.Close())
	}
}
