// Command carobctl is the command-line tool of operators and callers.
package main

import (
	"os"

	"carobshunt/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
