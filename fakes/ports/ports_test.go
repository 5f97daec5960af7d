package ports

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// A program's port is picked now and listened on later. Meanwhile hundreds of
// connections are dialled from the same IP, and each may get any port of the
// kernel's range for them. The program starts last and must find its port free:
// else it ends with "address already in use" and its host never answers.
func TestPortsStayFreeBesideOutgoingConnections(t *testing.T) {
	const ip = "127.0.251.1"
	target, err := net.Listen("tcp", "127.0.251.2:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, target.Close()) }()
	var pool Pool
	var picked []string
	for range 300 {
		address, err := pool.Free(ip)
		assert.NilError(t, err)
		picked = append(picked, address)
	}
	first := ephemeral()
	for _, address := range picked {
		at, err := net.ResolveTCPAddr("tcp", address)
		assert.NilError(t, err)
		assert.Assert(t, at.Port < first, "%s can be taken by an outgoing connection (from %d on)", address, first)
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	for range 300 {
		c, err := d.Dial("tcp", target.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }() // nothing was sent
	}
	for _, address := range picked {
		ln, err := net.Listen("tcp", address)
		assert.NilError(t, err, "a picked port was taken meanwhile")
		defer func() { assert.NilError(t, ln.Close()) }()
	}
}

// Two programs of one host must not be given the same port: the second would
// not start.
func TestNoPortIsGivenTwice(t *testing.T) {
	var pool Pool
	seen := map[string]bool{}
	for range 3000 {
		address, err := pool.Free("127.0.251.3")
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], "%s given twice", address)
		seen[address] = true
	}
}

// A port that another program listens on is passed over.
func TestTakenPortIsPassedOver(t *testing.T) {
	var pool Pool
	address, err := pool.Free("127.0.251.4")
	assert.NilError(t, err)
	pool.next--
	ln, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	other, err := pool.Free("127.0.251.4")
	assert.NilError(t, err)
	assert.Assert(t, other != address)
}

// A port is found free and listened on at once, while other tests start
// programs. Between fork and exec a child holds a copy of all of its parent's
// sockets: a probe's socket that it got keeps the port taken after the probe.
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
		address, err := pool.Free("127.0.251.5")
		assert.NilError(t, err)
		ln, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, ln.Close())
	}
}
