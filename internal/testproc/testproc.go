// Package testproc configures the processes that tests start.
package testproc

import "syscall"

// OwnGroup returns attributes that start a process in its own process group and kill it when the test process ends. In the
// test's group, a stopped process (SIGSTOP) would receive SIGHUP from the kernel once the shell that started the test ends.
func OwnGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
