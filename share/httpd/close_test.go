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

// closeOrRecover closes a server. If Close panics, it closes the server again and returns the
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

// Callers go on sending while a server closes, so that there always is a request in flight. Close
// must not wait for requests that come after it.
func TestCloseWaitsForLaterRequests(t *testing.T) {
	const callers, work, patience = 32, 20 * time.Millisecond, time.Second
	s := &Server{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		w.WriteHeader(http.StatusOK)
	})}
	assert.NilError(t, s.Start())
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for i := range callers {
		c, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		wait.Go(func() {
			time.Sleep(work * time.Duration(i) / callers)
			answer := make([]byte, 4096)
			for err := error(nil); err == nil; {
				select {
				case <-stop:
					return
				default:
				}
				if _, err = io.WriteString(c, plainRequest); err == nil {
					_, err = c.Read(answer)
				}
			}
		})
	}
	time.Sleep(2 * work) // until all have sent
	closed := make(chan error, 1)
	go func() { closed <- closeOrRecover(s) }()
	select {
	case err := <-closed:
		assert.Check(t, err)
	case <-time.After(patience):
		t.Errorf("Close still waits after %s, for requests of %s", patience, work)
		close(stop)
		assert.Check(t, <-closed)
	}
	wait.Wait()
}
