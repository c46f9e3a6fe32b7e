// Command review2 plays the scripted cases of the second review: it starts carobshuntd as the deploy file does, with stand-ins of
// the platform's store, of servers and of requesters, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// caseLimit bounds a case.
const caseLimit = 110 * time.Second

func main() {
	if len(os.Args) == 6 && os.Args[1] == "server" {
		runServer(os.Args[2], os.Args[3], os.Args[4], os.Args[5])
		return
	}
	cases := map[string]func(*run) (bool, error){
		"restarted-service": restartedService,
		"full-service":      fullService,
		"broken-stream":     brokenStream,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case, writes its record to a file and returns its exit status.
func play(scenario func(*run) (bool, error), record string) int {
	r, err := newRun(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer r.end()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := scenario(r)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			r.note("could not run: %v", o.err)
			return exitCouldNot
		case o.broken:
			r.note("the rule was broken")
			return exitBroken
		}
		r.note("the rule held")
		return exitHeld
	case <-time.After(caseLimit):
		r.note("could not run: the time limit was reached")
		return exitCouldNot
	}
}
