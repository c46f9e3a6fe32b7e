// Command carobshuntd is the daemon that runs on each entry host.
package main

import (
	"os"

	"carobshunt/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
