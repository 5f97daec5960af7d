// Package mesh carries messages between dandelionstile's processes: protobuf
// frames on a few long-lived yamux streams per peer. It owns the sockets of all
// links and passes received messages to a Handler.
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
	// ErrClosed means that the link is closed. The message was not sent.
	ErrClosed = errors.New("link is closed")
	// ErrBusy means that the peer reads too slowly. The message was not sent.
	ErrBusy = errors.New("link is busy")
	// ErrProtocol means that the peer sent a message that violates the protocol.
	ErrProtocol = errors.New("peer violates the protocol")
	// ErrUnresponsive means that the peer does not answer pings or sends no heartbeats.
	ErrUnresponsive = errors.New("peer does not respond")
)

// Limits and timing of links.
const (
	// MaxFrameBytes is the size of the largest message.
	MaxFrameBytes = 4 << 20
	// streamsPerLink counts one stream for control and the others for traffic, so
	// that a large answer does not delay a heartbeat.
	streamsPerLink = 3
	// sendQueueLen is how many messages a stream queues before Send returns ErrBusy.
	sendQueueLen = 1024
	dialTimeout  = 2 * time.Second
	// idlePingInterval is the interval between pings on a link on which no messages are
	// received, and busyPingInterval on one on which they are. A ping that takes longer than
	// pingTimeout closes the link. The side that dialed sends the pings.
	idlePingInterval = 2 * time.Second
	busyPingInterval = 10 * time.Second
	pingTimeout      = 2 * time.Second
	// helloTimeout limits the opening of a link's streams, and after that the exchange
	// of hellos.
	helloTimeout   = 3 * time.Second
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// closeTimeout limits for how long Close waits for the peer to read what is queued.
	closeTimeout = 500 * time.Millisecond
)

// Handler receives the events of links. Its methods are called from many
// goroutines and must return quickly.
type Handler interface {
	// Up reports that a link is ready; its Peer is known.
	Up(l *Link)
	// Frame receives a message.
	Frame(l *Link, m *wire.Envelope)
	// Down reports that the link is closed. No Frame follows.
	Down(l *Link, err error)
	// RTT reports the round-trip time of a ping.
	RTT(l *Link, rtt time.Duration)
}

// Link is one connection to a peer. It is ready once Handler.Up has been called.
type Link struct {
	// ID is unique among all links of a process.
	ID uint64
	// Peer is the peer's hello.
	Peer *wire.Hello
	// DialedAddr is the address that this side dialed, or "".
	DialedAddr string

	session *yamux.Session
	queues  [streamsPerLink]chan *wire.Envelope
	ready   atomic.Bool   // the link carries messages
	closing chan struct{} // closed by startClose
	done    chan struct{} // closed by Fail
	closer  sync.Once
	once    sync.Once
	err     error // why the link was closed; set before done is closed
	wait    sync.WaitGroup
	frames  atomic.Uint64 // received
}

var lastLinkID atomic.Uint64

// Send queues a message. It never blocks. A nil error does not mean that the
// peer received the message, and it may not be sent if the link is closing; an error
// means that it was not sent.
func (l *Link) Send(m *wire.Envelope) error {
	return l.enqueue(l.queues[l.streamFor(m)], m)
}

// enqueue adds a message to a queue. It returns ErrClosed if the link is closed and
// ErrBusy if the queue is full.
func (l *Link) enqueue(q chan *wire.Envelope, m *wire.Envelope) error {
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

// streamFor returns the index of the message's stream. Batches and outcomes are spread
// over the traffic streams by their first call, and deltas use the first one; everything
// else uses stream 0, for control.
func (l *Link) streamFor(m *wire.Envelope) int {
	switch b := m.Body.(type) {
	case *wire.Envelope_Batch:
		if len(b.Batch.Calls) > 0 {
			return 1 + int(b.Batch.Calls[0].Id)%(streamsPerLink-1)
		}
	case *wire.Envelope_Outcomes:
		if len(b.Outcomes.Outcomes) > 0 {
			return 1 + int(b.Outcomes.Outcomes[0].Call)%(streamsPerLink-1)
		}
	case *wire.Envelope_Delta:
		return 1
	}
	return 0
}

// Fail closes the link without waiting, so it may be called from a Handler. The error
// of the first call is the one that Handler.Down gets.
func (l *Link) Fail(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
		_ = l.session.Close() // the link is abandoned either way
	})
}

// startClose begins an orderly close: the messages that are queued are sent before the link
// ends. It does not wait. A link that is not ready has none, and is closed at once.
func (l *Link) startClose() {
	if !l.ready.Load() {
		l.Fail(ErrClosed)
		return
	}
	l.closer.Do(func() { close(l.closing) })
}

// isClosing reports whether startClose was called on a link that was ready.
func (l *Link) isClosing() bool {
	select {
	case <-l.closing:
		return true
	default:
		return false
	}
}

// Close sends what is queued, closes the link and waits for its goroutines. A peer that
// does not read in time gets only a part of it.
func (l *Link) Close() error {
	l.startClose()
	l.wait.Wait()
	return nil
}

// Mesh is one process's side of all links. Its fields are set before Listen or
// Dial and not changed afterwards.
type Mesh struct {
	Hello   *wire.Hello
	Handler Handler
	// TLS is used on all links if set.
	TLS *tls.Config
	// MaxLinks limits the accepted links; 0 means DefaultMaxLinks.
	MaxLinks int
	// SourceIP is the IP that links are dialed from; empty leaves the choice to the
	// operating system. If set, a host's links come from its known address.
	SourceIP string

	mu       sync.Mutex
	links    map[*Link]struct{}
	dials    map[string]context.CancelFunc
	listener net.Listener
	closed   bool
	wait     sync.WaitGroup
	accepted atomic.Int64 // open accepted connections
}

// DefaultMaxLinks is the default limit on accepted links.
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

// accept serves each accepted connection until the listener is closed. Beyond
// MaxLinks, it closes new connections at once.
func (m *Mesh) accept(ln net.Listener) {
	limit := int64(m.MaxLinks)
	if limit == 0 {
		limit = DefaultMaxLinks
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors: wait for some to close
			continue
		}
		if m.accepted.Add(1) > limit {
			m.accepted.Add(-1)
			_ = c.Close() // the peer sees the end of the stream and redials
			continue
		}
		m.wait.Go(func() {
			defer m.accepted.Add(-1)
			if m.TLS != nil {
				c = tls.Server(c, m.TLS)
			}
			m.serve(c, "", yamux.Server)
		})
	}
}

// Dial keeps a link to an address until Disconnect or Close. Dialing an address
// twice has no effect.
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

// Disconnect closes the link to an address and stops dialing it.
func (m *Mesh) Disconnect(addr string) {
	m.mu.Lock()
	cancel := m.dials[addr]
	delete(m.dials, addr)
	var closing []*Link
	for l := range m.links {
		if l.DialedAddr == addr {
			closing = append(closing, l)
		}
	}
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	for _, l := range closing {
		l.Fail(ErrClosed)
	}
}

// redial dials an address until ctx ends, with exponential backoff, and serves each
// link until it closes. An attempt that took longer than maxRedialDelay, such as
// one whose link lasted or whose dial timed out, resets the backoff.
func (m *Mesh) redial(ctx context.Context, addr string) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		d := net.Dialer{Timeout: dialTimeout, LocalAddr: fetch.SourceAddr(m.SourceIP)}
		started := time.Now()
		if c, err := d.DialContext(ctx, "tcp", addr); err == nil {
			if m.TLS != nil {
				c = tls.Client(c, m.TLS)
			}
			m.serve(c, addr, yamux.Client)
		}
		if time.Since(started) > maxRedialDelay {
			delay = minRedialDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// yamuxConfig returns the settings of a connection's yamux session.
func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // Link.pingLoop replaces it and measures the round-trip time
	c.ConnectionWriteTimeout = pingTimeout
	c.StreamCloseTimeout = 0 // Link.finish has a limit of its own
	c.MaxStreamWindowSize = MaxFrameBytes
	c.LogOutput = io.Discard
	return c
}

// serve serves a connection until its link is closed. dialedAddr is empty for an accepted
// connection. The Handler gets Up and Down only if the hellos were exchanged.
func (m *Mesh) serve(c net.Conn, dialedAddr string, newSession func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) {
	session, err := newSession(c, yamuxConfig())
	if err != nil {
		_ = c.Close() // nothing was sent on it
		return
	}
	l := &Link{ID: lastLinkID.Add(1), DialedAddr: dialedAddr, session: session, closing: make(chan struct{}), done: make(chan struct{})}
	for i := range l.queues {
		l.queues[i] = make(chan *wire.Envelope, sendQueueLen)
	}
	if !m.add(l) {
		l.Fail(ErrClosed)
		return
	}
	defer m.remove(l)
	streams, err := l.openStreams(dialedAddr != "")
	if err == nil {
		err = m.exchangeHello(l, streams[0])
	}
	if err != nil {
		l.Fail(err)
		return
	}
	l.ready.Store(true)
	m.Handler.Up(l)
	var writers, readers sync.WaitGroup
	for i, s := range streams {
		writers.Add(1)
		l.wait.Go(func() {
			defer writers.Done()
			l.writeLoop(s, l.queues[i])
		})
		readers.Add(1)
		l.wait.Go(func() {
			defer readers.Done()
			l.readLoop(s, m.Handler)
		})
	}
	if dialedAddr != "" {
		l.wait.Go(func() { l.pingLoop(m.Handler) })
	}
	select {
	case <-l.done:
	case <-l.closing:
		l.finish(streams, &writers, &readers)
	}
	l.wait.Wait()
	m.Handler.Down(l, l.err)
}

// finish ends a closing link: once all queued messages are written, it ends the streams. The
// peer then closes the connection, after it has read the messages. If that takes longer than
// closeTimeout, the link is closed anyway.
func (l *Link) finish(streams []stream, writers, readers *sync.WaitGroup) {
	timer := time.AfterFunc(closeTimeout, func() { l.Fail(ErrClosed) })
	defer timer.Stop()
	writers.Wait()
	// The peer closes the link at the end of any stream, so none may end before.
	for _, s := range streams {
		_ = s.Close() // returns no error
	}
	readers.Wait()
	l.Fail(ErrClosed)
}

// add records a link for Close and Disconnect. It returns false if the mesh is closed.
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

// stream is one stream of a link with its buffered reader.
type stream struct {
	*yamux.Stream
	r *bufio.Reader
}

// openStreams opens all streams if this side dialed, or else accepts them. If that takes
// longer than helloTimeout, it closes the link.
func (l *Link) openStreams(dialer bool) ([]stream, error) {
	timer := time.AfterFunc(helloTimeout, func() { l.Fail(ErrUnresponsive) })
	defer timer.Stop()
	// yamux announces each stream when it is opened and accepts streams in the order of
	// opening, so that streams[i] is the same stream on both sides.
	streams := make([]stream, streamsPerLink)
	for i := range streams {
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
		streams[i] = stream{s, bufio.NewReaderSize(s, 16<<10)}
	}
	return streams, nil
}

// exchangeHello sends this process's hello and sets the link's Peer to the one that it
// reads.
func (m *Mesh) exchangeHello(l *Link, s stream) error {
	deadline := time.Now().Add(helloTimeout)
	_ = s.SetDeadline(deadline) // a stream accepts any deadline
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: m.Hello}}
	if _, err := protodelim.MarshalTo(s, hello); err != nil {
		return errors.Wrap(err, "send hello")
	}
	var reply wire.Envelope
	if err := unmarshal(s.r, &reply); err != nil {
		return errors.Wrap(err, "read hello")
	}
	if reply.GetHello() == nil {
		return errors.Wrap(ErrProtocol, "no hello")
	}
	l.Peer = reply.GetHello()
	_ = s.SetDeadline(time.Time{})
	return nil
}

// unmarshal reads one message of at most MaxFrameBytes.
func unmarshal(r protodelim.Reader, m *wire.Envelope) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(r, m)
}

// writeLoop sends the messages of a queue until the link is closed. If the link is closing, it
// sends the queued messages.
func (l *Link) writeLoop(s stream, q chan *wire.Envelope) {
	w := bufio.NewWriterSize(s, 16<<10)
	for {
		select {
		case <-l.done:
			return
		case <-l.closing:
			select {
			case m := <-q:
				l.writeQueued(w, m, q)
			default:
			}
			return
		case m := <-q:
			if !l.writeQueued(w, m, q) {
				return
			}
		}
	}
}

// writeQueued writes a message and all others that are queued by then, and flushes once,
// so that small messages share a write. It closes the link and returns false if that fails.
func (l *Link) writeQueued(w *bufio.Writer, m *wire.Envelope, q chan *wire.Envelope) bool {
	for {
		if _, err := protodelim.MarshalTo(w, m); err != nil {
			l.Fail(errors.Wrap(err, "write to peer"))
			return false
		}
		select {
		case m = <-q:
			continue
		default:
		}
		if err := w.Flush(); err != nil {
			l.Fail(errors.Wrap(err, "write to peer"))
			return false
		}
		return true
	}
}

// readLoop passes the messages of a stream to the handler. It closes the link when the
// stream ends or a message violates the protocol. At the end of a stream of a closing link, it
// leaves that to finish, since messages may still be queued.
func (l *Link) readLoop(s stream, h Handler) {
	for {
		m := &wire.Envelope{}
		if err := unmarshal(s.r, m); err != nil {
			if errors.Is(err, io.EOF) && l.isClosing() {
				return
			}
			l.Fail(classifyReadError(err))
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

// classifyReadError marks errors caused by unreadable data with ErrProtocol. The
// others mean that the peer closed the connection or that it broke.
func classifyReadError(err error) error {
	var ne net.Error
	ended := errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, yamux.ErrSessionShutdown, yamux.ErrStreamClosed,
		yamux.ErrConnectionReset, yamux.ErrStreamsExhausted)
	if ended || errors.As(err, &ne) {
		return errors.Wrap(err, "read from peer")
	}
	return errors.Mark(errors.Wrap(err, "read from peer"), ErrProtocol)
}

// pingLoop measures the round-trip time and closes a link that no longer responds, for
// example because a middlebox dropped the connection's state. Without pings, calls
// on such a link would be lost until TCP gives up minutes later.
func (l *Link) pingLoop(h Handler) {
	tick := time.NewTicker(idlePingInterval)
	defer tick.Stop()
	for {
		timer := time.AfterFunc(pingTimeout, func() { l.Fail(ErrUnresponsive) })
		rtt, err := l.session.Ping()
		timer.Stop()
		if err != nil {
			l.Fail(errors.Wrap(err, "ping peer"))
			return
		}
		h.RTT(l, rtt)
		if !l.waitForPing(tick.C) {
			return
		}
	}
}

// waitForPing waits until the next ping is due: at the first tick without a frame since
// the tick before, or else after busyPingInterval. It returns false if the link is closed
// first.
func (l *Link) waitForPing(tick <-chan time.Time) bool {
	for pinged := time.Now(); ; {
		before := l.frames.Load()
		select {
		case <-l.done:
			return false
		case <-tick:
		}
		if l.frames.Load() == before || time.Since(pinged) >= busyPingInterval {
			return true
		}
	}
}

// Close sends what is queued on all links, closes them and the listener, and waits for every
// goroutine. Peers that do not read delay it by at most closeTimeout.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	if m.listener != nil {
		_ = m.listener.Close() // ends accept
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
		l.startClose()
	}
	m.wait.Wait()
	return nil
}
