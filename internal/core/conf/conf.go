// Package conf holds the configuration in force on one host. The revision in force never falls: a document with a
// lower or equal revision changes nothing, an invalid one is refused whole.
package conf

import (
	"carobshunt/internal/core"
	"carobshunt/internal/document"
)

// SourcePlatform names the configuration service as the source of a document.
const SourcePlatform = "platform"

// Config is the configuration of one host. It is not safe for concurrent use.
type Config struct {
	doc       *document.Document
	raw       []byte
	since     core.Time
	heardFrom string
	rejected  uint64
	rejection string
}

// New returns a configuration that has heard nothing.
func New() *Config { return &Config{} }

// Verdict is what became of an offered document.
type Verdict int

// The verdicts.
const (
	// Applied: the document is now in force.
	Applied Verdict = iota
	// Old: its revision is not above the one in force.
	Old
	// Invalid: it was refused whole.
	Invalid
)

// Offer judges a document heard from a source: SourcePlatform or a peer's address.
func (c *Config) Offer(now core.Time, raw []byte, source string) Verdict {
	doc, err := document.Parse(raw)
	if err != nil {
		c.rejected++
		c.rejection = err.Error()
		return Invalid
	}
	if doc.Revision <= c.Revision() {
		return Old
	}
	c.doc = doc
	c.raw = raw
	c.since = now
	c.heardFrom = source
	return Applied
}

// Revision is the revision in force; 0 before the first document.
func (c *Config) Revision() uint64 {
	if c.doc == nil {
		return 0
	}
	return c.doc.Revision
}

// Document is the document in force, or nil. It must not be changed.
func (c *Config) Document() *document.Document { return c.doc }

// Raw is the text of the document in force. It must not be changed.
func (c *Config) Raw() []byte { return c.raw }

// Since is when the document came into force.
func (c *Config) Since() core.Time { return c.since }

// HeardFrom is the source of the document in force.
func (c *Config) HeardFrom() string { return c.heardFrom }

// Rejected returns how many documents were refused, and why the last one was.
func (c *Config) Rejected() (uint64, string) { return c.rejected, c.rejection }
