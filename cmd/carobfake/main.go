// Command carobfake runs a fake of one of the external systems: a model engine, a plain service or the platform.
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
