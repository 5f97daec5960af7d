package junk

import (
	"net"
	"strings"
)

// CutBody is the body of the replies of Whole that have one.
const CutBody = "0123456789abcdef"

// Whole returns complete replies, which end before their connection does, by how their end is
// found. Cut off after any byte but the last, none of them is complete. The headers, each with
// its CRLF, go into every head but those of interim replies.
func Whole(headers string) map[string]string {
	const ok, length, chunked = "HTTP/1.1 200 OK\r\n", "Content-Length: 16\r\n", "Transfer-Encoding: chunked\r\n"
	chunks := "6\r\n" + CutBody[:6] + "\r\n00a;e=\"x\"\r\n" + CutBody[6:] + "\r\n0\r\n"
	whole := map[string]string{
		"length":       ok + headers + length + "\r\n" + CutBody,
		"length-first": ok + length + headers + "\r\n" + CutBody,
		"closing":      ok + headers + length + "Connection: close\r\n\r\n" + CutBody,
		"no-body":      ok + headers + "Content-Length: 0\r\n\r\n",
		"chunks":       ok + headers + chunked + "\r\n" + chunks + "\r\n",
		"trailers":     ok + headers + chunked + "Trailer: A, B\r\n\r\n" + chunks + "A: b\r\nB: c d\r\n\r\n",
	}
	whole["interim"] = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + whole["length"]
	return whole
}

// SendCut sends a reply, of which the end may be missing, and ends the connection: with a reset
// if abort is set, in order otherwise.
func SendCut(c *net.TCPConn, reply string, abort bool) error {
	if _, err := strings.NewReader(reply).WriteTo(c); err != nil {
		return err
	}
	if !abort {
		return c.Close()
	}
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}
