// Package strictjson checks JSON texts against the schema of a Go type. It reports all unknown fields, wrong types and
// values out of range at once, each with its path (a JSON pointer). Only repeated fields and numbers with a large exponent
// hide these: they are reported alone.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"github.com/invopop/jsonschema"
	"github.com/juju/errors"
	validator "github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Fault is one error in a text.
type Fault struct {
	// Path is the JSON pointer of the field; empty for the whole text.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Faults is the error of an invalid text.
type Faults struct {
	// List has at least one fault, sorted by path.
	List []Fault
}

// NewFaults returns the error for these faults, sorted by path.
func NewFaults(list ...Fault) *Faults {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Path < list[j].Path })
	return &Faults{List: list}
}

// Limits of the text of an error, which goes into logs and answers: a text may have any number of faults, of any length.
const (
	maxShownFaults = 20
	// maxShownFaultBytes is the length of a fault in bytes, beside a mark that it is longer.
	maxShownFaultBytes = 300
)

// Error implements error; it names the first maxShownFaults faults, with the path "/" for the whole text.
func (f *Faults) Error() string {
	var lines []string
	for _, fault := range f.List[:min(len(f.List), maxShownFaults)] {
		line := fmt.Sprintf("%s: %s", pathOrRoot(fault.Path), fault.Reason)
		if len(line) > maxShownFaultBytes {
			line = strings.ToValidUTF8(line[:maxShownFaultBytes], "") + "..."
		}
		lines = append(lines, line)
	}
	if more := len(f.List) - maxShownFaults; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "; ")
}

func pathOrRoot(path string) string {
	if path == "" {
		return "/"
	}
	return path
}

// AddressFaults returns a fault at path if address is not an IP address and port, the only form in which hosts are
// addressed.
func AddressFaults(path, address string) []Fault {
	if !IsAddress(address) {
		return []Fault{{Path: path, Reason: "must be an IP address and port"}}
	}
	return nil
}

// IsAddress reports whether a text is an IP address and port.
func IsAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// Schema is the JSON schema of a Go type.
type Schema struct {
	text     []byte
	compiled *validator.Schema
}

const schemaURL = "mem:///schema.json"

// MustReflect derives the schema of the type of value. Fields without "omitempty" are required, and unknown fields are
// not allowed. It panics if the type's tags are wrong, which the tests of the package that calls it reveal.
func MustReflect(value any) *Schema {
	reflector := jsonschema.Reflector{ExpandedStruct: true}
	text, err := json.Marshal(reflector.Reflect(value))
	if err != nil {
		panic(errors.Annotatef(err, "schema of %T", value))
	}
	parsed, err := validator.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(errors.Annotatef(err, "schema of %T", value))
	}
	compiler := validator.NewCompiler()
	if err := compiler.AddResource(schemaURL, parsed); err != nil {
		panic(errors.Annotatef(err, "schema of %T", value))
	}
	compiled, err := compiler.Compile(schemaURL)
	if err != nil {
		panic(errors.Annotatef(err, "schema of %T", value))
	}
	return &Schema{text: text, compiled: compiled}
}

// Text returns the schema as JSON.
func (s *Schema) Text() []byte { return s.text }

// Check returns a *Faults error if the text does not match the schema, an object repeats a field or a number has a large
// exponent. While there are faults of the latter two kinds, the error has no others: the text is not checked against the
// schema.
func (s *Schema) Check(data []byte) error {
	value, err := validator.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return NewFaults(Fault{Reason: "not JSON: " + err.Error()})
	}
	if found := duplicates(data); len(found) > 0 {
		return NewFaults(found...)
	}
	err = s.compiled.Validate(value)
	if err == nil {
		return nil
	}
	var invalid *validator.ValidationError
	if !errors.As(err, &invalid) {
		return NewFaults(Fault{Reason: err.Error()})
	}
	return NewFaults(leafFaults(invalid)...)
}

// leafFaults returns a fault for each innermost cause of a validation error.
func leafFaults(e *validator.ValidationError) []Fault {
	if len(e.Causes) == 0 {
		printer := message.NewPrinter(language.English)
		return []Fault{{Path: jsonPointer(e.InstanceLocation), Reason: e.ErrorKind.LocalizedString(printer)}}
	}
	var out []Fault
	for _, cause := range e.Causes {
		out = append(out, leafFaults(cause)...)
	}
	return out
}

func jsonPointer(parts []string) string {
	if len(parts) == 0 {
		return ""
	}
	return "/" + strings.Join(parts, "/")
}

// Decode decodes a text into value and checks it against the schema. check returns the faults of the decoded value that
// a schema can't express; it is called for any valid JSON, so value may be incomplete or wrong. The error is a *Faults with
// the faults of Check and, for paths that have none of these, those of check; value is not to be used then.
func (s *Schema) Decode(data []byte, value any, check func() []Fault) error {
	var list []Fault
	var faults *Faults
	if err := s.Check(data); errors.As(err, &faults) {
		list = faults.List
	}
	if err := json.Unmarshal(data, value); err != nil && len(list) == 0 {
		list = []Fault{{Reason: err.Error()}}
	}
	if json.Valid(data) {
		list = appendNew(list, check())
	}
	if len(list) > 0 {
		return errors.Trace(NewFaults(list...))
	}
	return nil
}

// appendNew appends the faults of more whose paths have no fault in list.
func appendNew(list, more []Fault) []Fault {
	known := make(map[string]bool)
	for _, fault := range list {
		known[fault.Path] = true
	}
	for _, fault := range more {
		if !known[fault.Path] {
			list = append(list, fault)
		}
	}
	return list
}
