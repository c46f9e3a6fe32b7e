// Package doccheck checks documents outside of the control goroutine.
package doccheck

import (
	"bytes"
	"sync"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/document"
)

// Checker checks the documents that a host receives from any source, one at a time, so that of each only what differs from the last valid
// one has to be checked. It is safe for concurrent use.
type Checker struct {
	mu        sync.Mutex
	documents *document.Reader
	// last is the text that was checked last, with the result.
	last    []byte
	checked *conf.Checked
}

// New returns a checker that has checked no document.
func New() *Checker { return &Checker{documents: document.NewReader()} }

// Check parses and checks a document. A reader of the platform often gets the same text from a peer at the same time, which is checked
// only once. It keeps the text, which may not be changed.
func (c *Checker) Check(raw []byte) (*conf.Checked, conf.CheckCost) {
	received := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	began := time.Now()
	if c.checked == nil || !bytes.Equal(raw, c.last) {
		c.last, c.checked = raw, conf.Check(c.documents, raw)
	}
	return c.checked, conf.CheckCost{Waited: began.Sub(received), Took: time.Since(began)}
}
