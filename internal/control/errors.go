package control

import "github.com/juju/errors"

// ErrStopped is returned to those who ask a loop that has ended.
const ErrStopped = errors.ConstError("the control loop has ended")
