package httpc

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionstile/share/clock"
	"dandelionstile/share/router"
)

// fullListener returns an address whose accept queue is full: the opening of a connection to it
// gets neither an answer nor a refusal.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, unix.Close(fd)) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	bound, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	in, ok := bound.(*unix.SockaddrInet4)
	assert.Assert(t, ok)
	address := netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String()
	for range 10 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() }) // no longer in use
	}
	t.Fatal("the accept queue does not fill up")
	return ""
}

// awaitDial waits until a connection is being opened.
func awaitDial(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			return poll.Error(err)
		}
		for _, entry := range list {
			fd, err := strconv.Atoi(entry.Name())
			if err != nil {
				return poll.Error(err)
			}
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			if err == nil && info.State == unix.BPF_TCP_SYN_SENT {
				return poll.Success()
			}
		}
		return poll.Continue("no connection is being opened")
	}, poll.WithDelay(time.Millisecond))
}

// A host that stopped waited for connections that it opened ahead or checked, and for probes, up to
// 0.8 s.
func TestCloseWaitsForDialsAndProbes(t *testing.T) {
	full := fullListener(t)
	silent := serve(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	for name, start := range map[string]func(*testing.T, *Pool){
		"opened ahead": func(t *testing.T, p *Pool) {
			p.Preconnect(full)
			awaitDial(t)
		},
		"check": func(t *testing.T, p *Pool) {
			p.CheckConn(router.CheckConn{Leaf: "leaf-1", Address: full})
			awaitDial(t)
		},
		"probe": func(t *testing.T, p *Pool) {
			p.Probe(router.Probe{Leaf: "leaf-1", Address: full, Path: "/"})
			awaitDial(t)
		},
		"open probe": func(_ *testing.T, p *Pool) {
			p.Probe(router.Probe{Leaf: "leaf-1", Address: silent.ln.Addr().String(), Path: "/"})
			<-silent.accepted
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{
				Dialect: DefaultDialect, Clock: clock.Wall{},
				OnProbed:      func(r router.ProbeResult) { t.Errorf("a probe that Close cancels is reported: %v", r) },
				OnConnRefused: func(r router.ConnRefused) { t.Errorf("a check that Close cancels is reported: %v", r) },
			}
			start(t, p)
			began := time.Now()
			assert.NilError(t, p.Close())
			took := time.Since(began)
			assert.Assert(t, took < dialTimeout/2, "Close took %s", took)
		})
	}
}
