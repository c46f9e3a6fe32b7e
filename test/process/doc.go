// Package process holds the tests that run entry hosts as real processes, to be killed, stopped and continued, with
// stand-ins and a small TCP pipe in the test's own process.
package process
