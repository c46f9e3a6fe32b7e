// Package process holds the tests that run entry hosts as real processes, which they kill, pause and resume. Fakes of the
// platform and the targets, and the TCP proxies in front of them, run in the test process.
package process
