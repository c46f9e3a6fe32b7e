// Package hangup receives SIGHUP, which asks the daemon to reload its settings. Without a receiver the signal ends a process.
// So it is received from the initialization of this package on, which comes before that of most others, and kept until the
// daemon is ready to reload.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives one value for all signals since the last one was taken.
var Signals = receive()

func receive() <-chan os.Signal {
	out := make(chan os.Signal, 1)
	signal.Notify(out, syscall.SIGHUP)
	return out
}
