// Package capacity measures what the control core and the peer protocol cost as the fleet grows. Its test prints
// the slopes from which docs/CAPACITY.md is worked out:
//
//	go test -count=1 -run TestCapacity -v ./internal/capacity -args -full
//
// Bytes and messages come from virtual time and are the same in every run. Processor time and memory are those of
// the machine, and are printed without a verdict.
package capacity
