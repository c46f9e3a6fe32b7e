// Package conf holds the configuration in force on one host.
//
// Documents are ordered by Version: by revision, then by digest. The version in force never decreases, so all hosts
// that receive the same documents, in any order and any number of times, converge on the same one. An invalid document
// is rejected as a whole.
//
// Two documents under one revision are a publication error: two operators published at once, or the configuration
// service returns two different contents. The digest is then the tie-break, so that hosts converge without
// coordination, and a conflict is reported until operators publish a higher revision.
package conf

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/delta"
	"carobshunt/internal/document"
	"carobshunt/internal/shorttext"
)

// SourcePlatform names the configuration service as the source of a document or host list.
const SourcePlatform = "platform"

// maxRejectionText is the maximum length of the error of a rejected document, in bytes. It is logged and shown in the status, and
// quotes names of any length.
const maxRejectionText = 2000

// Version orders the published texts of one kind: documents or host lists.
type Version struct {
	// Revision is the number under which operators or the platform published the text.
	Revision uint64
	// Digest is the digest of the canonical text, the tie-break between texts of one revision.
	Digest uint64
}

// Compare returns a negative number when v is older than other, zero when they are equal, and a positive number
// otherwise.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Revision, other.Revision), cmp.Compare(v.Digest, other.Digest))
}

// NewerThan reports whether v is newer than other.
func (v Version) NewerThan(other Version) bool { return v.Compare(other) > 0 }

// String returns the decimal revision and the hexadecimal digest, separated by a slash.
func (v Version) String() string {
	return strconv.FormatUint(v.Revision, 10) + "/" + strconv.FormatUint(v.Digest, 16)
}

// Config is the configuration of one host. It is not safe for concurrent use.
type Config struct {
	reader    *document.Reader
	doc       *document.Document
	history   *delta.History
	since     core.Time
	source    string
	rejected  uint64
	rejection string
	// lastDigest is the digest of the last offered text as received, lastResult its result: a text that is offered
	// several times in a row is parsed and counted only once.
	lastDigest uint64
	lastResult OfferResult
	conflicts  uint64
	// conflict is the lower version of the last conflict.
	conflict Version
}

// New returns a configuration without a document.
func New() *Config { return &Config{reader: document.NewReader(), history: &delta.History{}} }

// OfferResult is the result of offering a document.
type OfferResult int

// The results of Offer.
const (
	// Applied: the document is now in force.
	Applied OfferResult = iota
	// Old: the document is not newer than the one in force.
	Old
	// Invalid: the document was rejected.
	Invalid
	// Repeated: the last offered document, which was rejected, is offered again.
	Repeated
)

// Checked is a document that was parsed and checked outside of the control goroutine, which takes long if it is large.
type Checked struct {
	// digest is that of the text as received.
	digest uint64
	doc    *document.Document
	// text is the canonical text; err tells why there is none.
	text delta.Text
	err  error
}

// CheckCost is what the check of a document took.
type CheckCost struct {
	// Waited is how long the document waited for the check of others to end, Took how long its own took.
	Waited, Took time.Duration
}

// String returns the cost in milliseconds, for log lines.
func (c CheckCost) String() string {
	return fmt.Sprintf("waited %d ms, checked in %d ms", c.Waited.Milliseconds(), c.Took.Milliseconds())
}

// Revision returns the revision of a valid document.
func (c *Checked) Revision() uint64 { return c.doc.Revision }

// Err returns why the document is invalid; nil if it is valid.
func (c *Checked) Err() error { return c.err }

// Check parses and checks a document.
func Check(reader *document.Reader, raw []byte) *Checked {
	c := &Checked{digest: delta.NewText(raw).Digest}
	var text []byte
	c.doc, text, c.err = reader.Read(raw)
	c.text = delta.NewText(text).Split()
	return c
}

// Offer checks a received document and puts it in force if it is valid and newer. The source is SourcePlatform or the
// address of a peer.
func (c *Config) Offer(now core.Time, raw []byte, source string) OfferResult {
	digest := delta.NewText(raw).Digest
	if digest == c.lastDigest {
		return c.lastResult.onRepeat()
	}
	return c.OfferChecked(now, Check(c.reader, raw), source)
}

// OfferChecked is Offer for a document that was checked before.
func (c *Config) OfferChecked(now core.Time, checked *Checked, source string) OfferResult {
	if checked.digest == c.lastDigest {
		return c.lastResult.onRepeat()
	}
	c.lastDigest = checked.digest
	c.lastResult = c.apply(now, checked, source)
	return c.lastResult
}

// onRepeat returns the result of offering the same text again.
func (v OfferResult) onRepeat() OfferResult {
	if v == Invalid {
		return Repeated
	}
	return Old
}

func (c *Config) apply(now core.Time, checked *Checked, source string) OfferResult {
	if checked.err != nil {
		c.rejected++
		c.rejection = shorttext.Cut(checked.err.Error(), maxRejectionText)
		return Invalid
	}
	version := Version{Revision: checked.doc.Revision, Digest: checked.text.Digest}
	c.recordConflict(version)
	if !version.NewerThan(c.Version()) {
		return Old
	}
	c.doc = checked.doc
	c.history = c.history.Add(checked.text)
	c.since = now
	c.source = source
	return Applied
}

// recordConflict counts a second text under the revision in force; the same lower version is counted once in a row.
func (c *Config) recordConflict(version Version) {
	inForce := c.Version()
	if c.doc == nil || version.Revision != inForce.Revision || version.Digest == inForce.Digest {
		return
	}
	lower := version
	if version.NewerThan(inForce) {
		lower = inForce
	}
	if lower == c.conflict {
		return
	}
	c.conflict = lower
	c.conflicts++
}

// Version returns the version in force; the zero Version before the first document.
func (c *Config) Version() Version {
	return Version{Revision: c.Revision(), Digest: c.history.Newest().Digest}
}

// Revision returns the revision in force; 0 before the first document.
func (c *Config) Revision() uint64 {
	if c.doc == nil {
		return 0
	}
	return c.doc.Revision
}

// Document returns the document in force, or nil. It must not be changed.
func (c *Config) Document() *document.Document { return c.doc }

// Raw returns the canonical text of the document in force. It must not be changed.
func (c *Config) Raw() []byte { return c.history.Newest().Raw }

// History returns the text in force with the deltas that led to it.
func (c *Config) History() *delta.History { return c.history }

// Since returns the time when the document came into force.
func (c *Config) Since() core.Time { return c.since }

// Source returns the source of the document in force.
func (c *Config) Source() string { return c.source }

// Rejected returns the number of rejected documents and the error of the last one.
func (c *Config) Rejected() (uint64, string) { return c.rejected, c.rejection }

// Conflicts returns the number of conflicts, and reports whether the last one is under the revision now in force. A
// conflict is a second text that is received under the revision in force.
func (c *Config) Conflicts() (uint64, bool) {
	return c.conflicts, c.conflicts > 0 && c.conflict.Revision == c.Revision()
}
