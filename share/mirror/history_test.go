package mirror

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/clock"
	"dandelionstile/share/fetch"
	"dandelionstile/share/junk"
)

// A writer changes a large value again and again. All its former values were kept, up to some GB,
// and no other host could read a page of them.
func TestLargeValueThatChangesOftenIsNotKept(t *testing.T) {
	const size, changes = 1 << 20, 40
	random := rand.NewChaCha8([32]byte{1})
	before := junk.HeapBytes()
	var m Mirror
	m.Apply(clock.Minute, Page{Whole: true, Revision: 1, Items: []Item{{Key: "servers/a", Value: []byte("a")}}})
	for n := range changes {
		value := make([]byte, size)
		_, _ = random.Read(value) // never fails; it does not compress
		m.Apply(clock.Minute, Page{Revision: int64(2 + n), Items: []Item{{Key: "servers/odd", Value: value}}})
		for _, after := range []int64{1, int64(n), int64(1 + n)} {
			page, _, ok := m.Since(clock.Minute, after)
			assert.Assert(t, ok)
			body, err := encode(page)
			assert.NilError(t, err)
			assert.Assert(t, len(body) <= fetch.MaxReplyBytes, "%d bytes after %d changes, since %d", len(body), n+1, after)
			read, err := decode(body)
			assert.NilError(t, err)
			assert.Assert(t, len(read.Items) > 0 && read.Revision == int64(2+n))
		}
	}
	grown := junk.HeapBytes() - before
	runtime.KeepAlive(&m)
	assert.Assert(t, grown < 8*size, "%d bytes", grown)
}
