// Package testproc starts processes of tests.
package testproc

import (
	"os/exec"
	"syscall"
)

// Own makes a command's process the head of a process group of its own, which ends with the test. In the group of the
// test, a process that is stopped would get SIGHUP from the kernel as soon as the shell that started the test ends.
func Own(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
