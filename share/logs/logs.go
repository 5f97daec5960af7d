// Package logs creates the loggers of the programs.
package logs

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// New returns a logger that writes JSON lines at a level and above, or an error if the
// level is unknown. Each line has the program and the host. Times are in Unix milliseconds;
// this format is set for all loggers of the process.
func New(w io.Writer, level, program, host string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrapf(err, "log level %q", level)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).Level(l).With().Timestamp().Str("program", program).Str("host", host).Logger(), nil
}
