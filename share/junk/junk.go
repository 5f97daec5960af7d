// Package junk sends replies without end, as faulty servers do, and measures what their
// receiver keeps. It is for tests.
package junk

import (
	"io"
	"net"
	"runtime"
	"strings"
)

// maxBytes is how much of a reply is sent until it only waits for the connection to end: more
// than a receiver may keep, and little enough for the machine that runs the tests.
const maxBytes = 24 << 20

// blockBytes is about the size of one write.
const blockBytes = 32 << 10

// Reply is a reply without end: First is sent once, and Again is then repeated.
type Reply struct{ First, Again string }

// Send sends a reply, and returns when the connection ends.
func (r Reply) Send(c net.Conn) {
	block := strings.Repeat(r.Again, 1+blockBytes/len(r.Again))
	_, err := io.WriteString(c, r.First)
	for sent := 0; err == nil && sent < maxBytes; sent += len(block) {
		_, err = io.WriteString(c, block)
	}
	_, _ = c.Read(make([]byte, 1))
}

// Replies is keyed by the part that does not end. The headers, each with its CRLF, go into
// every head that is complete.
func Replies(headers string) map[string]Reply {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	return map[string]Reply{
		"no-reply":         {"", "j"},
		"status-line":      {"HTTP/1.1 200 ", "j"},
		"header-line":      {ok + "A: ", "j"},
		"headers":          {ok, "a: b\r\n"},
		"interim":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim-headers":  {"HTTP/1.1 103 Early Hints\r\n", "a: b\r\n"},
		"body":             {ok + headers + "\r\n", "j"},
		"body-with-length": {ok + headers + "Content-Length: 99999999999\r\n\r\n", "j"},
		"chunks":           {ok + headers + chunked + "\r\n", "4000\r\n" + strings.Repeat("j", 0x4000) + "\r\n"},
		"small-chunks":     {ok + headers + chunked + "\r\n", "1\r\nj\r\n"},
		"chunk-size":       {ok + headers + chunked + "\r\n", "0"},
		"chunk-extension":  {ok + headers + chunked + "\r\n4;", "e"},
		"trailers":         {ok + headers + chunked + "Trailer: A\r\n\r\n0\r\n", "a: b\r\n"},
		"trailer-line":     {ok + headers + chunked + "Trailer: A\r\n\r\n0\r\na: ", "j"},
	}
}

// HeapBytes returns the size of the reachable heap.
func HeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
