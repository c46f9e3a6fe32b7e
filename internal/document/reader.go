package document

import (
	"bytes"
	"strconv"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Reader decodes successive documents with the same result as Parse, but of the teams, placements, routes and services it decodes and
// checks only the first of each and those that have changed since the last valid document. It is not safe for concurrent use.
type Reader struct{ reader *strictjson.Reader[Document] }

// NewReader returns a reader for the first document, which it will check in full.
func NewReader() *Reader {
	return &Reader{reader: strictjson.NewReader(schema(), semanticFaults,
		strictjson.NewList("teams", func(d *Document) *[]Team { return &d.Teams }),
		strictjson.NewList("placements", func(d *Document) *[]Placement { return &d.Placements }),
		strictjson.NewList("routes", func(d *Document) *[]Route { return &d.Routes }),
		strictjson.NewList("services", func(d *Document) *[]Service { return &d.Services }),
	)}
}

// revisionField is what a canonical document begins with.
const revisionField = `{"revision":`

// RevisionOf returns the revision of a canonical document without decoding it; 0 if the text is none.
func RevisionOf(text []byte) uint64 {
	rest, found := bytes.CutPrefix(text, []byte(revisionField))
	end := bytes.IndexByte(rest, ',')
	if !found || end < 0 {
		return 0
	}
	revision, err := strconv.ParseUint(string(rest[:end]), 10, 64)
	if err != nil {
		return 0
	}
	return revision
}

// Read returns the document with its canonical text, or the error that Parse returns for it. The document shares memory with earlier
// ones, and the reader keeps the text, so neither may be changed.
func (r *Reader) Read(data []byte) (*Document, []byte, error) {
	doc, text, err := r.reader.Decode(data)
	return doc, text, errors.Trace(err)
}
