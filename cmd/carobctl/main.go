// Command carobctl is the operators' and callers' tool.
package main

import (
	"os"

	"carobshunt/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
