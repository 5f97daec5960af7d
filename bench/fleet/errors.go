package fleet

import "github.com/cockroachdb/errors"

// errDown is what a read meets when the platform is not reached.
var errDown = errors.New("platform is not reached")
