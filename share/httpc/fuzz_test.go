package httpc

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"dandelionstile/share/call"
	"dandelionstile/share/junk"
	"dandelionstile/share/quota"
)

// isNotPrintable reports whether a character is a blank or no printable ASCII.
func isNotPrintable(r rune) bool { return r <= ' ' || r >= 0x7f }

// A leaf may reply with any bytes. They must end the call, and must not pass as a success
// without a stamp or with another request's ID, nor with fields that can't be forwarded.
func FuzzReply(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nLeaf-Stamp: s\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nLeaf-Stamp: s\r\n\r\nHTTP/1.1 200 OK\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	for _, whole := range wholeReplies() {
		f.Add([]byte(whole[:len(whole)/2]))
		f.Add([]byte(whole[:len(whole)-1]))
	}
	for _, broken := range junk.Broken("Leaf-Stamp: s\r\n") {
		f.Add([]byte(broken))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		local, remote := net.Pipe()
		c := newConn(local, &DefaultDialect, &quota.Bytes{})
		j := &job{done: make(chan result, 1), request: &http.Request{Method: http.MethodGet, Header: http.Header{"Request-Id": {"own"}}}}
		if !c.begin(j) {
			t.Fatal("a new connection rejects a call")
		}
		go func() {
			_, _ = remote.Write(sent) // the reader may close early
			_ = remote.Close()
		}()
		r := <-j.done
		_, _ = io.Copy(io.Discard, remote) // ends with the connection
		<-c.ended
		if r.err != nil {
			return
		}
		id := r.reply.Header.Get("Request-Id")
		if r.reply.Successful() && (r.reply.Stamp == "" || id != "" && id != "own") {
			t.Fatalf("accepted %+v", r.reply)
		}
		for name, values := range r.reply.Header {
			if strings.ContainsFunc(name, isNotPrintable) || strings.ContainsAny(strings.Join(values, ""), "\r\n\x00") {
				t.Fatalf("accepted %q: %q", name, values)
			}
		}
		p := Pool{Dialect: DefaultDialect}
		if d := p.classify(r.reply); d.Kind == call.Answered && d.Reply == nil {
			t.Fatal("answered without a reply")
		}
	})
}
