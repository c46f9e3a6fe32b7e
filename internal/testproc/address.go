package testproc

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// ReserveAddress returns a loopback address on which the test or a process of it may listen at any time until the test
// ends, over TCP and, as all tests reserve by TCP, over UDP. Until it listens, connections are refused.
//
// A socket that is bound to the address and never listens keeps the kernel from giving the port to anybody who asks for any
// free port. Listeners of package net bind beside it, since both set SO_REUSEADDR.
func ReserveAddress(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// Loopback networks 127.100.0.0 to 127.249.255.0 are for the tests, and their host number 255 with reservationPort tells
// which are in use.
const (
	firstNetwork    = 100
	networks        = 150 * 256
	reservationPort = 7399
)

// nextNetwork is where this process looks next for a free network; processes begin at different ones.
var nextNetwork atomic.Uint32

func init() { nextNetwork.Store(uint32(os.Getpid()) * 251) }

// ReserveNetwork returns the first three octets of a loopback network that no other test uses until this one ends.
func ReserveNetwork(t testing.TB) string {
	t.Helper()
	for range networks {
		n := nextNetwork.Add(1) % networks
		subnet := fmt.Sprintf("127.%d.%d", firstNetwork+n/256, n%256)
		reservation, err := net.Listen("tcp", fmt.Sprintf("%s.255:%d", subnet, reservationPort))
		if err != nil {
			continue // another test has it
		}
		t.Cleanup(func() { _ = reservation.Close() })
		return subnet
	}
	t.Fatal("no loopback network is free")
	return ""
}
