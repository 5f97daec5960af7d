package fetch

import (
	"sync"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/quota"
	"dandelionstile/share/syntax"
)

// Errors of replies that are not read to their end.
var (
	// ErrTooLarge is returned if the reply is larger than MaxReplyBytes, or its head than
	// maxHeadBytes.
	ErrTooLarge = errors.New("reply is too large")
	// ErrNoMemory is returned if the replies that are being read leave too little memory.
	ErrNoMemory = errors.New("replies take too much memory")
	// errUnsolicited closes a connection that has received bytes without a call.
	errUnsolicited = errors.New("bytes without a call")
)

const (
	// MaxReplyBytes is the size limit of a reply body.
	MaxReplyBytes = 4 << 20
	// maxHeadBytes is the size limit of a reply's status line and headers.
	maxHeadBytes = 64 << 10
	// maxWireBytes bounds a body with its chunked encoding, which may add a quarter to it.
	maxWireBytes = MaxReplyBytes + MaxReplyBytes/4
)

// replyLimiter bounds what a connection receives, and checks its grammar, before the library parses
// it. The library itself keeps a head without end in memory, and takes replies that nobody waits
// for.
type replyLimiter struct {
	memory *quota.Bytes

	mu sync.Mutex
	// calls is the number of calls that wait for their reply.
	calls int
	// method is that of the last call, and checker checks its reply.
	method  string
	checker syntax.Checker
	// head is the size of the current reply's head so far, and matched how much of the
	// blank line at its end has arrived.
	head, matched int
	// body is the size of what has arrived after the head.
	body int
	held int64
}

// headEnd is the end of a head.
const headEnd = "\r\n\r\n"

// begin records that a call with the given method waits for its reply.
func (l *replyLimiter) begin(method string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.method, l.checker = method, syntax.Checker{}
	l.head, l.matched, l.body = 0, 0, 0
}

// end records that a call has its reply, or has failed, and gives its memory back.
func (l *replyLimiter) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.memory.Release(l.held)
	l.held = 0
}

// receive records bytes that have arrived and returns how many of them may be parsed. After an
// error the connection must be closed.
func (l *replyLimiter) receive(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls == 0 {
		return 0, errUnsolicited
	}
	head := l.scanHead(data)
	l.head += head
	l.body += len(data) - head
	if l.head > maxHeadBytes || l.body > maxWireBytes {
		return 0, ErrTooLarge
	}
	cost := quota.HeadCost(data[:head]) + int64(len(data)-head)
	if !l.memory.Grow(l.held, cost) {
		return 0, ErrNoMemory
	}
	l.held += cost
	return l.checker.Check(data, l.method)
}

// scanHead returns how many bytes of data belong to the head.
func (l *replyLimiter) scanHead(data []byte) int {
	for n, b := range data {
		switch {
		case l.matched == len(headEnd):
			return n
		case b == headEnd[l.matched]:
			l.matched++
		case b == headEnd[0]:
			l.matched = 1
		default:
			l.matched = 0
		}
	}
	return len(data)
}
