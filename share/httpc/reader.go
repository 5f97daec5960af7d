package httpc

import (
	"io"
	"runtime"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/call"
	"dandelionstile/share/quota"
	"dandelionstile/share/syntax"
)

// Errors of replies that are not read to their end, because a process must not run out of
// memory over them.
var (
	// ErrHeadTooLarge reports a status line and headers above the size limit.
	ErrHeadTooLarge = errors.New("head of the reply is too large")
	// ErrTooLarge reports a body above the size limit.
	ErrTooLarge = errors.New("reply is too large")
	// ErrNoMemory reports a reply for which the replies that are being read or used leave
	// too little memory.
	ErrNoMemory = errors.New("replies take too much memory")
)

const (
	// maxReplyBytes is the largest accepted body. Leaves reply with tens of KB at most.
	maxReplyBytes = 4 << 20
	// maxHeadBytes bounds the heads that one call reads, those of interim replies and of
	// replies to other requests included. A merged answer of 210 shards has 15 KB.
	maxHeadBytes = 64 << 10
	// minBodyBuffer and maxFirstBuffer bound the first buffer for a body, in bytes. A leaf
	// that only announces a large body takes no memory for it.
	minBodyBuffer  = 512
	maxFirstBuffer = 32 << 10
	// largeReplyBytes is the size from which a reply counts until it is no longer used, and
	// not only while it is read. Smaller ones are bounded by the number of calls.
	largeReplyBytes = 64 << 10
)

// replyReader is the receiving side of a connection. It bounds what a call reads, and counts the
// memory of its reply. It fails where a reply breaks the grammar of HTTP.
type replyReader struct {
	from   syntax.Reader
	memory *quota.Bytes

	// inBody is set while a body is read, which has a limit of its own.
	inBody bool
	// headBytes is what has been read for heads since the last release.
	headBytes int
	// held is the memory that the current reply counts for.
	held int64
}

// Read reads from the connection. While a head is read, it fails with ErrHeadTooLarge at
// the limit: net/http keeps a line or headers without end in memory.
func (r *replyReader) Read(p []byte) (int, error) {
	if r.inBody {
		return r.from.Read(p)
	}
	if r.headBytes >= maxHeadBytes {
		return 0, ErrHeadTooLarge
	}
	n, err := r.from.Read(p[:min(len(p), maxHeadBytes-r.headBytes)])
	r.headBytes += n
	if !r.hold(quota.HeadCost(p[:n])) {
		return 0, ErrNoMemory
	}
	return n, err
}

// readBody reads a body of at most maxReplyBytes. length is its announced length, or -1.
func (r *replyReader) readBody(body io.Reader, length int64) ([]byte, error) {
	r.inBody = true
	defer func() { r.inBody = false }()
	var read []byte
	size := max(minBodyBuffer, min(length+1, maxFirstBuffer)) // one more byte finds the end
	for {
		if !r.hold(size - int64(cap(read))) {
			return nil, ErrNoMemory
		}
		grown := make([]byte, len(read), size)
		copy(grown, read)
		read = grown
		for len(read) < cap(read) {
			n, err := body.Read(read[len(read):cap(read)])
			read = read[:len(read)+n]
			switch {
			case len(read) > maxReplyBytes:
				return nil, ErrTooLarge
			case err == io.EOF:
				return read, nil
			case err != nil:
				return nil, err
			}
		}
		size = min(2*size, maxReplyBytes+1)
	}
}

// hold counts more memory for the reply and reports whether there is enough.
func (r *replyReader) hold(n int64) bool {
	if !r.memory.Grow(r.held, n) {
		return false
	}
	r.held += n
	return true
}

// release ends the reply, which is nil if there is none. A large reply counts until it is
// collected as garbage: it may wait for the replies of other leaves and for its caller.
func (r *replyReader) release(reply *call.Reply) {
	if reply != nil && r.held > largeReplyBytes {
		runtime.AddCleanup(reply, r.memory.Release, r.held)
	} else {
		r.memory.Release(r.held)
	}
	r.held, r.headBytes = 0, 0
}
