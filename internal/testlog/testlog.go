// Package testlog keeps what tests make programs log.
package testlog

import (
	"slices"
	"strings"
	"sync"
)

// Buffer is an io.Writer whose content may be read while others write.
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

// String is all that was written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Has tells whether one line contains all of the texts.
func (b *Buffer) Has(texts ...string) bool {
	return slices.ContainsFunc(strings.Split(b.String(), "\n"), func(line string) bool {
		return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) })
	})
}
