// Package mesh carries messages between dandelionstile's processes: protobuf
// frames on a few long-lived yamux streams per peer. It owns all sockets of the
// links and hands what arrives to a Handler.
package mesh

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"dandelionstile/share/fetch"
	"dandelionstile/share/wire"
)

// Errors of Send and of links.
var (
	// ErrClosed: the link is closed; the message was not sent.
	ErrClosed = errors.New("link is closed")
	// ErrBusy: the peer takes messages too slowly; the message was not sent.
	ErrBusy = errors.New("link is busy")
	// ErrProtocol: the peer sent what no dandelionstile process sends.
	ErrProtocol = errors.New("peer breaks the protocol")
	// ErrSilent: the peer does not answer pings.
	ErrUnresponsive = errors.New("peer is silent")
)

// Limits and timing of links.
const (
	// MaxFrameBytes is the largest message, in bytes.
	MaxFrameBytes = 4 << 20
	// streams is how many streams a link has: one for control, the others for
	// traffic, so that a large answer does not hold up a heartbeat.
	streams = 3
	// sendQueue is how many messages wait per stream before Send says ErrBusy.
	sendQueue   = 1024
	dialTimeout = 2 * time.Second
	// pingEvery is the pause between pings on a link that carries nothing, and
	// pingBusy on one that does; one that takes longer than pingTimeout closes
	// the link. The side that dialed pings.
	pingEvery    = 2 * time.Second
	pingBusy     = 10 * time.Second
	pingTimeout  = 2 * time.Second
	helloTimeout = 3 * time.Second
	redialLeast  = 100 * time.Millisecond
	redialMost   = 2 * time.Second
)

// Handler is told what happens on links. Its methods are called from many
// goroutines and must return soon.
type Handler interface {
	// Up: a link is ready; its Peer is known.
	Up(l *Link)
	// Frame: a message came.
	Frame(l *Link, m *wire.Envelope)
	// Down: the link is closed. No Frame follows.
	Down(l *Link, err error)
	// RTT: a ping was answered.
	RTT(l *Link, rtt time.Duration)
}

// Link is one connection to a peer.
type Link struct {
	// ID differs between all links of a process.
	ID uint64
	// Peer is what the other side said of itself.
	Peer *wire.Hello
	// DialedAddr is the address that this side dialed, or "".
	DialedAddr string

	session *yamux.Session
	queues  [streams]chan *wire.Envelope
	done    chan struct{}
	once    sync.Once
	err     error
	wait    sync.WaitGroup
	frames  atomic.Uint64 // received
}

var lastLink atomic.Uint64

// Send queues a message. It never blocks. A nil error does not mean that the
// peer got it; an error means that it certainly did not.
func (l *Link) Send(m *wire.Envelope) error {
	return l.put(l.queues[l.lane(m)], m)
}

func (l *Link) put(q chan *wire.Envelope, m *wire.Envelope) error {
	select {
	case <-l.done:
		return ErrClosed
	default:
	}
	select {
	case q <- m:
		return nil
	default:
		return ErrBusy
	}
}

// lane picks the stream: traffic goes by query so that one query's messages
// stay in order, all else goes first.
func (l *Link) lane(m *wire.Envelope) int {
	switch b := m.Body.(type) {
	case *wire.Envelope_Batch:
		if len(b.Batch.Calls) > 0 {
			return 1 + int(b.Batch.Calls[0].Id)%(streams-1)
		}
	case *wire.Envelope_Outcomes:
		if len(b.Outcomes.Outcomes) > 0 {
			return 1 + int(b.Outcomes.Outcomes[0].Call)%(streams-1)
		}
	case *wire.Envelope_Delta:
		return 1
	}
	return 0
}

// Fail closes the link without waiting, so it may be called from a Handler.
func (l *Link) Fail(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
		_ = l.session.Close() // the link is given up anyway
	})
}

// Close closes the link and waits for its goroutines.
func (l *Link) Close() error {
	l.Fail(ErrClosed)
	l.wait.Wait()
	return nil
}

// Mesh is one process's side of all links. Fields are set before Listen or
// Dial and then left alone.
type Mesh struct {
	Hello   *wire.Hello
	Handler Handler
	// TLS is used on all links when set.
	TLS *tls.Config
	// MaxLinks bounds the links accepted; 0 means DefaultMaxLinks.
	MaxLinks int
	// SourceIP is the IP that links are dialed from; empty leaves it to the
	// system. With it, a host's links come from the address it is known by.
	SourceIP string

	mu       sync.Mutex
	links    map[*Link]struct{}
	dials    map[string]context.CancelFunc
	listener net.Listener
	closed   bool
	wait     sync.WaitGroup
	accepted atomic.Int64
}

// DefaultMaxLinks is how many links a process accepts.
const DefaultMaxLinks = 16384

// Listen accepts links on an address and returns the address in use.
func (m *Mesh) Listen(addr string) (net.Addr, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for links")
	}
	m.mu.Lock()
	m.listener = ln
	m.mu.Unlock()
	m.wait.Go(func() { m.accept(ln) })
	return ln.Addr(), nil
}

func (m *Mesh) accept(ln net.Listener) {
	most := int64(m.MaxLinks)
	if most == 0 {
		most = DefaultMaxLinks
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors: let some close
			continue
		}
		if m.accepted.Add(1) > most {
			m.accepted.Add(-1)
			_ = c.Close() // the peer sees the end of the stream and dials again
			continue
		}
		m.wait.Go(func() {
			defer m.accepted.Add(-1)
			if m.TLS != nil {
				c = tls.Server(c, m.TLS)
			}
			m.run(c, "", yamux.Server)
		})
	}
}

// Dial keeps a link to an address until Hangup or Close. Dialing an address
// twice does nothing.
func (m *Mesh) Dial(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.dials[addr] != nil {
		return
	}
	if m.dials == nil {
		m.dials = map[string]context.CancelFunc{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.dials[addr] = cancel
	m.wait.Go(func() { m.redial(ctx, addr) })
}

// Disconnect gives up the link to an address.
func (m *Mesh) Disconnect(addr string) {
	m.mu.Lock()
	cancel := m.dials[addr]
	delete(m.dials, addr)
	var gone []*Link
	for l := range m.links {
		if l.DialedAddr == addr {
			gone = append(gone, l)
		}
	}
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	for _, l := range gone {
		l.Fail(ErrClosed)
	}
}

func (m *Mesh) redial(ctx context.Context, addr string) {
	pause := redialLeast
	for ctx.Err() == nil {
		d := net.Dialer{Timeout: dialTimeout, LocalAddr: fetch.SourceAddr(m.SourceIP)}
		started := time.Now()
		if c, err := d.DialContext(ctx, "tcp", addr); err == nil {
			if m.TLS != nil {
				c = tls.Client(c, m.TLS)
			}
			m.run(c, addr, yamux.Client)
		}
		if time.Since(started) > redialMost {
			pause = redialLeast
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMost)
	}
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // ping does it, and measures
	c.ConnectionWriteTimeout = pingTimeout
	c.MaxStreamWindowSize = MaxFrameBytes
	c.LogOutput = io.Discard
	return c
}

// run works a link until it ends.
func (m *Mesh) run(c net.Conn, dialed string, side func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) {
	session, err := side(c, config())
	if err != nil {
		_ = c.Close() // it was never used
		return
	}
	l := &Link{ID: lastLink.Add(1), DialedAddr: dialed, session: session, done: make(chan struct{})}
	for i := range l.queues {
		l.queues[i] = make(chan *wire.Envelope, sendQueue)
	}
	if !m.add(l) {
		l.Fail(ErrClosed)
		return
	}
	defer m.remove(l)
	lanes, err := l.open(dialed != "")
	if err == nil {
		err = m.greet(l, lanes[0])
	}
	if err != nil {
		l.Fail(err)
		return
	}
	m.Handler.Up(l)
	for i, s := range lanes {
		l.wait.Go(func() { l.write(s, l.queues[i]) })
		l.wait.Go(func() { l.read(s, m.Handler) })
	}
	if dialed != "" {
		l.wait.Go(func() { l.ping(m.Handler) })
	}
	l.wait.Wait()
	m.Handler.Down(l, l.err)
}

func (m *Mesh) add(l *Link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	if m.links == nil {
		m.links = map[*Link]struct{}{}
	}
	m.links[l] = struct{}{}
	return true
}

func (m *Mesh) remove(l *Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.links, l)
}

// lane is one stream with its buffered reader.
type lane struct {
	*yamux.Stream
	r *bufio.Reader
}

// open opens all streams, or accepts them, within helloTimeout.
func (l *Link) open(dialer bool) ([]lane, error) {
	guard := time.AfterFunc(helloTimeout, func() { l.Fail(ErrUnresponsive) })
	defer guard.Stop()
	lanes := make([]lane, streams)
	for i := range lanes {
		var s *yamux.Stream
		var err error
		if dialer {
			s, err = l.session.OpenStream()
		} else {
			s, err = l.session.AcceptStream()
		}
		if err != nil {
			return nil, errors.Wrap(err, "open streams")
		}
		lanes[i] = lane{s, bufio.NewReaderSize(s, 16<<10)}
	}
	// Streams are accepted in the order in which they were opened, but a peer
	// only sees those that carry something or were announced; yamux announces
	// each on opening.
	return lanes, nil
}

// greet exchanges hellos.
func (m *Mesh) greet(l *Link, s lane) error {
	deadline := time.Now().Add(helloTimeout)
	_ = s.SetDeadline(deadline) // a stream accepts any deadline
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: m.Hello}}
	if _, err := protodelim.MarshalTo(s, hello); err != nil {
		return errors.Wrap(err, "send hello")
	}
	var got wire.Envelope
	if err := unmarshal(s.r, &got); err != nil {
		return errors.Wrap(err, "read hello")
	}
	if got.GetHello() == nil {
		return errors.Wrap(ErrProtocol, "no hello")
	}
	l.Peer = got.GetHello()
	_ = s.SetDeadline(time.Time{})
	return nil
}

func unmarshal(r protodelim.Reader, m *wire.Envelope) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(r, m)
}

// write sends what is queued, gathering small messages into one write.
func (l *Link) write(s lane, q chan *wire.Envelope) {
	w := bufio.NewWriterSize(s, 16<<10)
	for {
		select {
		case <-l.done:
			return
		case m := <-q:
			if err := l.drain(w, m, q); err != nil {
				l.Fail(errors.Wrap(err, "write to peer"))
				return
			}
		}
	}
}

func (l *Link) drain(w *bufio.Writer, m *wire.Envelope, q chan *wire.Envelope) error {
	for {
		if _, err := protodelim.MarshalTo(w, m); err != nil {
			return err
		}
		select {
		case m = <-q:
			continue
		default:
		}
		return w.Flush()
	}
}

func (l *Link) read(s lane, h Handler) {
	for {
		m := &wire.Envelope{}
		if err := unmarshal(s.r, m); err != nil {
			l.Fail(readFault(err))
			return
		}
		if m.Body == nil {
			l.Fail(errors.Wrap(ErrProtocol, "empty message"))
			return
		}
		l.frames.Add(1)
		h.Frame(l, m)
	}
}

// readFault tells a peer that ended, or whose connection broke, from one that
// sent what cannot be read.
func readFault(err error) error {
	var ne net.Error
	ended := errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, yamux.ErrSessionShutdown, yamux.ErrStreamClosed,
		yamux.ErrConnectionReset, yamux.ErrStreamsExhausted)
	if ended || errors.As(err, &ne) {
		return errors.Wrap(err, "read from peer")
	}
	return errors.Mark(errors.Wrap(err, "read from peer"), ErrProtocol)
}

// ping measures the way to the peer and closes a link that went silent, as
// happens when something in between has lost track of the connection: without
// it, calls would go into the void until TCP gives up, minutes later.
func (l *Link) ping(h Handler) {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		guard := time.AfterFunc(pingTimeout, func() { l.Fail(ErrUnresponsive) })
		rtt, err := l.session.Ping()
		guard.Stop()
		if err != nil {
			l.Fail(errors.Wrap(err, "ping peer"))
			return
		}
		h.RTT(l, rtt)
		if !l.idle(tick.C) {
			return
		}
	}
}

// idle returns when it is time for another ping, or false when the link is
// closed.
func (l *Link) idle(tick <-chan time.Time) bool {
	for pinged := time.Now(); ; {
		before := l.frames.Load()
		select {
		case <-l.done:
			return false
		case <-tick:
		}
		if l.frames.Load() == before || time.Since(pinged) >= pingBusy {
			return true
		}
	}
}

// Close closes all links and the listener, and waits for every goroutine.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	if m.listener != nil {
		_ = m.listener.Close() // accept ends on it
	}
	for _, cancel := range m.dials {
		cancel()
	}
	links := make([]*Link, 0, len(m.links))
	for l := range m.links {
		links = append(links, l)
	}
	m.mu.Unlock()
	for _, l := range links {
		l.Fail(ErrClosed)
	}
	m.wait.Wait()
	return nil
}
