// Package testcrowd sends what clients that don't behave send, and measures the process that they connect to. The tests named TestCrowd
// use it.
package testcrowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialTimeout bounds the setup of a connection, so that a host that hangs fails the test instead of stopping it.
const dialTimeout = 30 * time.Second

// Crowd is a number of connections to one address.
type Crowd struct {
	Conns []net.Conn
	// Ended counts the goroutines that send and read.
	Ended sync.WaitGroup
	sent  sync.WaitGroup
}

// Gather opens the connections of a crowd. Some may be refused. They are closed at the end of the test.
func Gather(t *testing.T, address string, size int) *Crowd {
	t.Helper()
	c := &Crowd{}
	for range size {
		if conn, err := net.DialTimeout("tcp", address, dialTimeout); err == nil {
			c.Conns = append(c.Conns, conn)
		}
	}
	t.Cleanup(c.Leave)
	return c
}

// Writer writes what one client sends, until it has sent it or the host closes the connection.
type Writer func(client int, conn net.Conn)

// Send writes to each connection and then reads until the host closes it.
func (c *Crowd) Send(write Writer) {
	c.sendThen(write, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
}

// SendOnly writes to each connection.
func (c *Crowd) SendOnly(write Writer) { c.sendThen(write, func(net.Conn) {}) }

func (c *Crowd) sendThen(write Writer, then func(net.Conn)) {
	c.sent.Add(len(c.Conns))
	for i, conn := range c.Conns {
		c.Ended.Go(func() {
			write(i, conn)
			c.sent.Done()
			then(conn)
		})
	}
}

// AwaitSent waits until all clients have sent what they send.
func (c *Crowd) AwaitSent() { c.sent.Wait() }

// CountClosed returns the number of connections that the host has closed, from now on.
func (c *Crowd) CountClosed() *atomic.Int64 {
	closed := &atomic.Int64{}
	for _, conn := range c.Conns {
		c.Ended.Go(func() {
			_, _ = io.Copy(io.Discard, conn)
			closed.Add(1)
		})
	}
	return closed
}

// Leave closes the connections.
func (c *Crowd) Leave() {
	for _, conn := range c.Conns {
		_ = conn.Close()
	}
	c.Ended.Wait()
}

// blockBytes is about how much a client writes at a time.
const blockBytes = 4000

// Repeat returns a writer of a text that follows a begin again and again, up to size bytes in all.
func Repeat(begin, text string, size int) Writer {
	repeats := max(1, blockBytes/len(text))
	block := []byte(strings.Repeat(text, repeats))
	return func(_ int, conn net.Conn) {
		_, err := io.WriteString(conn, begin)
		for sent := len(begin); err == nil && sent < size; sent += len(block) {
			left := (size - sent + len(text) - 1) / len(text) // in whole texts
			_, err = conn.Write(block[:min(repeats, left)*len(text)])
		}
	}
}

// Once returns a writer of a text.
func Once(text string) Writer {
	return func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// ManyNames returns header lines with names that differ, of about so many bytes.
func ManyNames(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%x:\n", i)
	}
	return b.String()
}

// PeakMB returns the most memory that a process has had, in megabytes.
func PeakMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	_, rest, found := bytes.Cut(status, []byte("VmHWM:"))
	assert.Assert(t, found)
	kB, err := strconv.Atoi(string(bytes.Fields(rest)[0]))
	assert.NilError(t, err)
	return kB >> 10
}

// Descriptors returns the number of descriptors that a process has open.
func Descriptors(t *testing.T, pid int) int {
	t.Helper()
	open, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	assert.NilError(t, err)
	return len(open)
}
