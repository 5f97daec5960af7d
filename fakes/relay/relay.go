// Package relay simulates network failures between hosts for tests: a TCP relay
// in front of a listener that blocks, silences or slows the connections of some
// source IPs.
package relay

import (
	"net"
	"sync"
	"time"
)

// State is how the relay treats connections from a source IP.
type State uint8

// The states of a source IP.
const (
	// Open forwards all bytes.
	Open State = iota
	// Blocked closes the open connections, and new ones at once.
	Blocked
	// Silent keeps connections open and forwards nothing.
	Silent
	// OneWay forwards requests but no replies.
	OneWay
	// Slow forwards all bytes with a delay.
	Slow
)

// slowDelay is the delay of each read in state Slow.
const slowDelay = 80 * time.Millisecond

// Relay forwards connections to Target.
type Relay struct {
	Target string

	mu     sync.Mutex
	ln     net.Listener
	states map[string]State
	pairs  map[*pair]struct{}
	closed bool
	wg     sync.WaitGroup
}

// pair is a client's connection with the one to the target.
type pair struct {
	source  string
	in, out net.Conn
}

// Start listens on an address and forwards in the background. It returns the
// address.
func (r *Relay) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	r.ln = ln
	r.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { r.forward(c) })
		}
	})
	return ln.Addr().String(), nil
}

// SetState sets the state of a source IP. Blocked closes its connections at once; the
// other states apply to open connections from the next read on.
func (r *Relay) SetState(ip string, s State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.states == nil {
		r.states = map[string]State{}
	}
	r.states[ip] = s
	if s != Blocked {
		return
	}
	for p := range r.pairs {
		if p.source == ip {
			_ = p.in.Close()
			_ = p.out.Close()
		}
	}
}

func (r *Relay) state(ip string) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[ip]
}

// forward connects to the target and forwards in both directions until either end
// closes. It closes the connection if its source is blocked or the target can't be
// reached.
func (r *Relay) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	source, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	if r.state(source) == Blocked {
		return
	}
	// The target sees the source's own IP.
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	out, err := d.Dial("tcp", r.Target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	p := &pair{source: source, in: in, out: out}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	if r.pairs == nil {
		r.pairs = map[*pair]struct{}{}
	}
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(out, in, source, false) })
	copies.Go(func() { r.copy(in, out, source, true) })
	copies.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// copy forwards bytes until either end closes. Once bytes are dropped, the
// direction stays silent even after the source is open again, since the stream
// would have a gap. The bytes are still read, so that neither end notices. If
// replies is set, from is the target.
func (r *Relay) copy(to, from net.Conn, source string, replies bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buf)
		state := r.state(source)
		dropping = dropping || state == Silent || (state == OneWay && replies)
		if state == Slow {
			time.Sleep(slowDelay)
		}
		if n > 0 && !dropping {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close closes the listener and all connections, and waits until they are closed.
func (r *Relay) Close() error {
	_ = r.ln.Close()
	r.mu.Lock()
	r.closed = true
	for p := range r.pairs {
		_ = p.in.Close()
		_ = p.out.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	return nil
}
