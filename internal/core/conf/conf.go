// Package conf holds the configuration in force on one host.
//
// Documents are ordered by Version: by revision, then by digest. What is in force only ever moves up in that order,
// so every host that hears the same documents, in any order and any number of times, ends with the same one. An
// invalid document is refused whole.
//
// Two documents under one revision are a fault of publication: two operators published at once, or the service
// answers two contents. The digest then decides, so that hosts converge without asking each other, and the conflict
// is counted until operators publish a higher revision.
package conf

import (
	"cmp"
	"strconv"

	"carobshunt/internal/core"
	"carobshunt/internal/delta"
	"carobshunt/internal/document"
)

// SourcePlatform names the configuration service as the source of a document.
const SourcePlatform = "platform"

// Version orders published texts.
type Version struct {
	// Revision is the number that the operators, or the platform, gave the text.
	Revision uint64
	// Digest is the digest of the canonical text; it orders texts of one revision.
	Digest uint64
}

// Compare returns a negative number when v is older than the other, 0 for the same text, else a positive one.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Revision, other.Revision), cmp.Compare(v.Digest, other.Digest))
}

// Above tells whether v is newer than the other.
func (v Version) Above(other Version) bool { return v.Compare(other) > 0 }

// String returns the revision and the digest in hexadecimal.
func (v Version) String() string {
	return strconv.FormatUint(v.Revision, 10) + "/" + strconv.FormatUint(v.Digest, 16)
}

// Config is the configuration of one host. It is not safe for concurrent use.
type Config struct {
	reader    *document.Reader
	doc       *document.Document
	history   *delta.History
	since     core.Time
	heardFrom string
	rejected  uint64
	rejection string
	// judged is the digest of the last text as it came, and verdict what became of it, so that a text that is
	// offered again and again is read and counted once.
	judged    uint64
	verdict   Verdict
	conflicts uint64
	// conflict is the lower text of the last conflict.
	conflict Version
}

// New returns a configuration that has heard nothing.
func New() *Config { return &Config{reader: document.NewReader(), history: &delta.History{}} }

// Verdict is what became of an offered document.
type Verdict int

// The verdicts.
const (
	// Applied: the document is now in force.
	Applied Verdict = iota
	// Old: it is not above the one in force.
	Old
	// Invalid: it was refused whole.
	Invalid
	// Repeated: it was refused before.
	Repeated
)

// Offer judges a document heard from a source: SourcePlatform or a peer's address.
func (c *Config) Offer(now core.Time, raw []byte, source string) Verdict {
	digest := delta.NewText(raw).Digest
	if digest == c.judged {
		return c.verdict.again()
	}
	c.judged = digest
	c.verdict = c.judge(now, raw, source)
	return c.verdict
}

// again is what becomes of the same text when it is offered once more.
func (v Verdict) again() Verdict {
	if v == Invalid {
		return Repeated
	}
	return Old
}

func (c *Config) judge(now core.Time, raw []byte, source string) Verdict {
	doc, text, err := c.read(raw)
	if err != nil {
		c.rejected++
		c.rejection = err.Error()
		return Invalid
	}
	version := Version{Revision: doc.Revision, Digest: text.Digest}
	c.noteConflict(version)
	if !version.Above(c.Version()) {
		return Old
	}
	c.doc = doc
	c.history = c.history.Add(text)
	c.since = now
	c.heardFrom = source
	return Applied
}

// read returns the document with its canonical text.
func (c *Config) read(raw []byte) (*document.Document, delta.Text, error) {
	doc, err := c.reader.Read(raw)
	if err != nil {
		return nil, delta.Text{}, err
	}
	text, err := delta.Encode(doc)
	return doc, text, err
}

// noteConflict counts a second text under the revision in force.
func (c *Config) noteConflict(version Version) {
	inForce := c.Version()
	if c.doc == nil || version.Revision != inForce.Revision || version.Digest == inForce.Digest {
		return
	}
	lower := version
	if version.Above(inForce) {
		lower = inForce
	}
	if lower == c.conflict {
		return
	}
	c.conflict = lower
	c.conflicts++
}

// Version is the version in force; zero before the first document.
func (c *Config) Version() Version {
	return Version{Revision: c.Revision(), Digest: c.history.Newest().Digest}
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

// Raw is the canonical text of the document in force. It must not be changed.
func (c *Config) Raw() []byte { return c.history.Newest().Raw }

// History is the text in force with the deltas that led to it.
func (c *Config) History() *delta.History { return c.history }

// Since is when the document came into force.
func (c *Config) Since() core.Time { return c.since }

// HeardFrom is the source of the document in force.
func (c *Config) HeardFrom() string { return c.heardFrom }

// Rejected returns how many documents were refused, and why the last one was.
func (c *Config) Rejected() (uint64, string) { return c.rejected, c.rejection }

// Conflicts returns how many times two texts were heard under the revision in force, and whether that is so of the
// revision in force now.
func (c *Config) Conflicts() (uint64, bool) {
	return c.conflicts, c.conflicts > 0 && c.conflict.Revision == c.Revision()
}
