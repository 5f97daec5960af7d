package httpd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Callers go on sending on open connections while a server closes. The process must not end in a
// panic by that, which closed all of its connections without an answer.
func TestRequestsDuringCloseEndTheProcess(t *testing.T) {
	const rounds, callers = 50, 16
	for range rounds {
		s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
		})}
		assert.NilError(t, s.Start())
		var sent, wait sync.WaitGroup
		for range callers {
			c, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			sent.Add(1)
			wait.Go(func() {
				once := sync.OnceFunc(sent.Done)
				defer once()
				answer := make([]byte, 4096)
				for {
					if _, err := io.WriteString(c, plainRequest); err != nil {
						return
					}
					if _, err := c.Read(answer); err != nil {
						return
					}
					once()
				}
			})
		}
		sent.Wait()
		err := closeOrRecover(s)
		wait.Wait()
		assert.NilError(t, err)
	}
}

// closeOrRecover closes a server. If Close panics, it closes the server all the same and returns the
// panic as an error.
func closeOrRecover(s *Server) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("Close panics: %v", cause)
			_ = closeOrRecover(s)
		}
	}()
	return s.Close()
}
