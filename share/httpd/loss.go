package httpd

import "time"

// closeCause is why this host closes a connection, as log lines have it.
type closeCause string

const (
	causeIdle     closeCause = "idle"
	causeRejected closeCause = "rejected"
	causeUnread   closeCause = "answer unread"
	causeStop     closeCause = "stop"
)

// loss describes answers that callers do not get because this host has closed their connection.
type loss struct {
	remote string
	cause  closeCause
	// closedAt is when the close was decided.
	closedAt time.Time
	// notRun counts the requests whose handler has not been called.
	notRun int
}

// markClosed records that this host closes the connection. The lock must be held.
func (o *openConn) markClosed(cause closeCause, now time.Time) {
	if o.closeCause == "" {
		o.closeCause, o.closedAt = cause, now
	}
}

// markAllClosed is markClosed for all connections.
func (c *conns) markAllClosed(cause closeCause) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.open {
		o.markClosed(cause, now)
	}
}

// loss returns the loss of answers on a connection, or nil if this host has not closed it. The
// lock must be held.
func (o *openConn) loss(notRun int) *loss {
	if o.closeCause == "" {
		return nil
	}
	return &loss{remote: o.conn.RemoteAddr().String(), cause: o.closeCause, closedAt: o.closedAt, notRun: notRun}
}

// logLoss logs answers that were lost; l may be nil.
func (s *Server) logLoss(l *loss) {
	if l == nil {
		return
	}
	line := s.Log.Warn().Str("remote", l.remote).Str("cause", string(l.cause)).Int64("closed-ms", time.Since(l.closedAt).Milliseconds())
	if l.notRun > 0 {
		line.Int("not-run", l.notRun)
	}
	line.Msg("answer-lost")
}
