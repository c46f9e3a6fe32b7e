// Command standin runs the cases of the review: it starts stand-ins of the platform's store, of servers and of requesters,
// and the project's daemons with the command of its deploy file.
//
//	standin CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what a case works with.
type scene struct {
	root, dir string
	trouble   bool
	rec       *record
	store     *store
	fleet     *fleet
	// other is the server that took the address of another one.
	other *target
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*scene) (bool, error){
	"last-key":       lastKey,
	"long-name":      longName,
	"second-refusal": secondRefusal,
	"reused-address": reusedAddress,
}

// limit ends a case that hangs.
const limit = 110 * time.Second

func main() {
	os.Exit(mainStatus())
}

func mainStatus() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	st, err := newStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := &scene{root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec, store: st}
	defer func() {
		if s.fleet != nil {
			s.fleet.stopAll()
		}
	}()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](s)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.note("could not run: %v", o.err)
			return exitNotRun
		case o.broken:
			rec.note("the rule was broken")
			return exitBroken
		}
		rec.note("the rule held")
		return exitHeld
	case <-time.After(limit):
		rec.note("could not run: it took too long")
	case <-signals:
		rec.note("could not run: interrupted")
	}
	return exitNotRun
}
