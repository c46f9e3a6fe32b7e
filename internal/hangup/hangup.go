// Package hangup receives SIGHUP, which asks the daemon to reload its settings. Without a receiver the signal ends a process.
// So it is ignored until the initialization of this package, and from then on received and kept until the daemon is ready to
// reload. What is ignored is not lost: the daemon has not read its settings yet.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives one value for all signals since the last one was taken.
var Signals = receive()

// ignoredBefore is set if the signal was ignored until this package received it.
var ignoredBefore bool

func receive() <-chan os.Signal {
	ignoredBefore = signal.Ignored(syscall.SIGHUP)
	out := make(chan os.Signal, 1)
	signal.Notify(out, syscall.SIGHUP)
	return out
}
