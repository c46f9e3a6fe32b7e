// Package testproc configures the processes that tests start.
package testproc

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// OwnGroup returns attributes that start a process in its own process group and kill it when the test process ends. In the
// test's group, a stopped process (SIGSTOP) would receive SIGHUP from the kernel once the shell that started the test ends.
func OwnGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

// AwaitSignalHandlers waits until the runtime of a Go process has its signal handlers, or the process is gone. Before that,
// in the first moments after exec, a signal ends any program that would handle it.
func AwaitSignalHandlers(pid int) {
	for {
		caught, err := caughtSignals(pid)
		if err != nil || caught&(1<<(syscall.SIGHUP-1)) != 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

var caughtPattern = regexp.MustCompile(`(?m)^SigCgt:\s*([0-9a-f]+)$`)

// caughtSignals returns the set of signals that a process handles, as a bit mask from SIGHUP, bit 0, on.
func caughtSignals(pid int) (uint64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	found := caughtPattern.FindSubmatch(raw)
	if found == nil {
		return 0, os.ErrNotExist
	}
	return strconv.ParseUint(string(found[1]), 16, 64)
}
