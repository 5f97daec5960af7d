package fetch

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Client makes calls to one address, one at a time, over a connection that is
// kept and replaced after any fault. Engine and Address are set before use.
type Client struct {
	Engine  *Engine
	Address string

	conn *Conn
}

// Do makes a call and waits for it, no longer than a timeout: a connection may
// go silent for good while new ones work.
func (l *Client) Do(r *http.Request, timeout time.Duration) (Reply, error) {
	if l.conn == nil {
		l.conn = &Conn{Engine: l.Engine, Address: l.Address}
	}
	reply, err := l.conn.wait(r, timeout)
	if err != nil {
		l.Disconnect()
	}
	return reply, err
}

// Disconnect gives up the connection; the next call opens another.
func (l *Client) Disconnect() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// wait makes a call and waits for it.
func (c *Conn) wait(r *http.Request, timeout time.Duration) (Reply, error) {
	type result struct {
		reply Reply
		err   error
	}
	got := make(chan result, 1)
	go c.Do(r, func(reply Reply, err error) { got <- result{reply, err} })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case g := <-got:
		return g.reply, g.err
	case <-c.Engine.done:
		// A connection that was opened while the engine stopped never gets a
		// reply, and nobody would tell.
		return Reply{}, errors.Mark(errors.New("client is closed"), ErrConnLost)
	case <-timer.C:
		return Reply{}, errors.Mark(errors.Newf("no reply within %s", timeout), ErrConnLost)
	}
}
