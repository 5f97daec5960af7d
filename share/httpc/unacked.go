package httpc

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout closes a connection whose peer acknowledges no data because
	// its host is down or unreachable.
	unackedTimeout = 1500 * time.Millisecond
	// unackedInterval is how often a connection that sends a large body is checked.
	unackedInterval = 250 * time.Millisecond
)

// setSocketOptions sets the options of a connection before it is opened.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, unackedTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT; 0 disables it.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// tcpInfo returns the kernel's state of a connection.
func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var optErr error
	err := raw.Control(func(fd uintptr) {
		info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.CombineErrors(err, optErr)
}

// isReset reports whether a connection that has ended was reset, and not closed in order. A
// socket reports its reset only once, which may be to a write, and after that an orderly end.
func (c *conn) isReset() bool {
	socket, ok := c.net.(syscall.Conn)
	if !ok {
		return false // not of TCP
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // closed by this host
	}
	info, err := tcpInfo(raw)
	return err != nil || info.State == unix.BPF_TCP_CLOSE
}

// isUnacked reports whether a peer has left data, or probes of its full buffer, without an
// acknowledgement for unackedTimeout.
func isUnacked(info *unix.TCPInfo) bool {
	return (info.Unacked > 0 || info.Probes > 1) && time.Duration(info.Last_ack_recv)*time.Millisecond > unackedTimeout
}

// awaitSlowReader lets a leaf read a large body late, such as when the request waits there
// for a slot. The kernel counts the time for which the leaf's buffer is full as time without
// an acknowledgement, and would end the request after unackedTimeout. Instead, the
// connection is closed if acknowledgements are missing. The returned function ends this.
func (c *conn) awaitSlowReader() (end func()) {
	none := func() {}
	socket, ok := c.net.(syscall.Conn)
	if !ok {
		return none
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return none // the connection is closed
	}
	if _, err := tcpInfo(raw); err != nil {
		return none // cannot be checked, so the kernel's timeout stays
	}
	if err := setUserTimeout(raw, 0); err != nil {
		return none
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		c.closeUnacked(raw, stop)
	}()
	return func() {
		close(stop)
		<-stopped
		_ = setUserTimeout(raw, unackedTimeout) // fails only if the connection is closed
	}
}

// closeUnacked closes the connection if its peer does not acknowledge data, until stop is
// closed.
func (c *conn) closeUnacked(raw syscall.RawConn, stop <-chan struct{}) {
	ticks := time.NewTicker(unackedInterval)
	defer ticks.Stop()
	for {
		select {
		case <-stop:
			return
		case <-c.ended:
			return
		case <-ticks.C:
		}
		if info, err := tcpInfo(raw); err != nil || isUnacked(info) {
			c.close()
			return
		}
	}
}
