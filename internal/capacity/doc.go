// Package capacity measures the cost of the control core and of the peer protocol by the size of the fleet. Its tests
// print the figures on which docs/CAPACITY.md is based:
//
//	go test -count=1 -run TestCapacity -v ./internal/capacity -args -full
//
// Bytes and messages are counted in virtual time and are the same in every run. CPU time and memory depend on the
// machine; most of them are printed without a check.
package capacity
