package testproc

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

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

// ReserveNetwork returns the first three octets of a loopback network that no other test uses until this one ends, for TCP and
// UDP. Its ports below 32768 are free: the kernel gives none of them to a socket that asks for any port of any address.
// Processes of the test must have ended before it ends.
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
