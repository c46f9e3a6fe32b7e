// Package testproc says how tests run processes.
package testproc

import "syscall"

// OwnGroup makes a process the head of a process group of its own, which ends with the test. In the group of the test, a
// process that is stopped would get SIGHUP from the kernel as soon as the shell that started the test ends.
func OwnGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
