// Package outcomes runs random schedules of requests and faults on several hosts in virtual time, and compares the
// outcomes reported to callers with the arrivals at the targets.
package outcomes
