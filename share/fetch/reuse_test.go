package fetch

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
)

// settle is the time for bytes and closes to cross loopback and for the loops to handle them.
const settle = 50 * time.Millisecond

// gate blocks whoever waits for it until it is opened.
type gate chan struct{}

// answerServer answers requests with status 200 and keeps its ends of the connections.
type answerServer struct {
	ln net.Listener
	// lateAnswers holds back the answers to requests for /late.
	lateAnswers gate

	mu    sync.Mutex
	conns map[string]*net.TCPConn // by the caller's address
	wait  sync.WaitGroup
}

// startAnswerServer starts an answerServer, which ends with the test.
func startAnswerServer(t *testing.T) *answerServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &answerServer{ln: ln, lateAnswers: make(gate), conns: map[string]*net.TCPConn{}}
	s.wait.Go(s.accept)
	t.Cleanup(func() {
		_ = ln.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.wait.Wait()
	})
	return s
}

func (s *answerServer) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c.RemoteAddr().String()] = c.(*net.TCPConn)
		s.mu.Unlock()
		s.wait.Go(func() { s.serve(c) })
	}
}

func (s *answerServer) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/late" {
			<-s.lateAnswers
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) // the caller may have disconnected
	}
}

// halfClose ends the server's direction of a connection.
func (s *answerServer) halfClose(t *testing.T, caller string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.NilError(t, s.conns[caller].CloseWrite())
}

// isCall reports whether a connection carries calls. Others belong to the event loops.
func isCall(c *nbio.Conn) bool { return c.Type() == nbio.ConnTypeTCP }

// usedConn is an open connection that has had a call.
type usedConn struct {
	*Conn
	local string // its address
	loop  int
}

// get makes a call on the connection.
func (u *usedConn) get() error {
	r, err := Request(http.MethodGet, u.Address, "/", nil)
	if err != nil {
		return err
	}
	_, err = u.doAndWait(r, 5*time.Second)
	return err
}

// openUsed opens a connection. It replaces the engine's OnData handler.
func openUsed(t *testing.T, e *Engine, address string) *usedConn {
	t.Helper()
	u := &usedConn{Conn: &Conn{Engine: e, Address: address}}
	t.Cleanup(u.Close)
	read := make(chan *nbio.Conn, 1)
	e.engine.OnData(func(c *nbio.Conn, data []byte) {
		if isCall(c) {
			read <- c
		}
		c.DataHandler()(c, data)
	})
	assert.NilError(t, u.get())
	c := <-read
	u.local, u.loop = c.LocalAddr().String(), c.Hash()%pollers
	return u
}

// blockReads blocks each event loop at its next read and at the one after that, until the
// first and the second release are called. The second read is in one batch with the events
// that arrived during the first. held gets a value whenever a loop blocks.
func blockReads(t *testing.T, e *Engine) (held <-chan struct{}, release [2]func()) {
	t.Helper()
	gates := [2]gate{make(gate), make(gate)}
	for i, g := range gates {
		release[i] = sync.OnceFunc(func() { close(g) })
		t.Cleanup(release[i])
	}
	blocked := make(chan struct{}, len(gates)*pollers)
	reads := [pollers]int{} // each element belongs to one loop
	e.engine.OnData(func(c *nbio.Conn, data []byte) {
		loop := c.Hash() % pollers
		if n := reads[loop]; n < len(gates) && isCall(c) {
			reads[loop]++
			blocked <- struct{}{}
			<-gates[n]
		}
		c.DataHandler()(c, data)
	})
	return blocked, release
}

// gatedRequest returns a request that is sent once the gate is open. Its connection is
// opened before that.
func gatedRequest(address, path string, g gate) (*http.Request, error) {
	r, err := Request(http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	// The library calls it while it builds the header, before it sends any of it.
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { <-g }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace)), nil
}

// The server ends connections while their callers close them, and the end events still wait
// in the event loop. New connections that get the descriptors are closed by these events, and
// their calls end with ErrConnLost, even if nothing was sent.
func TestNewConnectionOutlivesEventsOfFormerOnes(t *testing.T) {
	const formerPerLoop, calls = 12, 6
	for _, sent := range []bool{true, false} {
		name := map[bool]string{true: "request sent", false: "request not sent yet"}[sent]
		t.Run(name, func(t *testing.T) {
			s, e := startAnswerServer(t), &Engine{}
			assert.NilError(t, e.Start())
			t.Cleanup(func() { assert.NilError(t, e.Close()) })
			address := s.ln.Addr().String()
			var holders, former [pollers][]*usedConn
			for range pollers * (formerPerLoop + 2) {
				u := openUsed(t, e, address)
				if len(holders[u.loop]) < 2 {
					holders[u.loop] = append(holders[u.loop], u)
				} else {
					former[u.loop] = append(former[u.loop], u)
				}
			}
			held, release := blockReads(t, e)
			var holding sync.WaitGroup
			loops := 0
			for batch := range 2 {
				for _, h := range holders {
					if len(h) < 2 {
						continue // too few connections were assigned to this loop
					}
					loops += 1 - batch
					holding.Go(func() { assert.Check(t, h[batch].get()) })
				}
				time.Sleep(settle) // the loops block in the first reads; the second wait
			}
			assert.Assert(t, loops > 0)
			for range loops {
				<-held
			}
			for _, of := range former {
				for _, u := range of {
					s.halfClose(t, u.local)
				}
			}
			time.Sleep(settle) // until the ends have crossed loopback
			release[0]()
			for range loops {
				<-held
			}
			for _, of := range former {
				for _, u := range of {
					u.Close()
				}
			}
			send := make(gate)
			if sent {
				close(send)
			}
			errs := make(chan error, calls)
			for range calls {
				go func() {
					r, err := gatedRequest(address, "/late", send)
					if err == nil {
						_, err = CallRequest(e, address, r, 5*time.Second)
					}
					errs <- err
				}()
			}
			time.Sleep(settle) // until the calls have opened their connections
			release[1]()
			time.Sleep(settle) // until the rest of the batch is handled
			if !sent {
				close(send)
			}
			close(s.lateAnswers)
			for range calls {
				assert.Check(t, <-errs)
			}
			holding.Wait()
		})
	}
}
