package httpd

import "time"

// drainPollInterval is how often Drain looks for connections that have become idle.
const drainPollInterval = 50 * time.Millisecond

// Drain refuses new connections and closes those that are idle, until none is left and busy, if
// it is set, reports false, or until a point in time. It reports whether that is so; Close ends
// what is left.
func (s *Server) Drain(until time.Time, busy func() bool) bool {
	start := time.Now()
	stoodStill := time.Duration(0) // the longest time by which a pause was too long
	if err := s.StopListening(); err != nil {
		s.Log.Warn().Err(err).Str("address", s.Addr()).Msg("close-failed")
	}
	for {
		s.CloseIdle()
		done := s.Conns() == 0 && (busy == nil || !busy())
		if done || time.Now().After(until) {
			s.Log.Info().Str("address", s.Addr()).Bool("done", done).Int("connections", s.Conns()).
				Int64("took-ms", time.Since(start).Milliseconds()).Int64("stood-still-ms", stoodStill.Milliseconds()).Msg("drained")
			return done
		}
		paused := time.Now()
		time.Sleep(drainPollInterval)
		stoodStill = max(stoodStill, time.Since(paused)-drainPollInterval)
	}
}
