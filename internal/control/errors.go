package control

import "github.com/juju/errors"

// ErrStopped is returned by Ask when the loop has ended.
const ErrStopped = errors.ConstError("the control loop has ended")
