package fleet

import "github.com/cockroachdb/errors"

// errDown is the error of a read while the platform is unreachable.
var errDown = errors.New("platform is unreachable")
