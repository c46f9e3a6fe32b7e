// Package outcomes holds the tests that run random schedules of requests and faults over several Nodes in virtual
// time, and compare what callers were told with what arrived at the targets.
package outcomes
