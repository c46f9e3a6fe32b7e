// Command carobfake runs one of the stand-ins for the outside systems.
package main

import (
	"os"

	"carobshunt/internal/fakecmd"
)

func main() {
	if err := fakecmd.NewRoot().Execute(); err != nil {
		os.Exit(1)
	}
}
