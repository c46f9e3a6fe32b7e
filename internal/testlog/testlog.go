// Package testlog captures log output in tests.
package testlog

import (
	"slices"
	"strings"
	"sync"
)

// Buffer is an io.Writer that is safe for concurrent use; its content may be read during writes.
type Buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Has reports whether a single line contains all of the texts.
func (b *Buffer) Has(texts ...string) bool {
	return slices.ContainsFunc(strings.Split(b.String(), "\n"), func(line string) bool {
		return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) })
	})
}
