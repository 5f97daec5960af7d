package fetch

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Client makes calls to one address, one at a time, over a connection that it
// keeps and replaces after any error. Engine and Address must be set before use.
type Client struct {
	Engine  *Engine
	Address string
	// DialTimeout bounds the time to open a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration

	conn *Conn
}

// Do makes a call and waits for the reply until the timeout. After an error it closes
// the connection: one may stop responding for good while new ones work.
func (c *Client) Do(r *http.Request, timeout time.Duration) (Reply, error) {
	if c.conn == nil {
		c.conn = &Conn{Engine: c.Engine, Address: c.Address, DialTimeout: c.DialTimeout}
	}
	reply, err := c.conn.doAndWait(r, timeout)
	if err != nil {
		c.Disconnect()
	}
	return reply, err
}

// Disconnect closes the connection; the next call opens another.
func (c *Client) Disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// doAndWait makes a call and waits for the reply. It returns an error marked with ErrConnLost
// after the timeout or when the engine is closed, then also with ErrClosed; the call may still
// be in flight then.
func (c *Conn) doAndWait(r *http.Request, timeout time.Duration) (Reply, error) {
	type result struct {
		reply Reply
		err   error
	}
	results := make(chan result, 1)
	go c.Do(r, func(reply Reply, err error) { results <- result{reply, err} })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case got := <-results:
		if got.err != nil && c.Engine.isClosed() {
			return Reply{}, errors.Mark(got.err, ErrClosed)
		}
		return got.reply, got.err
	case <-c.Engine.done:
		// A connection that was opened while the engine stopped never gets a
		// reply, and the library doesn't report it.
		return Reply{}, errors.Mark(ErrClosed, ErrConnLost)
	case <-timer.C:
		return Reply{}, errors.Mark(errors.Newf("no reply within %s", timeout), ErrConnLost)
	}
}
