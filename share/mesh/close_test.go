package mesh

import (
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dandelionstile/share/wire"
)

// A process sends its last messages and closes its links. The messages were lost, without an error.
func TestCloseLosesMessages(t *testing.T) {
	server := &recorder{}
	s := &Mesh{Hello: &wire.Hello{Host: "s"}, Handler: server}
	bound, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	client := &recorder{}
	c := &Mesh{Hello: &wire.Hello{Host: "c"}, Handler: client}
	c.Dial(bound.String())
	client.await(t, "link", func(up, _, _ int) bool { return up == 1 })
	const messages = 100
	for range messages {
		assert.NilError(t, client.up[0].Send(&wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: &wire.Cancel{Calls: []uint64{1}}}}))
	}
	assert.NilError(t, c.Close())
	server.await(t, "the end of the link", func(_, down, _ int) bool { return down == 1 })
	_, _, frames := server.counts()
	assert.Equal(t, frames, messages)
}

// gate is a handler that takes messages only once it is open.
type gate struct {
	recorder
	open chan struct{}
}

// Frame implements Handler.
func (g *gate) Frame(l *Link, m *wire.Envelope) {
	<-g.open
	g.recorder.Frame(l, m)
}

// startLinkTo starts two meshes with a link between them, and returns the one that dialed and
// its link.
func startLinkTo(t *testing.T, server, client Handler, events *recorder) (*Mesh, *Link) {
	t.Helper()
	s := &Mesh{Hello: &wire.Hello{Host: "s"}, Handler: server}
	bound, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	c := &Mesh{Hello: &wire.Hello{Host: "c"}, Handler: client}
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	c.Dial(bound.String())
	events.await(t, "link", func(up, _, _ int) bool { return up == 1 })
	return c, events.up[0]
}

// newDelta returns a message of a size.
func newDelta(bytes int) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Delta{Delta: &wire.Delta{Packed: make([]byte, bytes)}}}
}

// A peer is slow with the messages that a closed link has brought. It lost the ones that it had not
// taken by the end of the first stream.
func TestSlowPeerGetsMessagesOfClosedLink(t *testing.T) {
	server, client := &gate{open: make(chan struct{})}, &recorder{}
	c, l := startLinkTo(t, server, client, client)
	const rounds = 10
	for i := range uint64(rounds) {
		// Each goes over a stream of its own.
		assert.NilError(t, l.Send(&wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: &wire.Cancel{Calls: []uint64{i}}}}))
		assert.NilError(t, l.Send(newDelta(10<<10)))
		assert.NilError(t, l.Send(&wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: &wire.Outcomes{Outcomes: []*wire.Outcome{{Call: 1}}}}}))
	}
	assert.NilError(t, c.Close())
	close(server.open)
	server.await(t, "the end of the link", func(_, down, _ int) bool { return down == 1 })
	_, _, frames := server.counts()
	assert.Equal(t, frames, 3*rounds)
}

// A peer takes no messages, and more are queued than fit the stream. Close must not wait for it.
func TestCloseDoesNotWaitForStuckPeer(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	server, client := &gate{open: make(chan struct{})}, &recorder{}
	c, l := startLinkTo(t, server, client, client)
	t.Cleanup(func() { close(server.open) })
	for range 4 {
		assert.NilError(t, l.Send(newDelta(MaxFrameBytes-100)))
	}
	start := time.Now()
	assert.NilError(t, c.Close())
	took := time.Since(start)
	assert.Assert(t, took >= closeTimeout && took < 10*closeTimeout, "took %v", took)
	_, down, _ := client.counts()
	assert.Equal(t, down, 1)
	assert.ErrorIs(t, client.err, ErrClosed)
}

// failing is a handler that closes a link with an error as soon as it is closing.
type failing struct {
	recorder
	entered chan struct{}
}

// Frame implements Handler.
func (f *failing) Frame(l *Link, _ *wire.Envelope) {
	close(f.entered)
	<-l.closing
	l.Fail(ErrProtocol)
}

// echo is a handler that sends each message back.
type echo struct{ recorder }

// Frame implements Handler.
func (e *echo) Frame(l *Link, m *wire.Envelope) { _ = l.Send(m) }

// The handler closes a link that is closing already. Close must end anyway.
func TestHandlerFailsClosingLink(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	client := &failing{entered: make(chan struct{})}
	c, l := startLinkTo(t, &echo{}, client, &client.recorder)
	assert.NilError(t, l.Send(newDelta(1)))
	<-client.entered
	assert.NilError(t, c.Close())
	_, down, _ := client.counts()
	assert.Equal(t, down, 1)
}
