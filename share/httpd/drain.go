package httpd

import "time"

const (
	// drainPollInterval is how often Drain looks for connections that have become idle.
	drainPollInterval = 50 * time.Millisecond
	// quietTime is for how long no connection must have come before Drain refuses them: a load
	// balancer that has no other host left goes on sending callers.
	quietTime = 250 * time.Millisecond
	// lastRequestTime is what Drain leaves for the requests that came last.
	lastRequestTime = time.Second
)

// Drain closes idle connections until the given time at the latest. It refuses new ones once
// none has come for quietTime, and lastRequestTime before its end in any case. It returns
// earlier when no connection is left and busy, if it is set, reports false; the result is
// whether that was so. Close ends the other connections.
func (s *Server) Drain(until time.Time, busy func() bool) bool {
	start := time.Now()
	stoodStill := time.Duration(0) // the longest time by which a pause was too long
	for {
		s.CloseIdle()
		now := time.Now()
		if s.isQuiet(now) || now.After(until.Add(-lastRequestTime)) {
			s.refuse()
			done := s.Conns() == 0 && (busy == nil || !busy())
			if done || now.After(until) {
				s.Log.Info().Str("address", s.Addr()).Bool("done", done).Int("connections", s.Conns()).
					Int64("took-ms", now.Sub(start).Milliseconds()).Int64("stood-still-ms", stoodStill.Milliseconds()).Msg("drained")
				return done
			}
		}
		time.Sleep(drainPollInterval)
		stoodStill = max(stoodStill, time.Since(now)-drainPollInterval)
	}
}

// isQuiet reports whether no connection has come for quietTime.
func (s *Server) isQuiet(now time.Time) bool {
	return now.Sub(s.startedAt)-time.Duration(s.acceptedAt.Load()) >= quietTime
}

// refuse refuses new connections.
func (s *Server) refuse() {
	if err := s.StopListening(); err != nil {
		s.Log.Warn().Err(err).Str("address", s.Addr()).Msg("close-failed")
	}
}
