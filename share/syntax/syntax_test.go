package syntax_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"dandelionstile/share/junk"
	"dandelionstile/share/syntax"
)

// readBoth reads a text at once and byte by byte, and returns what was read and the error of each.
func readBoth(text string, checker syntax.Checker) (read [2]string, errs [2]error) {
	for i, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		got, err := io.ReadAll(&syntax.Reader{From: from, Checker: checker})
		read[i], errs[i] = string(got), err
	}
	return read, errs
}

// How a reply is cut into packets must not decide whether it counts.
func TestBrokenReplyFailsInAnyPieces(t *testing.T) {
	for name, text := range junk.Broken("A: b\r\n") {
		_, errs := readBoth(text, syntax.Checker{BareLF: true})
		for _, err := range errs {
			assert.Check(t, errors.Is(err, syntax.ErrGrammar), "%s: %v", name, err)
		}
	}
}

// Replies of sound servers must pass, also one after another.
func TestSoundRepliesPass(t *testing.T) {
	whole := junk.Whole("A: b\r\n")
	whole["length-bare"] = strings.ReplaceAll(whole["length"], "\r\n", "\n")
	for name, text := range junk.Unusual("A: b\r\n") {
		whole[name] = text
	}
	for name, text := range whole {
		read, errs := readBoth(text+text+"HTTP/1.0 503 No\r\n\r\nto the end\x00\n", syntax.Checker{BareLF: true})
		for i, err := range errs {
			assert.Check(t, err, name)
			assert.Check(t, strings.HasPrefix(read[i], text+text), name)
		}
	}
}

// Bytes after a whole reply belong to no request. The reply before them must still be read.
func TestReplyBeforeBrokenOneIsRead(t *testing.T) {
	for _, text := range junk.Whole("") {
		read, errs := readBoth(text+"junk\r\n", syntax.Checker{})
		assert.Check(t, errors.Is(errs[0], syntax.ErrGrammar))
		assert.Equal(t, read[0], text)
	}
}

// A reader that does not take bare line ends itself would find other fields in such a head.
func TestBareLineEndsFailUnlessAllowed(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nA: b\nContent-Length: 0\r\n\r\n"
	for _, allowed := range []bool{false, true} {
		_, errs := readBoth(text, syntax.Checker{BareLF: allowed})
		assert.Equal(t, errs[0] == nil, allowed)
	}
}

// The reply to a HEAD request ends with its head, whatever length that tells.
func TestReplyToHeadHasNoBody(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	r := &syntax.Reader{From: strings.NewReader(text + text), Method: func() string { return http.MethodHead }}
	_, err := io.ReadAll(r)
	assert.NilError(t, err)
}

// A server sends a line without end. What is kept of it must stay small.
func TestEndlessLineFails(t *testing.T) {
	for _, first := range []string{"", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0"} {
		read, errs := readBoth(first+strings.Repeat("0", 1<<20), syntax.Checker{})
		for i, err := range errs {
			assert.Check(t, errors.Is(err, syntax.ErrGrammar), "%v", err)
			assert.Check(t, len(read[i]) < 128<<10, "%d", len(read[i]))
		}
	}
}
