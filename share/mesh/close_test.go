package mesh

import (
	"testing"

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
