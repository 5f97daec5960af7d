// Package syntax checks that the bytes from a server are replies by the grammar of HTTP/1.1
// (RFC 9112) and of its fields (RFC 9110).
//
// The parsers that read replies are lenient, each in its own way, and take some malformed heads
// for others. What they accept is forwarded to callers, so it is checked before they read it.
package syntax

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrGrammar reports bytes that are no reply by the grammar. All errors of a Checker are marked
// with it.
var ErrGrammar = errors.New("reply breaks the grammar of HTTP")

var (
	errStatusLine = errors.Wrap(ErrGrammar, "status line")
	errField      = errors.Wrap(ErrGrammar, "field line")
	errFraming    = errors.Wrap(ErrGrammar, "length or transfer coding")
	errChunk      = errors.Wrap(ErrGrammar, "chunk")
	errLineEnd    = errors.Wrap(ErrGrammar, "line end")
	errLongLine   = errors.Wrap(ErrGrammar, "line is too long")
)

// maxLineBytes bounds a line, of which a Checker keeps what has arrived.
const maxLineBytes = 64 << 10

// part is the part of a reply that comes next.
type part int

const (
	statusLine part = iota
	fields
	body
	bodyToEnd // a body that ends with its connection
	chunkSize
	chunkData
	chunkEnd
	trailers
)

// Checker checks the replies on one connection, in pieces as they arrive. The zero value begins
// with a status line.
type Checker struct {
	// BareLF allows lines of a head to end without CR (RFC 9112, section 2.2).
	BareLF bool

	next part
	line []byte // the beginning of a line whose end has not arrived
	left uint64 // what is left of the body or chunk
	head head
	err  error
}

// head is what the head of a reply says about its body.
type head struct {
	status    int
	http10    bool
	chunked   bool
	hasLength bool
	length    uint64
}

// Check checks the next bytes. The method is that of the request to which the current reply
// belongs. It returns how many of the bytes may be parsed: all of them, or those before the line
// that breaks the grammar. After an error all calls return it.
func (c *Checker) Check(data []byte, method string) (int, error) {
	n := 0
	for n < len(data) && c.err == nil {
		switch c.next {
		case body, chunkData:
			n += c.skip(data[n:])
		case bodyToEnd:
			return len(data), nil
		default:
			line, size := c.takeLine(data[n:])
			switch {
			case line != nil:
				c.err = c.endLine(line, method)
			case len(c.line) > maxLineBytes:
				c.err = errLongLine
			}
			if c.err == nil {
				n += size
			}
		}
	}
	return n, c.err
}

// skip returns how many bytes of data belong to the body or chunk.
func (c *Checker) skip(data []byte) int {
	size := min(c.left, uint64(len(data)))
	c.left -= size
	switch {
	case c.left > 0:
	case c.next == chunkData:
		c.next = chunkEnd
	default:
		c.next = statusLine
	}
	return int(size)
}

// takeLine returns the next line, or nil if its end has not arrived, and how many bytes of data
// belong to it.
func (c *Checker) takeLine(data []byte) (line []byte, size int) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		c.line = append(c.line, data...)
		return nil, len(data)
	}
	line = data[:end+1]
	if c.line != nil {
		line = append(c.line, line...)
		c.line = nil
	}
	return line, end + 1
}

// endLine checks a line and decides what comes next.
func (c *Checker) endLine(line []byte, method string) error {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok && c.BareLF && (c.next == statusLine || c.next == fields) {
		text, ok = bytes.CutSuffix(line, []byte("\n"))
	}
	if !ok {
		return errLineEnd
	}
	switch c.next {
	case statusLine:
		c.next = fields
		return c.head.parseStatusLine(text)
	case fields:
		if len(text) == 0 {
			return c.endHead(method)
		}
		return c.head.parseField(text)
	case chunkSize:
		return c.beginChunk(text)
	case chunkEnd:
		c.next = chunkSize
		if len(text) > 0 {
			return errChunk
		}
	default: // trailers
		if len(text) > 0 {
			_, _, err := cutField(text)
			return err
		}
		c.next = statusLine
	}
	return nil
}

// endHead decides how the body ends (RFC 9112, section 6.3).
func (c *Checker) endHead(method string) error {
	h := c.head
	c.left = h.length
	switch {
	case h.chunked && (h.hasLength || h.http10):
		return errFraming
	case h.status < http.StatusOK, h.status == http.StatusNoContent, h.status == http.StatusNotModified, method == http.MethodHead:
		c.next = statusLine // no body
	case h.chunked:
		c.next = chunkSize
	case !h.hasLength:
		c.next = bodyToEnd
	case h.length == 0:
		c.next = statusLine
	default:
		c.next = body
	}
	return nil
}

// beginChunk parses the line with the size of a chunk. What its extensions are is left open, as
// no recipient here uses them.
func (c *Checker) beginChunk(line []byte) error {
	digits := 0
	for digits < len(line) && isHex(line[digits]) {
		digits++
	}
	extensions := bytes.TrimLeft(line[digits:], " \t")
	if len(extensions) > 0 && extensions[0] != ';' || len(extensions) == 0 && digits < len(line) || !isText(extensions) {
		return errChunk
	}
	size, err := strconv.ParseUint(string(line[:digits]), 16, 63)
	if err != nil {
		return errChunk
	}
	c.left, c.next = size, chunkData
	if size == 0 {
		c.next = trailers
	}
	return nil
}

// parseStatusLine parses a status line (RFC 9112, section 4). Its last blank may be missing, as
// with some servers that send no reason.
func (h *head) parseStatusLine(line []byte) error {
	const version, sample = "HTTP/1.", "HTTP/1.1 200"
	if len(line) < len(sample) || string(line[:len(version)]) != version || !isDigit(line[7]) || line[8] != ' ' {
		return errStatusLine
	}
	code, reason := line[9:12], line[12:]
	if code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return errStatusLine
	}
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return errStatusLine
	}
	*h = head{status: int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0'), http10: line[7] == '0'}
	return nil
}

// parseField checks a field line of a head and notes what it says about the body.
func (h *head) parseField(line []byte) error {
	name, value, err := cutField(line)
	switch {
	case err != nil:
		return err
	case equalFold(name, "Content-Length"):
		return h.setLength(string(value))
	case equalFold(name, "Transfer-Encoding"):
		if h.chunked || !equalFold(value, "chunked") {
			return errFraming
		}
		h.chunked = true
	}
	return nil
}

// setLength notes a length. A reply may tell its length more than once.
func (h *head) setLength(text string) error {
	length, err := strconv.ParseUint(text, 10, 63) // takes no sign
	if err != nil || h.hasLength && length != h.length {
		return errFraming
	}
	h.length, h.hasLength = length, true
	return nil
}

// cutField cuts a field line (RFC 9112, section 5) into its name and its value. Folded lines,
// which RFC 9112 has made obsolete, are not accepted.
func cutField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isText(value) {
		return nil, nil, errField
	}
	return name, bytes.Trim(value, " \t"), nil
}

func equalFold(b []byte, s string) bool { return len(b) == len(s) && bytes.EqualFold(b, []byte(s)) }

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, char := range b {
		if !tokenChars[char] {
			return false
		}
	}
	return len(b) > 0
}

// tokenChars is indexed by byte.
var tokenChars = func() (is [256]bool) {
	for _, char := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		is[char] = true
	}
	return is
}()

// isText reports whether b has no control bytes but tabs, as a field value or a reason must.
func isText(b []byte) bool {
	for _, char := range b {
		if char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isHex(b byte) bool { return isDigit(b) || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F' }
